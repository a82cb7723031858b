package engine

import "time"

// Headers of a generation request.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderAttempt     = "Slipcrank-Attempt"
	HeaderPriority    = "X-Priority"
	HeaderVersion     = "X-Model-Version"
	HeaderResume      = "X-Resume-Offset"
	HeaderDeadline    = "X-Deadline-Ms"
	HeaderReservation = "X-Reservation"
)

// Action is the action of an [Order].
type Action string

// The actions of orders. Each specifies the desired state, so all are idempotent.
const (
	Load    Action = "load"
	Unload  Action = "unload"
	SetRole Action = "set_role"
)

// Role is the kind of work that an engine accepts.
type Role string

// The roles of engines.
const (
	Mixed   Role = "mixed"   // prefill and decode of any length
	Short   Role = "short"   // short prompts only
	Prefill Role = "prefill" // prefill of long prompts; the KV cache is exported to other engines for decode
)

type (
	// Copy identifies a version of a model that an engine has loaded.
	Copy struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}

	// Report is the load report of an engine. Reports are delayed: Age is the time
	// since the engine made this one.
	Report struct {
		Incarnation   uint64        `json:"incarnation"`
		Copies        []Copy        `json:"copies"`
		Role          Role          `json:"role"`
		Leaving       bool          `json:"leaving"`
		Running       int           `json:"running"`
		Waiting       int           `json:"waiting"`
		PendingTokens int           `json:"pending_tokens"` // prompt tokens not yet prefilled
		UsedTokens    int           `json:"used_tokens"`    // KV memory in use or reserved
		TotalTokens   int           `json:"total_tokens"`   // size of the KV memory
		EventNumber   uint64        `json:"event_number"`   // of the latest cache event
		Age           time.Duration `json:"age"`
	}

	// Event is one change of an engine's prefix cache. Numbers are consecutive; a
	// gap means that events were lost.
	Event struct {
		Number  uint64 `json:"number"`
		Block   uint64 `json:"block"` // chained hash of the prefix that ends with this block
		Evicted bool   `json:"evicted,omitempty"`
	}

	// EventPage is the response to a request for events.
	EventPage struct {
		Incarnation uint64  `json:"incarnation"`
		Events      []Event `json:"events"`
		// Blocks has all cached blocks as of Number, in the response to a resync.
		Blocks []uint64 `json:"blocks,omitempty"`
		Number uint64   `json:"number"`
	}

	// Order is a fenced command. An engine that checks fences refuses an order whose
	// Fence is lower than the highest that it has received.
	Order struct {
		Fence   uint64        `json:"fence"`
		Action  Action        `json:"action"`
		Model   string        `json:"model,omitempty"`
		Version string        `json:"version,omitempty"`
		Role    Role          `json:"role,omitempty"`
		TTL     time.Duration `json:"life"` // not to be executed after this time
	}

	// Holding is KV memory that an engine has allocated to an owner.
	Holding struct {
		ID          string        `json:"id"`
		Owner       string        `json:"owner"`
		Incarnation uint64        `json:"incarnation"` // of the owner
		Tokens      int           `json:"tokens"`
		Expires     time.Duration `json:"expires"` // from now
		// Kind is "reservation", "export" or "stream".
		Kind string `json:"kind"`
	}

	// Piece is one event of a generation stream: a token or the end marker.
	Piece struct {
		Request     string `json:"request"`
		Attempt     string `json:"attempt"`
		Incarnation uint64 `json:"incarnation"`
		Offset      int    `json:"offset"`
		Text        string `json:"text"`
		// End is set on the end marker of a complete answer; Finish is the reason why
		// the answer ended.
		End    bool   `json:"end,omitempty"`
		Finish string `json:"finish,omitempty"`
		// Prompt and Cached are the numbers of prompt tokens and of those found in the
		// prefix cache. They are set on the end marker.
		Prompt int `json:"prompt_tokens,omitempty"`
		Cached int `json:"cached_tokens,omitempty"`
	}

	// Request is a generation request for one attempt on one engine.
	Request struct {
		Path          string // of the caller's request, such as /v1/completions
		Body          []byte // JSON of the caller's request; not copied
		Request       string
		Attempt       string
		Version       string
		Priority      int64  // lower is more urgent
		Resume        int    // offset of the first token to send
		ReservationID string // holding that provides the memory; empty for none
		Deadline      time.Time
	}
)
