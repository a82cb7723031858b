// Package route decides which engine runs a request. Its decisions depend only
// on their arguments, including the time.
//
// # How an engine is chosen
//
// The predicted time to first token on an engine is the time for the work that
// is queued ahead of the request, plus the time to prefill the prompt tokens
// that are not cached there. Only work that is at least as urgent counts as
// ahead, since engines process requests by priority. [LoadTracker.Offer] makes
// this prediction for one engine, and [Choose] selects the best of several
// offers.
//
// # Who tracks the load
//
// Load reports arrive with a delay, and at full scale one daemon sends under six
// requests per second, so no entry host knows an engine's load from its own
// traffic. Each engine therefore has one soft owner among the live daemons of
// its hall, selected by rendezvous hashing ([Owner]), which keeps a
// [LoadTracker] of the requests placed on it. Correctness does not depend on
// the owner: the engine itself decides whether a request gets memory.
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
	// waitMargin is the factor applied to a predicted wait at admission.
	waitMargin = 2.5
	// minDecodeStep is the minimum time to decode one token of the answer.
	minDecodeStep = 10 * time.Millisecond
	// maxAnswerTokens bounds the answer length that admission assumes, since
	// callers often allow far more tokens than the answer has.
	maxAnswerTokens = 256
)

type (
	// PrefixHash identifies one prefix of a prompt by its hash.
	PrefixHash struct {
		Blocks int
		Hash   uint64
	}

	// Prompt holds the properties of a request on which a decision depends.
	Prompt struct {
		Workspace    string
		Share        float64 // fraction of the site, from the workspace's template
		Model        string
		Version      string
		Tokens       int
		MaxTokens    int
		Priority     int64 // lower is more urgent; see [Priority]
		PrefixHashes []PrefixHash
		Deadline     time.Time
		// Reserved reports whether the memory of the request has been reserved
		// on a group of engines.
		Reserved bool
	}

	// Offer is the prediction for one engine.
	Offer struct {
		Addr        string        `json:"addr"`
		Incarnation uint64        `json:"incarnation"`
		Wait        time.Duration `json:"wait"` // until its prefill starts
		Prefill     time.Duration `json:"prefill"`
		// Displaced is the weighted delay that the request would cause to less
		// urgent work queued there.
		Displaced time.Duration `json:"displaced"`
		Cached    int           `json:"cached"` // tokens
		Fits      bool          `json:"fits"`   // enough memory is free now
		// FairnessDelay is how long the request should yield to those of other
		// workspaces because its own has used more than its share of the engine.
		FairnessDelay time.Duration `json:"behind"`
		// BlockedByGroup reports whether a more urgent group waits for the
		// engine's memory.
		BlockedByGroup bool `json:"held,omitempty"`
		// Ejected reports whether the engine is ejected after failed attempts;
		// see [Health].
		Ejected bool `json:"ejected,omitempty"`
	}

	// Decision records the outcome of one choice and the reason for it.
	Decision struct {
		Offers []Offer `json:"offers"` // best first
		Chosen string  `json:"chosen"`
		Reason string  `json:"reason"`
	}
)

// Memory returns the KV memory that the prompt and its answer need, in
// tokens.
func (p Prompt) Memory() int { return p.Tokens + p.MaxTokens }

// unreservedMemory returns the memory, in tokens, that the prompt needs beyond
// what the engine already counts as used.
func (p Prompt) unreservedMemory() int {
	if p.Reserved {
		return 0
	}
	return p.Memory()
}

// WithReserved returns p marked as having its memory reserved.
func (p Prompt) WithReserved() Prompt {
	p.Reserved = true
	return p
}

// Long reports whether the prompt counts as long.
func (p Prompt) Long() bool { return p.Tokens >= LongPromptTokens }

// NewPrefixHashes returns the hashes of selected prefixes of a chain of block
// hashes, in rising order of length.
func NewPrefixHashes(chain []uint64) []PrefixHash {
	ns := prefix.LookupLengths(len(chain))
	hs := make([]PrefixHash, len(ns))
	for i, n := range ns {
		hs[i] = PrefixHash{Blocks: n, Hash: chain[n-1]}
	}
	return hs
}

// WithDelay returns p with its priority later by d, but not later than its
// deadline. The bound lets a request that has waited long enough come first
// however much its workspace has used.
func (p Prompt) WithDelay(d time.Duration) Prompt {
	p.Priority += d.Milliseconds()
	if !p.Deadline.IsZero() {
		p.Priority = min(p.Priority, p.Deadline.UnixMilli())
	}
	return p
}

// TimeToFirstToken returns the predicted time to first token.
func (o Offer) TimeToFirstToken() time.Duration { return o.Wait + o.Prefill }

// TimeToComplete returns the time that the complete answer may need: the wait,
// with a margin for more urgent work that arrives later, the prefill and the
// decoding.
func (o Offer) TimeToComplete(p Prompt) time.Duration {
	wait := time.Duration(waitMargin * float64(o.Wait))
	return wait + o.Prefill + answerTime(p)
}

// answerTime returns the minimum time to decode the answer.
func answerTime(p Prompt) time.Duration {
	return time.Duration(min(p.MaxTokens, maxAnswerTokens)) * minDecodeStep
}

// Cost returns the quantity that [Choose] minimizes: the time to first token
// plus the delay caused to other requests.
func (o Offer) Cost() time.Duration { return o.TimeToFirstToken() + o.Displaced }

// Choose returns the offer with the least cost and the reason for the choice.
// It prefers engines that are not ejected, then engines that are not blocked by
// a group, then offers with enough free memory, before it compares costs. Ties
// are broken by address, so that the choice is deterministic. Choose returns
// false if there are no offers or if the best one cannot meet the deadline; in
// the latter case it returns that offer, from which the shortfall follows.
func Choose(p Prompt, offers []Offer, now time.Time) (Offer, Decision, bool) {
	d := Decision{Offers: slices.Clone(offers)}
	if len(offers) == 0 {
		d.Reason = "no live engine holds the model"
		return Offer{}, d, false
	}
	slices.SortFunc(d.Offers, compareOffers)
	best := d.Offers[0]
	if !p.Deadline.IsZero() && best.TimeToComplete(p) > p.Deadline.Sub(now) {
		d.Reason = "no engine can start it within its time"
		return best, d, false
	}
	d.Chosen = best.Addr
	d.Reason = reason(d.Offers)
	return best, d, true
}

// WaitsForGroup reports whether the best offer is blocked by a group, so that
// the request has to wait.
func (d Decision) WaitsForGroup() bool { return len(d.Offers) > 0 && d.Offers[0].BlockedByGroup }

func compareOffers(a, b Offer) int {
	return cmp.Or(trueFirst(!a.Ejected, !b.Ejected), trueFirst(!a.BlockedByGroup, !b.BlockedByGroup), trueFirst(a.Fits, b.Fits),
		cmp.Compare(a.Cost(), b.Cost()), cmp.Compare(a.Addr, b.Addr))
}

// trueFirst compares two booleans and orders true before false.
func trueFirst(a, b bool) int {
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
