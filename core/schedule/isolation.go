package schedule

import (
	"encoding/binary"
	"slices"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/route"
)

// leadCandidates returns the servers of which one may lead a request. It reports
// false if there is none at present.
//
// Copies of one request go to the same server while that has a free slot, so
// that a request that crashes its server crashes one server and not one for each copy.
func (sc *Scheduler) leadCandidates(now time.Duration, available []*backend.Server, r Request) ([]*backend.Server, bool) {
	if r.HeadHash == 0 {
		return available, len(available) > 0
	}
	for _, p := range sc.byHeadHash[r.HeadHash] {
		if !r.Isolated && !p.pending(now) {
			continue
		}
		for i, s := range available {
			if s.ID == p.Lead && (r.Isolated || sc.count(s.ID) < s.Slots) {
				return available[i : i+1], !r.OnlyCopy
			}
		}
	}
	if r.OnlyCopy && len(sc.byHeadHash[r.HeadHash]) > 0 {
		return nil, false
	}
	if r.Isolated {
		available = sc.isolationCandidates(available, r)
	}
	return available, len(available) > 0
}

// pending reports whether the outcome of a placement is open: no token of it has
// arrived, and it isn't late. A late placement doesn't count, so that a caller
// that left a slow server isn't sent there again on its next attempt.
func (p *Placement) pending(now time.Duration) bool {
	return !p.Decoding && now-p.PlacedAt < p.Objective
}

// isolationCandidates returns the servers for an isolated request: those with the
// fewest other isolated requests, and with OnlyCopy only those without any. With
// OnlyCopy, or if several copies of the request have failed together, it returns
// just one of these, chosen by rendezvous hashing, so that copies at different hosts
// go to the same server.
func (sc *Scheduler) isolationCandidates(available []*backend.Server, r Request) []*backend.Server {
	if used := sc.isolationServers(available, r.Workspace); len(used) >= max(int(maxIsolatedFraction*float64(len(available))), 1) {
		available = used
	}
	fewest := -1
	var free []*backend.Server
	for _, s := range available {
		n := sc.isolatedCount(s.ID)
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
	binary.BigEndian.PutUint64(key[:], r.HeadHash)
	owner := route.Owner(string(key[:]), names)
	for i, s := range free {
		if s.ID == owner {
			return free[i : i+1]
		}
	}
	return nil
}

// isolationServers returns the servers that run isolated requests of a workspace.
func (sc *Scheduler) isolationServers(available []*backend.Server, workspace uint32) []*backend.Server {
	if workspace == 0 {
		return nil
	}
	var used []*backend.Server
	for _, s := range available {
		if l := sc.byServer[s.ID]; l != nil && slices.ContainsFunc(l.placements, func(p *Placement) bool { return p.Isolated && p.Workspace == workspace }) {
			used = append(used, s)
		}
	}
	return used
}

// maxIsolatedFraction is the largest fraction of a service's servers that run
// isolated requests of one workspace. Without a limit, a workspace that sends
// several requests that crash servers would crash all servers by its retries.
const maxIsolatedFraction = 0.25

// isolatedCount returns the number of isolated requests on a server.
func (sc *Scheduler) isolatedCount(server string) int {
	n := 0
	if l := sc.byServer[server]; l != nil {
		for _, p := range l.placements {
			if p.Isolated {
				n++
			}
		}
	}
	return n
}

// CopyCount returns the number of known placements of copies of a request, by its
// head hash.
func (sc *Scheduler) CopyCount(headHash uint64) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return len(sc.byHeadHash[headHash])
}
