package gateway

import (
	"slices"
	"sync"

	"slipcrank.example/core/reach"
)

// maxStoppingPeers bounds the starts of hosts that are remembered as stopping.
const maxStoppingPeers = 1024

// stoppingPeers are the starts of other hosts that have refused a call since they stop. It is
// safe for concurrent use.
type stoppingPeers struct {
	mu      sync.Mutex
	numbers map[uint32]bool
}

func newStoppingPeers() *stoppingPeers { return &stoppingPeers{numbers: map[uint32]bool{}} }

// add records that a start of a host stops. It doesn't return.
func (s *stoppingPeers) add(number uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.numbers) >= maxStoppingPeers {
		clear(s.numbers) // most have ended
	}
	s.numbers[number] = true
}

// last returns the peers with the stopping ones at the end.
func (s *stoppingPeers) last(peers []reach.Peer) []reach.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(peers)
	slices.SortStableFunc(out, func(a, b reach.Peer) int {
		switch {
		case s.numbers[a.Number] == s.numbers[b.Number]:
			return 0
		case s.numbers[b.Number]:
			return -1
		}
		return 1
	})
	return out
}
