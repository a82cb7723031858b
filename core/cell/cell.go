// Package cell divides a large fleet into cells: some hosts that place
// requests on some backend servers and tell each other of it.
//
// What a host has to know and to tell then grows with its cell and not with
// the fleet. Below twice [serversPerCell] servers there is one cell, and each
// host sees all. Every host works the division out by itself from the lists of
// hosts and servers; where lists differ for a moment, placements are told to
// hosts that don't need them, or choices are made with fewer news.
//
// # Usage
//
//	count := cell.Count(len(servers), 1)
//	mine, mates := cell.OfHost("host-3", names, count)
//	if cell.OfServer(id, count) == mine { ... }
package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// serversPerCell is the least number of servers in a cell: three times the
	// engines that read one prompt together, so that several long prompts and
	// short streams find room side by side.
	serversPerCell = 48
	// keptPart is how far below the number that made it a division is kept, so
	// that servers which come and go don't change it again and again.
	keptPart = 0.75
)

// Count returns into how many cells a fleet with so many servers is divided,
// which so far was divided into old ones: a power of two, so that a cell's
// servers stay together when cells are divided again.
func Count(servers, old int) int {
	n := 1
	for servers >= 2*n*serversPerCell {
		n *= 2
	}
	if n < old && float64(servers) >= keptPart*float64(old*serversPerCell) {
		return old
	}
	return n
}

// OfServer returns the cell of a server, from 0 to below count.
func OfServer(id string, count int) int { return int(xxhash.Sum64String(id) % uint64(count)) }

// OfHost returns the cell of a host, and the other hosts in it. Cells get equal
// numbers of hosts, and one that comes or goes moves at most one host into each
// other cell.
func OfHost(host string, hosts []string, count int) (int, map[string]bool) {
	order := hosts
	if count > 1 { // the order of a single cell's hosts decides nothing
		order = byHash(hosts)
	}
	mine := cellAt(slices.Index(order, host), len(order), count)
	mates := map[string]bool{}
	for i, h := range order {
		if h != host && cellAt(i, len(order), count) == mine {
			mates[h] = true
		}
	}
	return mine, mates
}

// byHash returns names in the order of their hashes.
func byHash(names []string) []string {
	hashes := make(map[string]uint64, len(names))
	for _, n := range names {
		hashes[n] = xxhash.Sum64String(n)
	}
	order := slices.Clone(names)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
	return order
}

// cellAt is the cell of the host at a place of the order.
func cellAt(place, hosts, count int) int {
	if hosts == 0 || place < 0 {
		return 0
	}
	return place * count / hosts
}
