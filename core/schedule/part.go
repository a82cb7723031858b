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
	// Part is how a request's workspace stands beside others on the engines of
	// its service, by what is placed there. Hosts know it from placements alone:
	// nothing else is told, and it is as old as they are.
	Part struct {
		// Price is by how much what its requests displace counts: the part of
		// the engines' time that the workspace holds, beside the mean of that
		// part over all of that time. So over all that is placed the mean is 1,
		// and what a workspace that crowds out others pays more, others pay less.
		Price float64
		// Over reports whether the workspace holds much more than an even part:
		// it holds the part Of of the time, from 0 to 1, and an even one is one
		// in Workspaces.
		Over       bool
		Of         float64
		Workspaces int
	}

	// held is the engines' time that is given to one workspace.
	held struct {
		workspace uint32
		time      time.Duration
	}
)

// WorkspaceOf returns the number by which hosts tell each other whose a
// placement is, zero for an empty name. Two workspaces with the same number, a
// chance of 1 in 24 that any two of 19,000 have it, count as one.
func WorkspaceOf(name string) uint32 {
	if name == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(name))
}

// part compares what a request's workspace holds, with the request, with what
// others hold.
func (b *Board) part(e *site.Engine, servers []backend.Server, r Request) Part {
	hs := []held{{r.Workspace, engineTime(e, r.Work, false)}}
	for _, s := range servers {
		l := b.byServer[s.ID]
		if l == nil {
			continue
		}
		for _, p := range l.placements {
			if p.Lead == s.ID {
				hs = give(hs, p.Workspace, engineTime(e, p.Work, p.writing))
			}
		}
	}
	return partOf(hs)
}

// partOf returns the part of the first holder.
func partOf(hs []held) Part {
	var all, squares float64
	for _, h := range hs {
		all += h.time.Seconds()
		squares += h.time.Seconds() * h.time.Seconds()
	}
	if squares == 0 {
		return Part{Price: 1}
	}
	of := hs[0].time.Seconds() / all
	return Part{
		Price:      min(max(of*all*all/squares, leastPrice), mostPrice),
		Over:       of*float64(len(hs)) > evenTimes,
		Of:         of,
		Workspaces: len(hs),
	}
}

// give adds to the time that a workspace holds.
func give(hs []held, workspace uint32, time time.Duration) []held {
	for i := range hs {
		if hs[i].workspace == workspace {
			hs[i].time += time
			return hs
		}
	}
	return append(hs, held{workspace, time})
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
