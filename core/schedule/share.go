package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

const (
	// leastPrice and mostPrice bound what a workspace's part of the engines'
	// time does to the price of what its requests displace: at the least,
	// requests that displace four times their value are still turned away.
	leastPrice, mostPrice = 0.25, 4
	// evenTimes is from how many times an even part on a workspace holds too
	// much. Of two workspaces one does with three quarters.
	evenTimes = 1.5
)

type (
	// WorkspaceShare is how a request's workspace stands beside others on the engines of
	// its service, by what is placed there. Hosts know it from placements alone:
	// nothing else is told, and it is as old as they are.
	WorkspaceShare struct {
		// Weight is by how much what its requests displace counts: the part of
		// the engines' time that the workspace holds, beside the mean of that
		// part over all of that time. So over all that is placed the mean is 1,
		// and what a workspace that crowds out others pays more, others pay less.
		Weight float64
		// Fraction is what the workspace holds of the engines' time, from 0 to 1,
		// and Workspaces how many hold any, this one among them.
		Fraction   float64
		Workspaces int
		// OverShare reports whether that is much more than an even part.
		OverShare bool
	}

	// holders are the engines' time that is given to each workspace, in the
	// order in which they come up: sums over it don't depend on chance.
	holders struct {
		index map[uint32]int
		busy  []time.Duration
	}
)

// HashWorkspace returns the number by which hosts tell each other whose a
// placement is, zero for an empty name. Two workspaces with the same number, a
// chance of 1 in 24 that any two of 19,000 have it, count as one.
func HashWorkspace(name string) uint32 {
	if name == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(name))
}

// part compares what a request's workspace holds already with what others hold.
// The request itself doesn't count: a prompt of 500,000 tokens keeps an engine
// busy for 20 s, and would make any workspace look like a crowd.
func (b *Scheduler) part(e *site.Engine, servers []*backend.Server, r Request) WorkspaceShare {
	hs := &b.scratch.holders
	clear(hs.index)
	hs.busy = hs.busy[:0]
	hs.give(r.Workspace, 0)
	for _, s := range servers {
		l := b.byServer[s.ID]
		if l == nil {
			continue
		}
		for _, p := range l.placements {
			if p.Lead == s.ID {
				hs.give(p.Workspace, engineTime(e, p.Work, p.writing))
			}
		}
	}
	return partOf(hs.busy)
}

// give adds to the time that a workspace holds.
func (h *holders) give(workspace uint32, busy time.Duration) {
	i, known := h.index[workspace]
	if !known {
		if h.index == nil {
			h.index = map[uint32]int{}
		}
		i = len(h.busy)
		h.index[workspace] = i
		h.busy = append(h.busy, 0)
	}
	h.busy[i] += busy
}

// partOf returns the part of the first of the workspaces that hold so much.
func partOf(busy []time.Duration) WorkspaceShare {
	var all, squares float64
	for _, d := range busy {
		all += d.Seconds()
		squares += d.Seconds() * d.Seconds()
	}
	if squares == 0 {
		return WorkspaceShare{Weight: 1}
	}
	fraction := busy[0].Seconds() / all
	return WorkspaceShare{
		Weight:     min(max(fraction*all*all/squares, leastPrice), mostPrice),
		Fraction:   fraction,
		Workspaces: len(busy),
		OverShare:  fraction*float64(len(busy)) > evenTimes,
	}
}

// engineTime is for how long a request keeps one engine busy: all of it while it
// is read, and a slot's part of it while it writes.
func engineTime(e *site.Engine, w Work, read bool) time.Duration {
	t := time.Duration(w.Answer) * e.Step / time.Duration(max(e.Slots, 1))
	if !read {
		t += readTime(e, w.Prompt, 1)
	}
	return t
}
