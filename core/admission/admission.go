// Package admission decides whether a request is served now, and if not, after
// how long its caller may retry.
//
// Engines serve requests in the order of arrival. A request that would be late
// only because of the queue in front of it therefore delays the requests behind
// it too, and a late answer is worth a quarter of one in time. Such a request is
// refused before any engine has prefilled a token of it, with a Retry-After of the
// time in which the queue is expected to drain. A retry is judged like any
// other request, by the predictions at that time.
//
// # Usage
//
//	p := admission.Default()
//	if no, refused := p.Decide(admission.Request{FirstToken: placement.First, ...}); refused {
//		... answer no.Reason, Retry-After no.RetryAfter
//	}
//
// To measure the effect of a rule, switch it off: admission.Default().WithLate(false).
package admission

import (
	"cmp"
	"time"
)

// Reasons for a refusal.
const (
	// NoTime means that the request can't be answered before its caller's deadline.
	NoTime Reason = "no_time"
	// QueueTooLong means that the queue would make a stream late.
	QueueTooLong Reason = "queue_too_long"
	// EnginesBusy means that the request displaces work of more value than its own.
	EnginesBusy Reason = "engines_busy"
	// OverShare means that the request would be served if its workspace did not
	// use much more of the engines than others.
	OverShare Reason = "workspace_over_share"
)

const (
	// minQueueSlowdown is the factor by which the queue must prolong the time to
	// the first token before a stream counts as late because of it. A prompt that
	// even idle engines can't prefill in time would otherwise be refused on every retry.
	minQueueSlowdown = 2
	// maxDisplacedRatio is how many times its own value a request may displace. The
	// limit is the same for retries: a higher one keeps engines busy with long prompts
	// that are late already.
	maxDisplacedRatio = 1
	// displacedGrowth is by how much that limit grows with each further engine whose
	// memory the request fills.
	displacedGrowth = 1.5
	// queueReserve is the fraction of their objective that long prompts leave unused in
	// the queue for larger ones, if nearly all engines take no part in their prefill.
	queueReserve = 0.35
	// Prompts that fill minReservingFill to minLargeFill engines' memory leave that
	// reserve. Shorter ones hardly lengthen the queue.
	minReservingFill, minLargeFill = 0.1, 1.3
	// noTimeRetryAfter is about two engine steps: a caller with little time left is
	// sent to another host at once.
	noTimeRetryAfter = 150 * time.Millisecond
	// minBusyRetryAfter is about how long a long prompt occupies its engines.
	minBusyRetryAfter = 1500 * time.Millisecond
	// maxRetryAfterFraction is the fraction of their remaining time after which callers
	// still retry: a third, less the network round trip and the jitter of refusals.
	maxRetryAfterFraction = 0.2
	// reservedObjectiveFraction is the fraction of the latency objective, about one or
	// two queue positions, that workspaces over their share leave to others when no
	// slots are free.
	reservedObjectiveFraction = 0.5
)

type (
	// Reason is a one-word code for a refusal. It is sent to callers.
	Reason string

	// Request describes a request whose servers have been chosen.
	Request struct {
		// Stream reports whether the answer is a stream of events.
		Stream bool
		// TimeLeft is the time until the caller's deadline.
		TimeLeft time.Duration
		// Objective is the maximum time to the first event that counts as in time.
		Objective time.Duration
		// FirstToken is the predicted time from now to the first token, and
		// IdleFirstToken the prediction for idle engines; both are zero for plain
		// services.
		FirstToken, IdleFirstToken time.Duration
		// DisplacedRatio is the value of the work that the request displaces on the
		// engines, divided by the value of the request.
		DisplacedRatio float64
		// EnginesFilled is how many engines' memory the request fills, and
		// SpareFraction a lower bound on the fraction of the service's engines that
		// take no part in its prefill.
		EnginesFilled, SpareFraction float64
		// DisplacedWeight multiplies DisplacedRatio according to the share of the
		// engines that the workspace uses; 0 counts as 1. OverShare reports whether
		// that share is much more than an even one. SlotScarcity is how scarce slots
		// are, from 0 to 1.
		DisplacedWeight float64
		OverShare       bool
		SlotScarcity    float64
	}

	// Refusal says why a request isn't served, and after how long its caller may
	// retry.
	Refusal struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// Policy is an immutable set of enabled rules.
	Policy struct {
		late, displaced, shares bool
	}
)

