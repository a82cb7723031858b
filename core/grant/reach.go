package grant

import "time"

const (
	// replyTimeout is how long a host may leave requests unanswered, and
	// minUnanswered how many it must leave, before it counts as unresponsive: single
	// packets are lost on a lossy link, and a busy host replies within some 10 ms.
	replyTimeout  = 600 * time.Millisecond
	minUnanswered = 2
)

type (
	// Reachability tracks which hosts leave this host's requests unanswered. It is not
	// safe for concurrent use.
	Reachability struct {
		pending map[string]unanswered
	}

	unanswered struct {
		count       int
		first, last time.Duration // when the first and the last of them were sent
	}
)

// NewReachability returns a Reachability in which all hosts count as responsive.
func NewReachability() *Reachability { return &Reachability{pending: map[string]unanswered{}} }

// RequestSent records a request to a host.
func (r *Reachability) RequestSent(host string, now time.Duration) {
	u, known := r.pending[host]
	if !known {
		u.first = now
	}
	u.count++
	u.last = now
	r.pending[host] = u
}

// ReplyReceived records that a host has sent a message.
func (r *Reachability) ReplyReceived(host string) { delete(r.pending, host) }

// Unresponsive reports whether a host has left requests unanswered for too long.
func (r *Reachability) Unresponsive(host string, now time.Duration) bool {
	u := r.pending[host]
	return u.count >= minUnanswered && now-u.first >= replyTimeout
}

// SinceUnanswered returns the time since the last unanswered request to a host, and
// whether there is one.
func (r *Reachability) SinceUnanswered(host string, now time.Duration) (time.Duration, bool) {
	u, ok := r.pending[host]
	return now - u.last, ok
}

// Retain drops the records of hosts for which known is false.
func (r *Reachability) Retain(known func(host string) bool) {
	for h := range r.pending {
		if !known(h) {
			delete(r.pending, h)
		}
	}
}
