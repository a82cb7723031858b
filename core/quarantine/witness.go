package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxWitnesses is the number of hosts that probe a server whose port another host has
// found closed. There are two so that one of them may be down or slow.
const maxWitnesses = 2

// Host is a host that may probe servers.
type Host struct {
	Number uint32
	Hall   string
}

// Witnesses returns the numbers of the hosts that have to probe a server in a hall
// after the host reporter has found its port closed. These are other hosts of the same hall,
// which reach the server even if the hall is cut off from the rest. If reporter is the
// only host of the hall, they are chosen from all other hosts. If the hall has no hosts,
// there are no witnesses, and only the platform's server list can confirm the crash.
// The result is the same on all hosts that know the same set of hosts.
func Witnesses(server uint32, hall string, reporter uint32, hosts []Host) []uint32 {
	var local, remote []Host
	reporterLocal := false
	for _, h := range hosts {
		switch {
		case h.Number == reporter:
			reporterLocal = h.Hall == hall
		case h.Hall == hall:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	if len(local) == 0 && reporterLocal {
		local = remote
	}
	slices.SortFunc(local, func(x, y Host) int {
		return cmp.Or(cmp.Compare(hashRank(server, x), hashRank(server, y)), cmp.Compare(x.Number, y.Number))
	})
	var out []uint32
	for _, h := range local[:min(maxWitnesses, len(local))] {
		out = append(out, h.Number)
	}
	return out
}

// hashRank returns the rank of a host among the candidates for a server, by rendezvous
// hashing: each server orders the hosts differently, which spreads the probes.
func hashRank(server uint32, h Host) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], server)
	binary.BigEndian.PutUint32(b[4:], h.Number)
	return xxhash.Sum64(b[:])
}
