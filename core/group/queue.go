package group

import (
	"cmp"
	"slices"
	"time"
)

const (
	// WaitTTL is how long a group counts as waiting after its last call of
	// [Queue.Join].
	WaitTTL = 2500 * time.Millisecond
	// smallRequestDivisor sets the size of a small request, which never waits
	// for a group: up to the engine's memory divided by it.
	smallRequestDivisor = 100
)

type (
	// Queue holds the groups that wait for the memory of one engine. The
	// engine's owner keeps it. While a group waits, less urgent requests get no
	// memory on the engine, so that the memory freed by running requests
	// accumulates for the group; of several waiting groups, only the most
	// urgent one tries to reserve. The queue is soft state: an entry expires
	// unless it is renewed, and the engine itself decides on reservations. It
	// is not safe for concurrent use.
	Queue struct {
		waiting map[string]waiting
	}

	// WaitStatus is the reply of an engine's owner to a group that waits there.
	WaitStatus struct {
		Outranked bool // a more urgent group also waits there
		Free      int  // free memory by the count of the owner, in tokens
		Total     int  // total memory, in tokens; 0 if the owner has no report of the engine
	}

	waiting struct {
		priority int64
		expiry   time.Time
	}
)

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{waiting: map[string]waiting{}} }

// Join adds a group to the queue or renews its entry, and reports whether a more
// urgent group waits. Groups of equal priority are ordered by id.
func (q *Queue) Join(id string, priority int64, now time.Time) bool {
	q.expire(now)
	q.waiting[id] = waiting{priority: priority, expiry: now.Add(WaitTTL)}
	for other, w := range q.waiting {
		if cmp.Or(cmp.Compare(w.priority, priority), cmp.Compare(other, id)) < 0 {
			return true
		}
	}
	return false
}

// Leave removes a group from the queue.
func (q *Queue) Leave(id string) { delete(q.waiting, id) }

// MustWait reports whether a request has to wait for a more urgent group. Memory
// is the memory that the request needs, and total that of the engine, both in
// tokens.
func (q *Queue) MustWait(priority int64, memory, total int, now time.Time) bool {
	if memory*smallRequestDivisor <= total {
		return false
	}
	for _, w := range q.waiting {
		if w.priority < priority && now.Before(w.expiry) {
			return true
		}
	}
	return false
}

func (q *Queue) expire(now time.Time) {
	for id, w := range q.waiting {
		if !now.Before(w.expiry) {
			delete(q.waiting, id)
		}
	}
}

// EnginesToWaitFor returns the addresses of the engines for whose memory a group
// should wait: those with the most free memory, as many as are needed to hold
// the tokens when idle. It returns nil if more than [MaxMembers] are needed.
func EnginesToWaitFor(cs []Candidate, tokens int) []string {
	cs = slices.Clone(cs)
	slices.SortFunc(cs, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Addr, b.Addr))
	})
	var out []string
	for _, c := range cs {
		if tokens <= 0 || len(out) == MaxMembers {
			break
		}
		out = append(out, c.Addr)
		tokens -= c.Total
	}
	if tokens > 0 {
		return nil
	}
	return out
}
