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

	"slipcrank.example/core/demand"
)

// Reasons for a refusal.
const (
	// NoTime means that the request can't be answered before its caller's deadline.
	NoTime Reason = "no_time"
	// QueueTooLong means that the queue would make a stream late.
	QueueTooLong Reason = "queue_too_long"
	// EnginesBusy means that the request displaces work of more value than its own.
	EnginesBusy Reason = "engines_busy"
	// LateCaller means that the caller has waited too long to be served in time, and that
	// the engines have no room for more than callers who can be.
	LateCaller Reason = "late_caller"
	// MoreUrgent means that more urgent requests of the same service are served less often.
	MoreUrgent Reason = "more_urgent_first"
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
	// scarceSlotsUsed is the fraction of slots in use from which on callers who can't be served
	// in time yield to others: engines are full in turn, so each slot is wanted by a caller
	// who can.
	scarceSlotsUsed = 0.9
	// maxLateRisk is the greatest risk that others take the free slots first. A slot that is
	// left free is taken within milliseconds while slots are scarce, whereas a late answer
	// takes a slot as long as one in time.
	maxLateRisk = 0.1
	// maxUrgencyLag is by how much less often more urgent requests may be served than those of
	// a priority, as a fraction of all: operators accept a difference of a twentieth.
	maxUrgencyLag = 0.05
	// busySlotsUsed is the fraction of slots in use from which on less urgent requests may be
	// refused for more urgent ones. Below it, refusals have other causes.
	busySlotsUsed = 0.75
	// minOwnShare is how often a priority is served at least, compared with all requests.
	// Operators take one that is served less than a quarter as often for starved; the
	// difference allows for counts that lag.
	minOwnShare = 0.35
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
		// Objective is the maximum time to the first event that counts as in time, and Waited
		// how long the caller had waited for it before this attempt.
		Objective, Waited time.Duration
		// FirstToken is the predicted time from now to the first token, and
		// IdleFirstToken the prediction for idle engines; both are zero for plain
		// services.
		FirstToken, IdleFirstToken time.Duration
		// Served are the fractions of requests of the service that are admitted; its zero
		// value counts as unknown.
		Served demand.Shares
		// LateRisk is the probability that the first event is late because other requests
		// take the engine's free slots first.
		LateRisk float64
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
		// SlotsUsed is the fraction of all slots that the request can't use.
		SlotsUsed float64
	}

	// Refusal says why a request isn't served, and after how long its caller may
	// retry.
	Refusal struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// Policy is an immutable set of enabled rules.
	Policy struct {
		late, displaced, shares, yield, slotRisk, urgency bool
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

// WithYield returns a copy that does or doesn't refuse streams that can't be in time
// any more, in favor of others, while slots are scarce.
func (p Policy) WithYield(on bool) Policy { p.yield = on; return p }

// WithSlotRisk returns a copy that does or doesn't refuse streams whose slots others would
// probably take first.
func (p Policy) WithSlotRisk(on bool) Policy { p.slotRisk = on; return p }

// WithUrgency returns a copy that does or doesn't refuse requests while more urgent ones of
// the same service are served less often.
func (p Policy) WithUrgency(on bool) Policy { p.urgency = on; return p }

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
	case p.late && p.remaining(r).lateFromQueue():
		return r.refuse(QueueTooLong, p.queueTime(r)), true
	case p.slotRisk && r.risksSlot():
		return r.refuse(QueueTooLong, p.queueTime(r)), true
	case p.yield && r.mustYield():
		return r.refuse(LateCaller, r.TimeLeft), true
	case p.urgency && r.precedesMoreUrgent():
		return r.refuse(MoreUrgent, max(r.FirstToken, minBusyRetryAfter)), true
	case p.displaced && r.DisplacedRatio > r.maxDisplacedRatio():
		return r.refuse(EnginesBusy, max(r.FirstToken, minBusyRetryAfter)), true
	}
	return Refusal{}, false
}

// remaining returns the request with the part of its objective that is left, where callers who
// return are told apart. One of whose objective nothing is left is judged like a new one.
func (p Policy) remaining(r Request) Request {
	if p.yield && r.Waited < r.Objective {
		r.Objective -= r.Waited
	}
	return r
}

// lateFromQueue reports whether the queue makes the first event late, or whether the
// request would take the room in the queue that larger prompts need.
func (r Request) lateFromQueue() bool {
	if !r.Stream || r.FirstToken <= minQueueSlowdown*r.IdleFirstToken {
		return false
	}
	return r.FirstToken > r.Objective || r.FirstToken-r.IdleFirstToken > r.maxWait()
}

// queueTime returns after how long a caller who is refused for the queue may retry. A stream that
// yields to others when it returns is better served after the load has passed: it is late
// either way, and refused for good if it returns too soon.
func (p Policy) queueTime(r Request) time.Duration {
	if p.yield && r.slotsScarce() {
		return r.TimeLeft
	}
	return r.FirstToken
}

// risksSlot reports whether a stream that could be in time would probably find its slot taken.
func (r Request) risksSlot() bool {
	return r.Stream && r.EnginesFilled < minReservingFill && r.Waited < r.Objective && r.LateRisk > maxLateRisk
}

// mustYield reports whether the caller has waited too long to be served in time while
// others who can be want the slot. Serving both kinds alike serves as many requests, but
// fewer in time: past the capacity, most slots then go to callers who were refused before.
func (r Request) mustYield() bool {
	return r.Stream && r.Waited >= r.Objective && r.slotsScarce()
}

// precedesMoreUrgent reports whether the request would be served although more urgent ones are
// served less often than those of its own priority. A priority that is itself served much less
// often than all requests is never starved for more urgent ones.
func (r Request) precedesMoreUrgent() bool {
	s := r.Served
	return r.SlotsUsed >= busySlotsUsed && s.Own-s.Urgent > maxUrgencyLag && s.Own > minOwnShare*s.All
}

// slotsScarce reports whether the request competes with others for the last slots. Long prompts
// compete for the engines' time instead.
func (r Request) slotsScarce() bool {
	return r.EnginesFilled < minReservingFill && r.SlotsUsed >= scarceSlotsUsed
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
