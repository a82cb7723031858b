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
	// perMessage and syncEvery are those of a daemon: records on a heartbeat,
	// and heartbeats between two syncs.
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

// hall is sets that tell each other, a heartbeat of each in a round.
type hall struct {
	random *rand.Rand
	sets   []*gossip.Set[record]
	sent   int  // records on heartbeats, once the start is over
	known  bool // whether an equal set ends news
}

func (h *hall) round(n int) {
	for i, s := range h.sets {
		other := h.sets[h.random.IntN(len(h.sets))]
		there, back := s.Updates(perMessage, len(h.sets)), other.Updates(perMessage, len(h.sets))
		h.sent += len(there) + len(back)
		exchange(there, other)
		exchange(back, s)
		if n%syncEvery == i%syncEvery {
			h.sync(s, h.sets[h.random.IntN(len(h.sets))])
		}
	}
}

func exchange(rs []record, to *gossip.Set[record]) {
	for _, r := range rs {
		to.Merge(r)
	}
}

func (h *hall) sync(a, b *gossip.Set[record]) {
	if fmt.Sprint(a.All()) == fmt.Sprint(b.All()) {
		if h.known {
			a.PeerInSync(len(h.sets))
		}
		return
	}
	exchange(a.All(), b)
	exchange(b.All(), a)
}

// behind returns how many sets lack the newest of a record.
func (h *hall) behind(r record) int {
	n := 0
	for _, s := range h.sets {
		if got, _ := s.Get(r.key); cmp.Compare(got.number, r.number) != 0 {
			n++
		}
	}
	return n
}

// play starts all at once, each with a record of its own, and changes one
// record once that has settled.
func play(known bool) (h *hall, behind int) {
	h = &hall{random: rand.New(rand.NewPCG(1, 2)), known: known}
	for range daemons {
		h.sets = append(h.sets, newSet())
	}
	for i, s := range h.sets {
		s.Merge(record{key: fmt.Sprint(i), number: 1})
	}
	const started, settled, later = 30, 60, 12
	for n := range settled {
		if n == started {
			h.sent = 0
		}
		h.round(n)
	}
	next := record{key: "7", number: 2}
	h.sets[7].Merge(next)
	for n := range later {
		h.round(settled + n)
	}
	return h, h.behind(next)
}

func TestNewsReachesAllAndRestsOnceItHas(t *testing.T) {
	plain, behind := play(false)
	if behind != 0 {
		t.Errorf("%d of %d lack the change after 12 heartbeats", behind, daemons)
	}
	spared, behind := play(true)
	if behind != 0 {
		t.Errorf("with equal sets ending news, %d of %d lack the change after 12 heartbeats", behind, daemons)
	}
	t.Logf("records sent from the 30th to the 72nd heartbeat: %d, with equal sets ending news %d", plain.sent, spared.sent)
	if spared.sent*3 > plain.sent {
		t.Errorf("%d records were sent, and %d where equal sets end news; want less than a third", plain.sent, spared.sent)
	}
}
