// Package admission decides whether a request is served now, and when its
// caller may come back if not.
//
// Engines serve in the order of arrival, so a request that would be late only
// because others wait before it makes those behind it late as well, for an
// answer that is worth a quarter. It is refused at once, before any engine has
// read a token of it, and told when the queue in front of it will be gone. A
// caller that comes back is judged like any other: by what is predicted then.
//
// # Usage
//
//	p := admission.Default()
//	if no, refused := p.Judge(admission.Request{First: placement.First, ...}); refused {
//		... answer no.Why, Retry-After no.After
//	}
//
// To weigh a rule, switch it off: admission.Default().WithLate(false).
package admission

import (
	"cmp"
	"time"
)

// Why a request is refused.
const (
	// NoTime is a request that can't be answered in the time its caller has.
	NoTime Reason = "no_time"
	// QueueTooLong is a stream that would be late for those that wait before it.
	QueueTooLong Reason = "queue_too_long"
	// EnginesBusy is a prompt that displaces more than it is worth.
	EnginesBusy Reason = "engines_busy"
	// OverShare is a request that would be served if its workspace did not hold
	// much more of the engines than others.
	OverShare Reason = "workspace_over_share"
)

const (
	// queueTimes is by how much the queue has to prolong the time to the first
	// token before it is what makes a stream late. A prompt that idle engines
	// can't read in time is late by itself, and would be refused for ever.
	queueTimes = 2
	// mostDisplaced is by how many times what a request displaces may exceed
	// its own value. It holds for callers that come back too: with 8 for these,
	// engines were kept busy by long prompts that were late already. The part of
	// the value asked for that callers get rises from 0.811 to 0.838 and from
	// 0.847 to 0.868 (0.024, standard error 0.006, 49 pairs of days with equal
	// seeds on four deployments); at 2 it is the same within 0.004.
	mostDisplaced = 1
	// noTimeWait sends a caller with little time left to another host at once:
	// about two passes of an engine.
	noTimeWait = 150 * time.Millisecond
	// enginesWait is about how long a long prompt keeps its engines.
	enginesWait = 1500 * time.Millisecond
	// returnPart is the part of their time after which callers still come back:
	// a third, less the way and what refusals are spread by.
	returnPart = 0.2
	// leftToOthers is the part of their objectives that workspaces over their
	// share leave to others once slots are full: a place or two in the queue.
	leftToOthers = 0.5
)

type (
	// Reason says in one word why a request is refused. Callers see it.
	Reason string

	// Request is what is known of a request when its servers have been chosen.
	Request struct {
		// Stream says that its answer is a series of events.
		Stream bool
		// TimeLeft is how long its caller still waits.
		TimeLeft time.Duration
		// Objective is the time to the first event that is in time.
		Objective time.Duration
		// FirstToken is the predicted time to the first token from now, IdleFirstToken the
		// same if all engines were idle; zero for plain services.
		FirstToken, IdleFirstToken time.Duration
		// DisplacedRatio is the value of what the engines could do instead, beside
		// the value of the request.
		DisplacedRatio float64
		// EngineMemory is how many engines' memory the request fills, and SpareFraction the
		// least part of all engines that doesn't read it.
		EngineMemory, SpareFraction float64
		// DisplacedWeight is by how much what the request displaces counts, by the part of
		// the engines that its workspace holds, and Over whether that is much
		// more than an even part. Full is how scarce slots are, from 0 to 1.
		DisplacedWeight float64
		OverShare       bool
		SlotScarcity    float64
	}

	// Refusal is why a request isn't served, and after how long its caller may
	// come back.
	Refusal struct {
		Reason     Reason
		RetryAfter time.Duration
	}

	// Policy is which rules hold: an immutable value.
	Policy struct {
		late, displaced, shares bool
	}
)

// Default returns the policy in which all rules hold.
func Default() Policy { return Policy{late: true, displaced: true, shares: true} }

// WithLate returns a copy in which streams that the queue makes late are
// refused, or not.
func (p Policy) WithLate(on bool) Policy { p.late = on; return p }

// WithDisplaced returns a copy in which prompts that displace more than they
// are worth are refused, or not.
func (p Policy) WithDisplaced(on bool) Policy { p.displaced = on; return p }

// WithShares returns a copy in which it counts what part of the engines a
// request's workspace holds, or not.
func (p Policy) WithShares(on bool) Policy { p.shares = on; return p }

// Decide reports whether a request is refused, and how.
func (p Policy) Decide(r Request) (Refusal, bool) {
	if !p.shares {
		return p.judge(r)
	}
	no, refused := p.judge(r.shared())
	if refused && r.OverShare {
		if _, alone := p.judge(r); !alone {
			no.Reason = OverShare
		}
	}
	return no, refused
}

// judge judges a request by itself.
func (p Policy) judge(r Request) (Refusal, bool) {
	switch {
	case r.FirstToken > r.TimeLeft:
		return Refusal{NoTime, noTimeWait}, true
	case p.late && r.queued():
		return r.later(QueueTooLong, r.FirstToken), true
	case p.displaced && r.DisplacedRatio > r.mostDisplaced():
		return r.later(EnginesBusy, max(r.FirstToken, enginesWait)), true
	}
	return Refusal{}, false
}

// queued reports whether the queue makes the first event late. This answers
// bursts of long prompts, which leave engines 5 to 9 s of prompts to read that
// are late already, while short streams wait for slots on the others. With the
// rule the part of the value asked for that callers get rises by 0.0052
// (standard error 0.0024, 53 pairs of days with equal seeds on four deployments,
// on each of them up); after what refusals cost 0.004 (0.004) are left. At 0.85
// and 1.5 times the objective it is the same within 0.004.
func (r Request) queued() bool {
	return r.Stream && r.FirstToken > r.Objective && r.FirstToken > queueTimes*r.IdleFirstToken
}

// mostDisplaced is how many times its own value a request may displace. Reading
// takes time with the square of the length and value grows with the length, so
// a burst of long prompts would turn away nearly all of the longest: on 150
// engines, of those that need the memory of several 54 in 127 were refused for
// what they displace, all of them predicted in time, and 35 read. One that will
// be in time may displace more by as many engines' memory as it fills, as far
// as other engines are left for the rest: before 18 engines, where none are, it
// cost 0.005 of worth (standard error 0.004, 15 pairs of days with equal seeds).
func (r Request) mostDisplaced() float64 {
	if r.FirstToken > r.Objective {
		return mostDisplaced
	}
	return mostDisplaced * (1 + max(r.EngineMemory-1, 0)*r.SpareFraction)
}

// later refuses with a time to come back: when that is over which is in front,
// as far as callers still come back then.
func (r Request) later(why Reason, after time.Duration) Refusal {
	return Refusal{why, min(after, time.Duration(returnPart*float64(r.TimeLeft)))}
}

// shared is the request with its workspace's part of the engines counted in:
// what it displaces has that part's price, and where slots are scarce one that
// holds too much leaves the last places in the queue to others. It guards
// against one workspace that sends many times its usual: at eight times it, 74
// of the others' long prompts are in time, 45 without the rule, 78 on the same
// days without the crowd; at twenty times it, 0.97 and 0.96 of their short
// streams, 0.71 and 0.72 without the rule, for 0.020 and 0.007 of the value that
// all ask for (two deployments, three seeds each).
func (r Request) shared() Request {
	r.DisplacedRatio *= cmp.Or(r.DisplacedWeight, 1)
	if r.OverShare {
		r.Objective -= time.Duration(leftToOthers * r.SlotScarcity * float64(r.Objective))
	}
	return r
}
