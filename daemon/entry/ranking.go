package entry

import (
	"slices"

	"slipcrank.example/core/route"
	"slipcrank.example/daemon/watch"
)

// ranking is the order in which hosts relay the platform's tables to each other, as one
// host sees it. It contains all listed hosts, dead ones too, so that a host that dies or
// returns changes the sources of its own subscribers only. It is an immutable value.
type ranking struct {
	hall   []watch.Host // of the own hall, this host included, in the order of their ranks
	remote []watch.Host // of the other halls, likewise
	own    int          // rank of this host in its hall
}

// newRanking ranks a host and the other hosts. Hosts with fast links come first, since
// hosts of low rank relay to many others.
func newRanking(host watch.Host, others []watch.Host) ranking {
	hall, remote := []watch.Host{host}, []watch.Host{}
	for _, h := range others {
		if h.Hall == host.Hall {
			hall = append(hall, h)
		} else {
			remote = append(remote, h)
		}
	}
	r := ranking{hall: rankByLink(hall), remote: rankByLink(remote)}
	r.own = slices.IndexFunc(r.hall, func(h watch.Host) bool { return h.Name == host.Name })
	return r
}

func rankByLink(hosts []watch.Host) []watch.Host {
	byName, links := make(map[string]watch.Host, len(hosts)), make(map[string]float64, len(hosts))
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		byName[h.Name], links[h.Name] = h, h.Link
		names = append(names, h.Name)
	}
	ranked := make([]watch.Host, 0, len(hosts))
	for _, name := range route.RankByLink(rankKey, names, links) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// liveBefore returns the number of live hosts of the hall that rank before this host, at
// most limit.
func (r ranking) liveBefore(alive func(watch.Host) bool, limit int) int {
	n := 0
	for _, h := range r.hall[:r.own] {
		if n == limit {
			break
		}
		if alive(h) {
			n++
		}
	}
	return n
}

// parents returns the addresses of the sources of a host that isn't a reader: its parent in
// a tree in which each host has fanout children, and the host ranked after that. Hosts that
// aren't alive are passed over for the next ones, and if none is left for the ones ranked
// before. All rank before this host, so that no two hosts are sources of each other.
func (r ranking) parents(alive func(watch.Host) bool) []string {
	first := max(r.own-readersPerHall, 0) / fanout
	before := r.hall[:r.own]
	found := firstLive(before[first:], sourcesPerHost, alive)
	for i := first - 1; i >= 0 && len(found) < sourcesPerHost; i-- {
		if alive(before[i]) {
			found = append(found, before[i].Addr)
		}
	}
	if len(found) > 0 {
		return found
	}
	return firstLive(before[first:], sourcesPerHost, func(watch.Host) bool { return true })
}

// firstLive returns the addresses of the first n hosts that are alive.
func firstLive(hosts []watch.Host, n int, alive func(watch.Host) bool) []string {
	var found []string
	for _, h := range hosts {
		if len(found) == n {
			break
		}
		if alive(h) {
			found = append(found, h.Addr)
		}
	}
	return found
}
