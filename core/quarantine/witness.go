package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mostWitnesses is how many hosts look at a server that another one has found
// closed: should one of them be gone or slow, the other one tells.
const mostWitnesses = 2

// Host is a host that may look at a server.
type Host struct {
	Number uint32
	Hall   string
}

// Witnesses returns the numbers of the hosts that are to look at a server of a
// hall which the host by has found closed: others of its hall, which reach it
// whatever is cut off from the hall. If by is the only one there, any other host
// is one. Nobody in the hall leaves the matter to the platform's list. All hosts
// that know the same others return the same.
func Witnesses(server uint32, hall string, by uint32, hosts []Host) []uint32 {
	var near, far []Host
	finderNear := false
	for _, h := range hosts {
		switch {
		case h.Number == by:
			finderNear = h.Hall == hall
		case h.Hall == hall:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	if len(near) == 0 && finderNear {
		near = far
	}
	slices.SortFunc(near, func(x, y Host) int {
		return cmp.Or(cmp.Compare(rank(server, x), rank(server, y)), cmp.Compare(x.Number, y.Number))
	})
	var out []uint32
	for _, h := range near[:min(mostWitnesses, len(near))] {
		out = append(out, h.Number)
	}
	return out
}

// rank orders hosts for a server, another way for each.
func rank(server uint32, h Host) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint32(b[:4], server)
	binary.BigEndian.PutUint32(b[4:], h.Number)
	return xxhash.Sum64(b[:])
}
