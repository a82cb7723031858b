// Package drain decides which requests a host may still send to backend servers during a
// planned stop. A request that isn't expected to be answered before the process ends is
// better refused at once: its caller can be served by another host in all of its time.
//
// # Usage
//
//	p := drain.Plan{RefuseFrom: begun.Add(notice), End: begun.Add(grace - margin)}
//	if !p.Allows(time.Now(), drain.Request{Stream: true, Expected: e, Left: l}) { refuse() }
package drain

import "time"

// minAnswerTime is the time that an answer or a refusal takes at least on a busy host.
const minAnswerTime = 200 * time.Millisecond

type (
	// Plan is a planned stop.
	Plan struct {
		// RefuseFrom is when callers should have been moved to other hosts. From then on
		// a new request is sent only if it certainly ends before End.
		RefuseFrom time.Time
		// End is when the process closes all connections.
		End time.Time
	}

	// Request is a request that is about to be sent to a server.
	Request struct {
		Stream bool
		// Continued reports that this host may have sent the request to a server before.
		Continued bool
		// Expected is the time within which almost all requests of its kind are answered, and Left
		// the time until its deadline.
		Expected, Left time.Duration
	}
)

// Allows reports whether a request may be sent at a time. The time must be taken right
// before the request is sent: it may have waited since it arrived.
func (p Plan) Allows(now time.Time, r Request) bool {
	need := min(r.Expected, r.Left)
	if !r.Continued && !now.Before(p.RefuseFrom) {
		if r.Stream {
			return false
		}
		need = r.Left
	}
	return !now.Add(max(need, minAnswerTime)).After(p.End)
}
