package engine

import "time"

// Header names of a generation request, beside the caller's own body.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderAttempt     = "Slipcrank-Attempt"
	HeaderPriority    = "X-Priority"
	HeaderVersion     = "X-Model-Version"
	HeaderResume      = "X-Resume-Offset"
	HeaderDeadline    = "X-Deadline-Ms"
	HeaderReservation = "X-Reservation"
)

// Action is what an order asks an engine to do.
type Action string

// The actions of orders. Each states a wanted end, so a repeat is harmless.
const (
	Load    Action = "load"
	Unload  Action = "unload"
	SetRole Action = "set_role"
)

// Role says what kind of work an engine is for.
type Role string

// The roles of engines.
const (
	Mixed   Role = "mixed"   // prefill and decode of any length
	Short   Role = "short"   // kept for short prompts
	Prefill Role = "prefill" // long prefill, exported to others for decode
)

type (
	// Copy names a model in one version, as an engine holds it.
	Copy struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}

	// Report is the load report of an engine. It lags: Age is the time since the engine
	// took it.
	Report struct {
		Incarnation   uint64        `json:"incarnation"`
		Copies        []Copy        `json:"copies"`
		Role          Role          `json:"role"`
		Leaving       bool          `json:"leaving"`
		Running       int           `json:"running"`
		Waiting       int           `json:"waiting"`
		PendingTokens int           `json:"pending_tokens"` // prefill not done yet
		UsedTokens    int           `json:"used_tokens"`    // KV memory in use, held and reserved
		TotalTokens   int           `json:"total_tokens"`   // KV memory in all
		EventNumber   uint64        `json:"event_number"`   // of the newest cache event
		Age           time.Duration `json:"age"`
	}

	// Event is one change of an engine's prefix cache. Numbers rise by one;
	// a gap means that events were lost.
	Event struct {
		Number  uint64 `json:"number"`
		Block   uint64 `json:"block"` // chained hash of the prefix up to and with this block
		Evicted bool   `json:"evicted,omitempty"`
	}

	// EventPage is an answer to a question for events.
	EventPage struct {
		Incarnation uint64  `json:"incarnation"`
		Events      []Event `json:"events"`
		// Blocks is the whole cache as of Number, when a resync was asked.
		Blocks []uint64 `json:"blocks,omitempty"`
		Number uint64   `json:"number"`
	}

	// Order is a fenced order. An engine that checks the fence refuses one
	// that is lower than the highest it has seen.
	Order struct {
		Fence   uint64        `json:"fence"`
		Action  Action        `json:"action"`
		Model   string        `json:"model,omitempty"`
		Version string        `json:"version,omitempty"`
		Role    Role          `json:"role,omitempty"`
		TTL     time.Duration `json:"life"` // the order is void after this time
	}

	// Holding is KV memory that an engine keeps for somebody.
	Holding struct {
		ID          string        `json:"id"`
		Owner       string        `json:"owner"`
		Incarnation uint64        `json:"incarnation"` // of the owner
		Tokens      int           `json:"tokens"`
		Expires     time.Duration `json:"expires"` // from now
		// Kind is "reservation", "export" or "stream".
		Kind string `json:"kind"`
	}

	// Piece is one event of a generation stream.
	Piece struct {
		Request     string `json:"request"`
		Attempt     string `json:"attempt"`
		Incarnation uint64 `json:"incarnation"`
		Offset      int    `json:"offset"`
		Text        string `json:"text"`
		// End marks a whole answer; Finish says why it ended.
		End    bool   `json:"end,omitempty"`
		Finish string `json:"finish,omitempty"`
		// Prompt and Cached count prompt tokens, on the end marker.
		Prompt int `json:"prompt_tokens,omitempty"`
		Cached int `json:"cached_tokens,omitempty"`
	}

	// Request is a generation request for one attempt on one engine.
	Request struct {
		Path          string // as the caller's client speaks it
		Body          []byte // the caller's own JSON; not copied
		Request       string
		Attempt       string
		Version       string
		Priority      int64 // lower is more urgent
		Resume        int   // offset of the first token wanted
		ReservationID string
		Deadline      time.Time
	}
)
