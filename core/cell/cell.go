// Package cell divides a large fleet into cells. The hosts of a cell place requests
// on the backend servers of that cell, and share their placements with each other.
//
// The state that a host receives and sends then grows with its cell instead of the
// fleet. Below twice [minServersPerCell] servers there is one cell, and each host sees
// all. Every host computes the division by itself from the lists of hosts and servers.
// While these lists differ, some placements are sent to hosts that don't need them, or
// some servers are chosen without all placements being known.
//
// # Usage
//
//	count := cell.Count(len(servers), 1)
//	own, peers := cell.OfHost("host-3", names, count)
//	if cell.OfServer(id, count) == own { ... }
package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minServersPerCell is the minimum number of servers in a cell when a fleet is
	// divided: three times the number of engines that read one prompt together, so
	// that several long prompts and short streams fit side by side.
	minServersPerCell = 48
	// mergeThreshold is the fraction of the servers required for a division below which
	// the division is undone. The hysteresis keeps servers that come and go from
	// changing it again and again.
	mergeThreshold = 0.75
)

// Count returns the number of cells for a fleet with the given number of servers that
// is currently divided into current cells. It is a power of two, so that a cell's
// servers stay together when cells are divided again.
func Count(servers, current int) int {
	n := 1
	for servers >= 2*n*minServersPerCell {
		n *= 2
	}
	if n < current && float64(servers) >= mergeThreshold*float64(current*minServersPerCell) {
		return current
	}
	return n
}

// OfServer returns the cell of a server, from 0 to count-1.
func OfServer(id string, count int) int { return int(xxhash.Sum64String(id) % uint64(count)) }

// OfHost returns the cell of a host, and the other hosts in it. The numbers of hosts in
// the cells differ by at most one, and a host that is added or removed moves at most
// one host into each other cell.
func OfHost(host string, hosts []string, count int) (int, map[string]bool) {
	order := hosts
	if count > 1 { // with a single cell, the order doesn't matter
		order = sortByHash(hosts)
	}
	own := cellAt(slices.Index(order, host), len(order), count)
	peers := map[string]bool{}
	for i, h := range order {
		if h != host && cellAt(i, len(order), count) == own {
			peers[h] = true
		}
	}
	return own, peers
}

// sortByHash returns the names sorted by their hashes.
func sortByHash(names []string) []string {
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

// cellAt returns the cell of the host at an index of the sorted hosts, or 0 if the
// index is negative.
func cellAt(index, hosts, count int) int {
	if hosts == 0 || index < 0 {
		return 0
	}
	return index * count / hosts
}
