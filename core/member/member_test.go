package member_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/member"
)

// syncSeconds is the interval between two syncs of a member.
const syncSeconds = 15

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func alive(addr string, incarnation uint64) member.Member {
	return member.Member{Addr: addr, Hall: "a", Incarnation: incarnation}
}

// fleet simulates members that ping each other and exchange updates.
type fleet struct {
	tables map[string]*member.Table
	down   map[string]bool
	now    time.Time
	random *rand.Rand
	round  int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{tables: map[string]*member.Table{}, down: map[string]bool{}, now: start, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		a := fmt.Sprintf("m%02d", i)
		f.tables[a] = member.New(alive(a, 1))
		f.tables[a].Merge(alive("m00", 1), f.now)
		f.tables["m00"].Merge(alive(a, 1), f.now)
	}
	return f
}

// step advances the time by a second, in which each living member pings once.
func (f *fleet) step() {
	f.now = f.now.Add(time.Second)
	f.round++
	for i, a := range slices.Sorted(maps.Keys(f.tables)) {
		t := f.tables[a]
		if f.down[a] {
			continue
		}
		t.Tick(f.now)
		if (f.round+i)%syncSeconds == 0 {
			f.sync(t)
		}
		b, ok := t.NextPing(f.random)
		if !ok {
			continue
		}
		if f.down[b] || f.tables[b] == nil {
			t.PingFailed(b, f.now)
			continue
		}
		for _, m := range t.Updates(8) {
			f.tables[b].Merge(m, f.now)
		}
		for _, m := range f.tables[b].Updates(8) {
			t.Merge(m, f.now)
		}
	}
}

// sync exchanges all records with one other member, as daemons do periodically.
func (f *fleet) sync(t *member.Table) {
	for _, b := range t.RandomAlive(1, f.random, func(member.Member) bool { return true }) {
		if f.down[b] {
			continue
		}
		for _, m := range t.All() {
			f.tables[b].Merge(m, f.now)
		}
		for _, m := range f.tables[b].All() {
			t.Merge(m, f.now)
		}
	}
}

// agree reports whether all living members list exactly the living ones as alive.
func (f *fleet) agree() bool {
	for a, t := range f.tables {
		if f.down[a] {
			continue
		}
		listed := 0
		for _, m := range t.All() {
			if m.Status == member.Alive {
				if f.down[m.Addr] {
					return false
				}
				listed++
			}
		}
		if listed != len(f.tables)-len(f.down) {
			return false
		}
	}
	return true
}

func TestFleetConvergesAfterDeaths(t *testing.T) {
	for name, tc := range map[string]struct{ members, deaths, within int }{
		"8 members":         {8, 2, 20},
		"a third of 32 die": {32, 10, 40},
		"a few of 74 die":   {74, 3, 60},
		"a third of 74 die": {74, 24, 60},
		"one of two dies":   {2, 1, 10},
		"none dies":         {20, 0, 30},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tc.members, 3)
			for range 40 {
				f.step()
			}
			if !f.agree() {
				t.Fatal("the members don't agree 40 s after the start")
			}
			for i := range tc.deaths {
				f.down[fmt.Sprintf("m%02d", i+1)] = true
			}
			took := 0
			for ; !f.agree(); took++ {
				if took > tc.within {
					t.Fatalf("no agreement within %d s of the deaths", tc.within)
				}
				f.step()
			}
			t.Logf("%d members agree on %d deaths after %d s", tc.members, tc.deaths, took)
		})
	}
}

func TestSuspectedMemberRefutes(t *testing.T) {
	a, b := member.New(alive("a", 1)), member.New(alive("b", 1))
	a.Merge(alive("b", 1), start)
	b.Merge(alive("a", 1), start)
	a.PingFailed("b", start)
	for _, m := range a.Updates(8) {
		b.Merge(m, start)
	}
	for _, m := range b.Updates(8) {
		a.Merge(m, start)
	}
	a.Tick(start.Add(time.Hour))
	for _, m := range a.All() {
		if m.Status != member.Alive {
			t.Errorf("%s is %v although it refuted the suspicion", m.Addr, m.Status)
		}
	}
}

func TestRestartedHostIsANewMember(t *testing.T) {
	a := member.New(alive("a", 1))
	a.Merge(alive("b", 1), start)
	a.PingFailed("b", start)
	a.Tick(start.Add(member.SuspicionTimeout))
	if !a.Merge(alive("b", 2), start.Add(time.Minute)) {
		t.Error("a restarted host is not accepted as a new member")
	}
	if a.Merge(member.Member{Addr: "b", Hall: "a", Incarnation: 1, Revision: 9, Status: member.Dead}, start) {
		t.Error("a late record of the previous incarnation replaces the current one")
	}
	back := member.New(alive("c", 5))
	back.Merge(member.Member{Addr: "c", Hall: "a", Incarnation: 9, Status: member.Dead}, start)
	if got := back.Self().Incarnation; got <= 9 {
		t.Errorf("a host whose clock went back has incarnation %d, not above its previous 9", got)
	}
}

func TestLeavingMemberDiesWithoutSuspicion(t *testing.T) {
	a, b := member.New(alive("a", 1)), member.New(alive("b", 1))
	b.Leave()
	a.Merge(b.Self(), start)
	a.PingFailed("b", start)
	for _, m := range a.All() {
		if m.Addr == "b" && m.Status != member.Dead {
			t.Errorf("a member that announced its departure and doesn't answer is %v, want dead", m.Status)
		}
	}
}
