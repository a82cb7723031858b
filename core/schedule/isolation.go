package schedule

import (
	"encoding/binary"
	"slices"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/route"
)

// leads returns the servers of which one may lead a request. It reports false if
// there is none now.
//
// Copies of one request go to one server while that has a free slot. Should the
// request end it, then that is one server and not one for each copy.
func (b *Scheduler) leads(now time.Duration, able []*backend.Server, r Request) ([]*backend.Server, bool) {
	if r.Fingerprint == 0 {
		return able, len(able) > 0
	}
	for _, p := range b.byMark[r.Fingerprint] {
		if !r.Isolated && !p.undecided(now) {
			continue
		}
		for i, s := range able {
			if s.ID == p.Lead && (r.Isolated || b.count(s.ID) < s.Slots) {
				return able[i : i+1], !r.OnlyCopy
			}
		}
	}
	if r.OnlyCopy && len(b.byMark[r.Fingerprint]) > 0 {
		return nil, false
	}
	if r.Isolated {
		able = b.apart(able, r)
	}
	return able, len(able) > 0
}

// undecided reports whether it is yet to be seen what becomes of a placement: no
// token of it has come, and it isn't late. A caller that left a slow server and
// comes back isn't sent there again.
func (p *Placement) undecided(now time.Duration) bool {
	return !p.writing && now-p.PlacedAt < p.Objective
}

// apart returns the servers for a request that has to run where no other such
// runs. While each server has one, these are the servers with the fewest, unless the
// request has to be single. If several copies of it have broken together, it is the
// first of these in an order that all hosts know, so that the copies meet again.
func (b *Scheduler) apart(able []*backend.Server, r Request) []*backend.Server {
	if used := b.usedApart(able, r.Workspace); len(used) >= max(int(mostApart*float64(len(able))), 1) {
		able = used
	}
	fewest := -1
	var free []*backend.Server
	for _, s := range able {
		n := b.countApart(s.ID)
		if fewest < 0 || n < fewest {
			fewest, free = n, nil
		}
		if n == fewest {
			free = append(free, s)
		}
	}
	if r.OnlyCopy && fewest > 0 {
		return nil
	}
	if !r.CopiesFailed && !r.OnlyCopy || len(free) < 2 {
		return free
	}
	names := make([]string, 0, len(free))
	for _, s := range free {
		names = append(names, s.ID)
	}
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], r.Fingerprint)
	owner := route.Owner(string(key[:]), names)
	for i, s := range free {
		if s.ID == owner {
			return free[i : i+1]
		}
	}
	return nil
}

// usedApart returns the servers on which requests of a workspace run that have to
// run apart.
func (b *Scheduler) usedApart(able []*backend.Server, workspace uint32) []*backend.Server {
	if workspace == 0 {
		return nil
	}
	var used []*backend.Server
	for _, s := range able {
		if l := b.byServer[s.ID]; l != nil && slices.ContainsFunc(l.placements, func(p *Placement) bool { return p.Isolated && p.Workspace == workspace }) {
			used = append(used, s)
		}
	}
	return used
}

// mostApart is the part of a service's servers on which requests of one workspace
// run that have to run apart: whoever sends several that end servers at once would
// end all of them with the second tries.
const mostApart = 0.25

// countApart counts the requests on a server that have to run apart.
func (b *Scheduler) countApart(server string) int {
	n := 0
	if l := b.byServer[server]; l != nil {
		for _, p := range l.placements {
			if p.Isolated {
				n++
			}
		}
	}
	return n
}

// CopyCount returns how many placements of copies of a request are known.
func (b *Scheduler) CopyCount(mark uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.byMark[mark])
}
