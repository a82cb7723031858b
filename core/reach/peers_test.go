package reach_test

import (
	"fmt"
	"testing"

	"slipcrank.example/core/reach"
)

func TestOrderOfPeers(t *testing.T) {
	for name, tc := range map[string]struct {
		hallHosts, local, remote int
		localFirst               bool
	}{
		"most of the hall has a path": {4, 3, 4, true},
		"half of the hall has one":    {4, 2, 4, true},
		"most of the hall has none":   {4, 1, 12, false},
		"none of the hall has one":    {4, 0, 4, false},
		"no peer has one":             {4, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var peers []reach.Peer
			for i := range tc.local {
				peers = append(peers, reach.Peer{Number: uint32(i), Hall: "a"})
			}
			for i := range tc.remote {
				peers = append(peers, reach.Peer{Number: uint32(100 + i), Hall: fmt.Sprint("b", i%2)})
			}
			first := map[uint32]int{}
			const rounds = 2000
			for range rounds {
				got := reach.Order("a", tc.hallHosts, peers)
				if len(got) != len(peers) {
					t.Fatalf("%d peers, want %d", len(got), len(peers))
				}
				if len(got) > 0 {
					first[got[0].Number]++
				}
			}
			candidates := tc.local + tc.remote
			if tc.localFirst {
				candidates = tc.local
			}
			for number, n := range first {
				if tc.localFirst && number >= 100 {
					t.Errorf("peer %d of another hall was asked first", number)
				}
				if 2*n*candidates < rounds {
					t.Errorf("peer %d was asked first %d times of %d, by %d candidates", number, n, rounds, candidates)
				}
			}
			if len(first) != candidates {
				t.Errorf("%d peers were asked first, want %d", len(first), candidates)
			}
		})
	}
}
