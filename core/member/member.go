// Package member keeps the membership list of a fleet's daemons: which are alive,
// suspected or dead. It does no I/O: the daemon sends the pings and reports their
// results to the [Table].
//
// A member is identified by address and incarnation, so a host that returns under its
// old address is a new member. A member that doesn't answer is first suspected, and
// declared dead only when the suspicion has lasted for [SuspicionTimeout]. A member
// that receives a record of its own suspicion refutes it with a higher revision.
//
// # Usage
//
//	t := member.New(self)
//	t.Merge(m, now)               // from a message
//	target, ok := t.NextPing(rnd) // the member to ping
//	t.PingFailed(target, now)     // no answer, directly or through others
//	changed := t.Tick(now)
package member

import (
	"math/rand/v2"
	"time"

	"slipcrank.example/core/gossip"
)

// Status is the status of a member. Of two records with the same revision, the one with
// the higher status wins.
type Status uint8

// The statuses of a member, in ascending precedence.
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
	// SuspicionTimeout is how long a member is suspected before it is declared dead.
	SuspicionTimeout = 3 * time.Second
	// deadRetention is how long the record of a dead member is kept, so that late
	// messages don't resurrect it.
	deadRetention = 2 * time.Minute
)

type (
	// Member is the record of one daemon.
	Member struct {
		Addr        string // IP address and port for other daemons
		Hall        string
		Incarnation uint64
		Revision    uint32
		Status      Status
	}

	// Table is one daemon's membership list. It is not safe for concurrent use.
	Table struct {
		self      Member
		set       *gossip.Set[Member]
		changedAt map[string]time.Time // last change of status, by address
		toPing    []string             // members not yet pinged in this round
	}
)

// New returns a table that contains only the daemon itself.
func New(self Member) *Table {
	t := &Table{
		self:      self,
		set:       gossip.New(func(m Member) string { return m.Addr }, newer),
		changedAt: map[string]time.Time{},
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

// Merge merges a record of a member, and reports whether the list changed.
func (t *Table) Merge(m Member, now time.Time) bool {
	if m.Addr == t.self.Addr {
		return t.refute(m)
	}
	old, known := t.set.Get(m.Addr)
	if !known && m.Status == Dead {
		return false
	}
	if !t.set.Merge(m) {
		return false
	}
	if !known || old.Status != m.Status || old.Incarnation != m.Incarnation {
		t.changedAt[m.Addr] = now
	}
	return true
}

// refute replaces a wrong record of the daemon itself by a newer one, and reports
// whether it did.
func (t *Table) refute(m Member) bool {
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

// PingFailed records that a member answered neither directly nor through others, and
// reports whether the list changed.
func (t *Table) PingFailed(addr string, now time.Time) bool {
	m, ok := t.set.Get(addr)
	if !ok || (m.Status != Alive && m.Status != Leaving) {
		return false
	}
	if m.Status == Leaving {
		m.Status = Dead // it announced its departure, so no suspicion is needed
	} else {
		m.Status = Suspect
	}
	return t.Merge(m, now)
}

// Tick declares members dead that have been suspected for [SuspicionTimeout], and
// removes records of dead members after their retention time. It reports whether any
// status changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for _, m := range t.set.All() {
		age := now.Sub(t.changedAt[m.Addr])
		switch {
		case m.Addr == t.self.Addr:
		case m.Status == Suspect && age >= SuspicionTimeout:
			m.Status = Dead
			changed = t.Merge(m, now) || changed
		case m.Status == Dead && age >= deadRetention:
			t.set.Delete(m.Addr)
			delete(t.changedAt, m.Addr)
		}
	}
	return changed
}

// NextPing returns the next member of the own hall to ping, and whether there is one.
// Each round pings every member of the hall once in random order, so that a failure is
// detected within one round.
func (t *Table) NextPing(r *rand.Rand) (string, bool) {
	for range 2 {
		for len(t.toPing) > 0 {
			a := t.toPing[0]
			t.toPing = t.toPing[1:]
			if m, ok := t.set.Get(a); ok && m.Status != Dead {
				return a, true
			}
		}
		for _, m := range t.set.All() {
			if m.Addr != t.self.Addr && m.Hall == t.self.Hall {
				t.toPing = append(t.toPing, m.Addr)
			}
		}
		r.Shuffle(len(t.toPing), func(i, j int) { t.toPing[i], t.toPing[j] = t.toPing[j], t.toPing[i] })
	}
	return "", false
}

// RandomAlive returns the addresses of up to n random other members that are alive and
// for which eligible returns true.
func (t *Table) RandomAlive(n int, r *rand.Rand, eligible func(Member) bool) []string {
	var as []string
	for _, m := range t.set.All() {
		if m.Addr != t.self.Addr && m.Status == Alive && eligible(m) {
			as = append(as, m.Addr)
		}
	}
	r.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] })
	return as[:min(n, len(as))]
}

// Get returns the member at addr, and whether it is known.
func (t *Table) Get(addr string) (Member, bool) { return t.set.Get(addr) }

// All returns all members including the daemon itself, sorted by address.
func (t *Table) All() []Member { return t.set.All() }

// Len returns the number of known members, including the daemon itself.
func (t *Table) Len() int { return t.set.Len() }

// Updates returns at most n records that other members may not have yet.
func (t *Table) Updates(n int) []Member { return t.set.Updates(n, t.set.Len()) }

// PeerInSync records that another daemon has the same records.
func (t *Table) PeerInSync() { t.set.PeerInSync(t.set.Len()) }
