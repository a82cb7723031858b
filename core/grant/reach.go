package grant

import "time"

const (
	// silence is how long a host may leave questions unanswered, and silentAsks how
	// many, before it counts as silent: on a link that loses packets one is lost now
	// and then, and a busy host answers within some 10 ms.
	silence    = 600 * time.Millisecond
	silentAsks = 2
)

type (
	// Reachability is which hosts leave this one's questions unanswered. It is for use by one
	// goroutine.
	Reachability struct {
		asked map[string]unanswered
	}

	unanswered struct {
		count        int
		first, since time.Duration // when the first and the last of them was asked
	}
)

// NewReachability returns a reach of which nothing is known: all hosts count as there.
func NewReachability() *Reachability { return &Reachability{asked: map[string]unanswered{}} }

// RequestSent notes a question to a host.
func (r *Reachability) RequestSent(host string, now time.Duration) {
	u, known := r.asked[host]
	if !known {
		u.first = now
	}
	u.count++
	u.since = now
	r.asked[host] = u
}

// ReplyReceived notes that a host has said something.
func (r *Reachability) ReplyReceived(host string) { delete(r.asked, host) }

// Unresponsive reports whether a host has left questions unanswered for too long.
func (r *Reachability) Unresponsive(host string, now time.Duration) bool {
	u := r.asked[host]
	return u.count >= silentAsks && now-u.first >= silence
}

// SinceUnanswered is how long ago a host was asked last that has not answered since, and whether
// there is such a question.
func (r *Reachability) SinceUnanswered(host string, now time.Duration) (time.Duration, bool) {
	u, known := r.asked[host]
	return now - u.since, known
}

// Retain drops all hosts but those that are known.
func (r *Reachability) Retain(known func(host string) bool) {
	for h := range r.asked {
		if !known(h) {
			delete(r.asked, h)
		}
	}
}
