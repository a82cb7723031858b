// Package join arranges hosts that start at the same time in a tree, in which each gets
// the platform's tables from the one above it.
//
// A host that starts knows nothing of the others but the addresses of a few seeds. If all
// of them read the lists from the platform, or subscribed to a seed, the load would grow
// with the fleet. A seed therefore refers each host that asks it to a host of the same data
// hall that asked before, and serves only the first few of each hall itself. This holds for
// some seconds only: once a host has the tables, it chooses its sources by itself.
//
// # Usage
//
//	t := join.NewTree("10.0.0.1:7340")                             // of this host, a seed
//	source := t.Source("10.0.0.9:7340", "hall-a", false, clock.Now())     // for the host that asks
package join

import (
	"slices"
	"time"
)

const (
	// width is the number of hosts of a hall for which each host is the source, and
	// seedWidth the same for the seed, which many halls ask.
	width     = 8
	seedWidth = 2
	// retention is how long a host that has asked may be named as a source: hosts that
	// start together ask within that time, and one that asked long ago may be gone.
	retention = 3 * time.Second
)

type (
	// Tree refers hosts that start to their sources. It is not safe for concurrent use.
	Tree struct {
		own    string
		askers map[string][]asker // by hall, in the order in which they asked first
	}

	asker struct {
		addr   string
		since  time.Duration
		failed int // sources that the host could not reach
	}
)

// NewTree returns the tree of a seed, by its own address.
func NewTree(own string) *Tree { return &Tree{own: own, askers: map[string][]asker{}} }

// Source returns the address of the source of a host, by the address and the data hall of
// the host. If it asks again, it gets the same one, as long as it has the same place in the
// tree. If it could not reach that one, it gets the source of that one.
func (t *Tree) Source(addr, hall string, unreached bool, now time.Duration) string {
	askers := recent(t.askers[hall], now)
	place := slices.IndexFunc(askers, func(a asker) bool { return a.addr == addr })
	if place < 0 {
		place = len(askers)
		askers = append(askers, asker{addr: addr, since: now})
	}
	if unreached {
		askers[place].failed++
	}
	t.askers[hall] = askers
	for range askers[place].failed + 1 {
		if place < seedWidth {
			return t.own
		}
		place = (place - seedWidth) / width
	}
	return askers[place].addr
}

// recent returns the hosts that first asked no longer than retention ago.
func recent(askers []asker, now time.Duration) []asker {
	i := slices.IndexFunc(askers, func(a asker) bool { return now-a.since <= retention })
	if i < 0 {
		return nil
	}
	return askers[i:]
}
