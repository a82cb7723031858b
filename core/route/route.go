// Package route decides which engine runs a request. It holds pure decisions:
// values in, values out, with the time as an argument.
//
// # How a choice is made
//
// The predicted time to first token at an engine is the work that waits ahead
// of the request there, plus the prefill of the prompt tokens that are not
// cached there. Work waits ahead only if it is at least as urgent, since
// engines honour priorities. [LoadTracker.Offer] gives this figure for one engine,
// and [Choose] takes the best of several offers.
//
// # Who knows the load
//
// Load reports lag, and at full size one daemon sends under six requests a
// second, so no entry host knows an engine's load by itself. Each engine has
// one soft owner among its hall's live daemons, by rendezvous hashing
// ([Owner]), which keeps a [LoadTracker] of what was placed on it. Correctness
// never rests on the owner: the engine itself has the last word on memory.
//
// # Usage
//
//	o := tracker.Offer(prompt, now)                  // at the owner
//	c, d, ok := route.Choose(prompt, offers, now)    // at the entry host
package route

import (
	"cmp"
	"slices"
	"time"

	"slipcrank.example/core/prefix"
)

const (
	// waitMargin is what a predicted wait is multiplied by at admission.
	waitMargin = 2.5
	// decodeStep is the time that one token of the answer takes at least.
	decodeStep = 10 * time.Millisecond
	// answerTokens bounds the answer that admission counts on: callers often
	// allow far more tokens than the answer has.
	answerTokens = 256
)

type (
	// PrefixHash is the name of one prefix of a prompt.
	PrefixHash struct {
		Blocks int
		Hash   uint64
	}

	// Prompt is what a decision needs to know of a request.
	Prompt struct {
		Workspace    string
		Share        float64 // of the site, from the workspace's template
		Model        string
		Version      string
		Tokens       int
		MaxTokens    int
		Priority     int64 // lower is more urgent; see [Priority]
		PrefixHashes []PrefixHash
		Deadline     time.Time
		// Reserved says that its memory has been reserved on a group of engines.
		Reserved bool
	}

	// Offer is the prediction for one engine.
	Offer struct {
		Addr        string        `json:"addr"`
		Incarnation uint64        `json:"incarnation"`
		Wait        time.Duration `json:"wait"` // before its prefill starts
		Prefill     time.Duration `json:"prefill"`
		// Displaced is the delay that the request would cause to less
		// urgent work that waits there.
		Displaced time.Duration `json:"displaced"`
		Cached    int           `json:"cached"` // tokens
		Fits      bool          `json:"fits"`   // memory is free for it now
		// FairnessDelay is how long the request should wait behind those of others,
		// since its workspace has had more than its share of the engine.
		FairnessDelay time.Duration `json:"behind"`
		// BlockedByGroup says that the engine's memory is kept for a more urgent group.
		BlockedByGroup bool `json:"held,omitempty"`
		// Ejected says that attempts on the engine failed lately.
		Ejected bool `json:"ejected,omitempty"`
	}

	// Decision explains one choice.
	Decision struct {
		Offers []Offer `json:"offers"` // best first
		Chosen string  `json:"chosen"`
		Reason string  `json:"reason"`
	}
)

// Memory returns the KV memory that the prompt and its answer need, in
// tokens.
func (p Prompt) Memory() int { return p.Tokens + p.MaxTokens }

// takes returns the memory that placing the prompt takes, beside what the engine
// counts as used already.
func (p Prompt) takes() int {
	if p.Reserved {
		return 0
	}
	return p.Memory()
}

// WithReserved returns p with its memory reserved.
func (p Prompt) WithReserved() Prompt {
	p.Reserved = true
	return p
}

// Long reports whether the prompt counts as long.
func (p Prompt) Long() bool { return p.Tokens >= LongPromptTokens }

// NewPrefixHashes returns the marks of a chain of block names.
func NewPrefixHashes(chain []uint64) []PrefixHash {
	ns := prefix.Marks(len(chain))
	ms := make([]PrefixHash, len(ns))
	for i, n := range ns {
		ms[i] = PrefixHash{Blocks: n, Hash: chain[n-1]}
	}
	return ms
}

// WithDelay returns p with a priority that is later by d, but never later than
// its deadline: what has waited long enough comes first whatever its
// workspace has had.
func (p Prompt) WithDelay(d time.Duration) Prompt {
	p.Priority += d.Milliseconds()
	if !p.Deadline.IsZero() {
		p.Priority = min(p.Priority, p.Deadline.UnixMilli())
	}
	return p
}

// TimeToFirstToken returns the predicted time to first token.
func (o Offer) TimeToFirstToken() time.Duration { return o.Wait + o.Prefill }

// TimeToComplete returns the time that the whole answer may need: the wait with a
// margin, since more urgent work may still come, the prefill, and the decode.
func (o Offer) TimeToComplete(p Prompt) time.Duration {
	wait := time.Duration(waitMargin * float64(o.Wait))
	return wait + o.Prefill + answerTime(p)
}

// answerTime returns the time that the answer takes at least.
func answerTime(p Prompt) time.Duration {
	return time.Duration(min(p.MaxTokens, answerTokens)) * decodeStep
}

// Cost returns what is compared between offers: the time to first token, and
// the delay that others get.
func (o Offer) Cost() time.Duration { return o.TimeToFirstToken() + o.Displaced }

// Choose returns the offer with the least cost.
// An engine that is not ejected goes before one that is, one that is not held
// for a group before one that is, and an offer with free memory before one
// without; equal ones go by address, so that the same offers give the same
// choice. It reports false if no offer can meet the deadline; the best offer
// then tells by how much.
func Choose(p Prompt, offers []Offer, now time.Time) (Offer, Decision, bool) {
	d := Decision{Offers: slices.Clone(offers)}
	if len(offers) == 0 {
		d.Reason = "no live engine holds the model"
		return Offer{}, d, false
	}
	slices.SortFunc(d.Offers, better)
	best := d.Offers[0]
	if !p.Deadline.IsZero() && best.TimeToComplete(p) > p.Deadline.Sub(now) {
		d.Reason = "no engine can start it within its time"
		return best, d, false
	}
	d.Chosen = best.Addr
	d.Reason = reason(d.Offers)
	return best, d, true
}

// WaitsForGroup reports whether the choice only led to waiting for a group.
func (d Decision) WaitsForGroup() bool { return len(d.Offers) > 0 && d.Offers[0].BlockedByGroup }

func better(a, b Offer) int {
	return cmp.Or(first(!a.Ejected, !b.Ejected), first(!a.BlockedByGroup, !b.BlockedByGroup), first(a.Fits, b.Fits),
		cmp.Compare(a.Cost(), b.Cost()), cmp.Compare(a.Addr, b.Addr))
}

// first orders what is true before what is not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func reason(sorted []Offer) string {
	best := sorted[0]
	switch {
	case best.BlockedByGroup:
		return "waits, since all memory is kept for a more urgent group"
	case len(sorted) == 1:
		return "the only engine that offered"
	case best.Fits && !sorted[1].Fits:
		return "the only offer with free memory"
	case best.Cached > sorted[1].Cached:
		return "least time to first token, with more of the prompt cached"
	default:
		return "least time to first token"
	}
}
