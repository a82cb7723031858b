package reach

import (
	"math/rand/v2"
	"slices"
)

// Peer is another host that may serve the requests of a host without a path.
type Peer struct {
	Number uint32 // of its current start
	Hall   string
	Addr   string // for delegated requests
}

// Order returns peers that have a path, in the order in which a host without one asks
// them. Those of its own hall come first while they are at least half of the hall's hosts;
// otherwise the hosts of all halls share the hall's requests.
func Order(hall string, hallHosts int, peers []Peer) []Peer {
	var local, remote []Peer
	for _, p := range peers {
		if p.Hall == hall {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	if 2*len(local) < hallHosts {
		return shuffled(slices.Concat(local, remote))
	}
	return append(shuffled(local), shuffled(remote)...)
}

func shuffled[T any](list []T) []T {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
