// Package member keeps the list of a fleet's daemons: who is alive, who is
// suspected, who has gone. It holds no I/O: the daemon pings, and tells the
// [Table] what came of it.
//
// A member is named by address and incarnation, so that a host that comes
// back under its old address is a new member. Silence first makes a member
// suspected; only after the suspicion has stood for a time is it dead. A
// member that hears of its own suspicion contradicts it with a higher
// revision.
//
// # Usage
//
//	t := member.New(self)
//	t.Merge(m, now)           // from a message
//	target, ok := t.Next(rnd) // whom to ping
//	t.Silent(target, now)     // no answer, directly or by others
//	changed := t.Tick(now)
package member

import (
	"math/rand/v2"
	"time"

	"slipcrank.example/core/gossip"
)

// Status of a member. Of two records with the same revision the higher status
// holds.
type Status uint8

// The statuses.
const (
	Alive Status = iota
	Suspect
	Leaving
	Dead
)

// String returns the status as a word.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

const (
	// SuspicionTimeout is how long a suspicion stands before the member is dead.
	SuspicionTimeout = 3 * time.Second
	// forgetTime is how long a dead member is remembered, so that late news
	// does not bring it back.
	forgetTime = 2 * time.Minute
)

type (
	// Member is what is known of one daemon.
	Member struct {
		Addr        string // IP number and port for other daemons
		Hall        string
		Incarnation uint64
		Revision    uint32
		Status      Status
	}

	// Table is one daemon's list of members. One goroutine owns it.
	Table struct {
		self  Member
		set   *gossip.Set[Member]
		since map[string]time.Time // of the last change of status
		round []string             // members still to be pinged in this round
	}
)

// New returns a table with only the daemon itself.
func New(self Member) *Table {
	t := &Table{
		self:  self,
		set:   gossip.New(func(m Member) string { return m.Addr }, newer),
		since: map[string]time.Time{},
	}
	t.set.Merge(self)
	return t
}

func newer(a, b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.Status > b.Status
}

// Self returns the daemon's own record.
func (t *Table) Self() Member { return t.self }

// Merge takes news of a member and reports whether the list changed.
func (t *Table) Merge(m Member, now time.Time) bool {
	if m.Addr == t.self.Addr {
		return t.contradict(m)
	}
	old, known := t.set.Get(m.Addr)
	if !known && m.Status == Dead {
		return false
	}
	if !t.set.Merge(m) {
		return false
	}
	if !known || old.Status != m.Status || old.Incarnation != m.Incarnation {
		t.since[m.Addr] = now
	}
	return true
}

// contradict answers a record of the daemon itself that is wrong.
func (t *Table) contradict(m Member) bool {
	if !newer(m, t.self) || (m.Incarnation == t.self.Incarnation && m.Status == t.self.Status) {
		return false
	}
	if m.Incarnation > t.self.Incarnation {
		t.self.Incarnation = m.Incarnation + 1 // the clock went back between two starts
	}
	t.self.Revision = m.Revision + 1
	t.set.Merge(t.self)
	return true
}

// Leave marks the daemon itself as leaving.
func (t *Table) Leave() {
	t.self.Revision++
	t.self.Status = Leaving
	t.set.Merge(t.self)
}

// PingFailed says that a member answered neither directly nor through others.
func (t *Table) PingFailed(addr string, now time.Time) bool {
	m, ok := t.set.Get(addr)
	if !ok || (m.Status != Alive && m.Status != Leaving) {
		return false
	}
	if m.Status == Leaving {
		m.Status = Dead // it said that it would go
	} else {
		m.Status = Suspect
	}
	return t.Merge(m, now)
}

// Tick turns old suspicions into deaths and forgets old deaths. It reports
// whether the list changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for _, m := range t.set.All() {
		age := now.Sub(t.since[m.Addr])
		switch {
		case m.Addr == t.self.Addr:
		case m.Status == Suspect && age >= SuspicionTimeout:
			m.Status = Dead
			changed = t.Merge(m, now) || changed
		case m.Status == Dead && age >= forgetTime:
			t.set.Delete(m.Addr)
			delete(t.since, m.Addr)
		}
	}
	return changed
}

// NextPing returns the member to ping. Every member comes once in a round, in
// random order, so that no death stays unseen for longer than a round.
func (t *Table) NextPing(r *rand.Rand) (string, bool) {
	for range 2 {
		for len(t.round) > 0 {
			a := t.round[0]
			t.round = t.round[1:]
			if m, ok := t.set.Get(a); ok && m.Status != Dead {
				return a, true
			}
		}
		for _, m := range t.set.All() {
			if m.Addr != t.self.Addr && m.Hall == t.self.Hall {
				t.round = append(t.round, m.Addr)
			}
		}
		r.Shuffle(len(t.round), func(i, j int) { t.round[i], t.round[j] = t.round[j], t.round[i] })
	}
	return "", false
}

// RandomAlive returns the addresses of up to n random members that are thought
// alive and for which want is true.
func (t *Table) RandomAlive(n int, r *rand.Rand, want func(Member) bool) []string {
	var as []string
	for _, m := range t.set.All() {
		if m.Addr != t.self.Addr && m.Status == Alive && want(m) {
			as = append(as, m.Addr)
		}
	}
	r.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(n, len(as))]
}

// Get returns the member at addr, and whether it is known.
func (t *Table) Get(addr string) (Member, bool) { return t.set.Get(addr) }

// All returns all members with the daemon itself, by address.
func (t *Table) All() []Member { return t.set.All() }

// Len returns the number of members known.
func (t *Table) Len() int { return t.set.Len() }

// Updates returns at most n records that others may not know.
func (t *Table) Updates(n int) []Member { return t.set.Updates(n, t.set.Len()) }

// PeerInSync says that some other daemon has the same records.
func (t *Table) PeerInSync() { t.set.PeerInSync(t.set.Len()) }
