package group

import (
	"cmp"
	"slices"
	"time"
)

const (
	// WaitTTL is how long a group counts as waiting after it last said so.
	WaitTTL = 2500 * time.Millisecond
	// smallPart is the part of an engine's memory, one in so many, up to which
	// a request never waits for a group.
	smallPart = 100
)

type (
	// Queue is the groups that wait for the memory of one engine, as its owner
	// knows them. While a group waits, requests that are less urgent get no
	// memory there, so that what the running ones free adds up for the group;
	// and of several groups only the most urgent one tries to reserve. It is
	// soft: who does not say again that it waits is forgotten, and the engine
	// has the last word. One goroutine owns it.
	Queue struct {
		waiting map[string]waiting
	}

	// WaitStatus is what an engine's owner answers to a group that waits there.
	WaitStatus struct {
		Outranked bool // a more urgent group waits there too
		Free      int  // tokens of memory that are free, as the owner counts them
		Total     int  // tokens in all; 0 if the owner knows nothing of the engine
	}

	waiting struct {
		priority int64
		until    time.Time
	}
)

// NewQueue returns a queue in which nobody waits.
func NewQueue() *Queue { return &Queue{waiting: map[string]waiting{}} }

// Join says that a group waits, and reports whether a more urgent one does.
func (q *Queue) Join(id string, priority int64, now time.Time) bool {
	q.forget(now)
	q.waiting[id] = waiting{priority: priority, until: now.Add(WaitTTL)}
	for other, w := range q.waiting {
		if cmp.Or(cmp.Compare(w.priority, priority), cmp.Compare(other, id)) < 0 {
			return true
		}
	}
	return false
}

// Leave says that a group waits no longer.
func (q *Queue) Leave(id string) { delete(q.waiting, id) }

// MustWait reports whether a request has to wait for a more urgent group. Memory
// is what the request needs, and total what the engine has, in tokens.
func (q *Queue) MustWait(priority int64, memory, total int, now time.Time) bool {
	if memory*smallPart <= total {
		return false
	}
	for _, w := range q.waiting {
		if w.priority < priority && now.Before(w.until) {
			return true
		}
	}
	return false
}

func (q *Queue) forget(now time.Time) {
	for id, w := range q.waiting {
		if !now.Before(w.until) {
			delete(q.waiting, id)
		}
	}
}

// EnginesToWaitFor returns the addresses of the engines for which a group should wait:
// those with the most free memory, until all their memory is enough. It
// returns none if no [MaxMembers] of them have enough.
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