// Default returns the policy with all rules enabled.
func Default() Policy { return Policy{late: true, displaced: true, shares: true} }

// WithLate returns a copy that does or doesn't refuse streams that are late
// because of the queue.
func (p Policy) WithLate(on bool) Policy { p.late = on; return p }

// WithDisplaced returns a copy that does or doesn't refuse requests that displace
// more than their own value.
func (p Policy) WithDisplaced(on bool) Policy { p.displaced = on; return p }

// WithShares returns a copy that does or doesn't take into account the share of
// the engines that a request's workspace uses.
func (p Policy) WithShares(on bool) Policy { p.shares = on; return p }

// Decide reports whether a request is refused, and returns the refusal.
func (p Policy) Decide(r Request) (Refusal, bool) {
	if !p.shares {
		return p.apply(r)
	}
	no, refused := p.apply(r.withShare())
	if refused && r.OverShare {
		if _, refusedAnyway := p.apply(r); !refusedAnyway {
			no.Reason = OverShare
		}
	}
	return no, refused
}

// apply applies the rules without regard to the workspace's share.
func (p Policy) apply(r Request) (Refusal, bool) {
	switch {
	case r.FirstToken > r.TimeLeft:
		return Refusal{NoTime, noTimeRetryAfter}, true
	case p.late && r.lateFromQueue():
		return r.refuse(QueueTooLong, r.FirstToken), true
	case p.displaced && r.DisplacedRatio > r.maxDisplacedRatio():
		return r.refuse(EnginesBusy, max(r.FirstToken, minBusyRetryAfter)), true
	}
	return Refusal{}, false
}

// lateFromQueue reports whether the queue makes the first event late, or whether the
// request would take the room in the queue that larger prompts need.
func (r Request) lateFromQueue() bool {
	if !r.Stream || r.FirstToken <= minQueueSlowdown*r.IdleFirstToken {
		return false
	}
	return r.FirstToken > r.Objective || r.FirstToken-r.IdleFirstToken > r.maxWait()
}

// maxWait returns how long the request may wait in the queue. If all prompts could use
// their whole objective, queues would settle where those of usual length are just in
// time. The largest take longer and wait for the busiest of several engines, so they
// would nearly always be late.
func (r Request) maxWait() time.Duration {
	if r.EnginesFilled < minReservingFill || r.EnginesFilled >= minLargeFill {
		return r.Objective
	}
	return time.Duration((1 - queueReserve*r.SpareFraction) * float64(r.Objective))
}

// maxDisplacedRatio returns how many times its own value the request may displace.
// Prefill time grows with the square of the prompt's length and value only linearly,
// so under one fixed limit a burst of long prompts causes nearly all of the longest
// to be refused. The limit of a request that will be in time therefore grows with the
// number of engines whose memory it fills, scaled by the fraction of engines left for
// other requests: where none are left, the request delays all of them.
func (r Request) maxDisplacedRatio() float64 {
	if r.FirstToken > r.Objective {
		return maxDisplacedRatio
	}
	return maxDisplacedRatio * (1 + displacedGrowth*max(r.EnginesFilled-1, 0)*r.SpareFraction)
}

// refuse returns a refusal with the given time to retry, capped to the time after
// which callers still retry.
func (r Request) refuse(reason Reason, after time.Duration) Refusal {
	return Refusal{reason, min(after, time.Duration(maxRetryAfterFraction*float64(r.TimeLeft)))}
}

// withShare returns the request adjusted for its workspace's share of the engines:
// DisplacedRatio is multiplied by DisplacedWeight, and where slots are scarce a
// workspace over its share leaves the last queue positions to others by a shorter
// objective. This protects the others from a workspace that sends many times its
// usual load.
func (r Request) withShare() Request {
	r.DisplacedRatio *= cmp.Or(r.DisplacedWeight, 1)
	if r.OverShare {
		r.Objective -= time.Duration(reservedObjectiveFraction * r.SlotScarcity * float64(r.Objective))
	}
	return r
}
