package gossip_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"

	"slipcrank.example/core/gossip"
)

const (
	daemons = 74
	// perMessage is the number of records per heartbeat, and syncEvery the number of
	// heartbeats between two syncs, as in the daemon.
	perMessage = 8
	syncEvery  = 15
)

type record struct {
	key    string
	number int
}

func newSet() *gossip.Set[record] {
	return gossip.New(func(r record) string { return r.key }, func(a, b record) bool { return a.number > b.number })
}

// hall simulates the sets of a hall's daemons. Each sends one heartbeat per round.
type hall struct {
	random *rand.Rand
	sets   []*gossip.Set[record]
	sent   int  // records sent on heartbeats after the start phase
	inSync bool // whether PeerInSync is called for an equal set
}

func (h *hall) round(n int) {
	for i, s := range h.sets {
		other := h.sets[h.random.IntN(len(h.sets))]
		request, response := s.Updates(perMessage, len(h.sets)), other.Updates(perMessage, len(h.sets))
		h.sent += len(request) + len(response)
		merge(request, other)
		merge(response, s)
		if n%syncEvery == i%syncEvery {
			h.sync(s, h.sets[h.random.IntN(len(h.sets))])
		}
	}
}

func merge(rs []record, to *gossip.Set[record]) {
	for _, r := range rs {
		to.Merge(r)
	}
}

func (h *hall) sync(a, b *gossip.Set[record]) {
	if fmt.Sprint(a.All()) == fmt.Sprint(b.All()) {
		if h.inSync {
			a.PeerInSync(len(h.sets))
		}
		return
	}
	merge(a.All(), b)
	merge(b.All(), a)
}

// outdated returns the number of sets that don't have a record's given version.
func (h *hall) outdated(r record) int {
	n := 0
	for _, s := range h.sets {
		if got, _ := s.Get(r.key); cmp.Compare(got.number, r.number) != 0 {
			n++
		}
	}
	return n
}

// simulate starts all daemons at once, each with a record of its own, and changes one
// record after all have converged.
func simulate(inSync bool) (h *hall, outdated int) {
	h = &hall{random: rand.New(rand.NewPCG(1, 2)), inSync: inSync}
	for range daemons {
		h.sets = append(h.sets, newSet())
	}
	for i, s := range h.sets {
		s.Merge(record{key: fmt.Sprint(i), number: 1})
	}
	const started, converged, later = 30, 60, 12
	for n := range converged {
		if n == started {
			h.sent = 0
		}
		h.round(n)
	}
	next := record{key: "7", number: 2}
	h.sets[7].Merge(next)
	for n := range later {
		h.round(converged + n)
	}
	return h, h.outdated(next)
}

func TestUpdatesReachAllAndEndEarlyWhenPeersAreInSync(t *testing.T) {
	plain, outdated := simulate(false)
	if outdated != 0 {
		t.Errorf("%d of %d lack the change after 12 heartbeats", outdated, daemons)
	}
	early, outdated := simulate(true)
	if outdated != 0 {
		t.Errorf("with PeerInSync, %d of %d lack the change after 12 heartbeats", outdated, daemons)
	}
	t.Logf("records sent from the 30th to the 72nd heartbeat: %d, with PeerInSync %d", plain.sent, early.sent)
	if early.sent*3 > plain.sent {
		t.Errorf("%d records were sent, and %d with PeerInSync; want at most a third", plain.sent, early.sent)
	}
}
