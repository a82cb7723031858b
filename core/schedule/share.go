package schedule

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

const (
	// minWeight and maxWeight bound the weight of a workspace's requests. At the
	// minimum, requests that displace more than four times their value are still
	// refused.
	minWeight, maxWeight = 0.25, 4
	// overShareFactor is how many times an equal share a workspace may hold before
	// it counts as over its share. With two workspaces, that is three quarters.
	overShareFactor = 1.5
)

type (
	// WorkspaceShare compares the engine time that a workspace holds on a service
	// with that of other workspaces. Hosts derive it from the placements that they
	// know and exchange nothing else for it, so it is as current as those are.
	WorkspaceShare struct {
		// DisplacedWeight multiplies the displaced ratio of the workspace's
		// requests. It is the workspace's fraction of the engine time, divided by
		// the mean of the workspaces' fractions weighted by engine time. The mean
		// weight over all placed work is therefore 1: a workspace whose weight is
		// above 1 lowers the weights of the others.
		DisplacedWeight float64
		// Fraction is the workspace's fraction of the engine time, from 0 to 1, and
		// Workspaces the number of workspaces that hold any, including this one.
		Fraction   float64
		Workspaces int
		// OverShare reports whether Fraction exceeds an equal share by more than
		// the permitted factor.
		OverShare bool
	}

	// workspaceTimes is the engine time of each workspace, in the order of their
	// first placements, so that floating-point sums over it are deterministic.
	workspaceTimes struct {
		index map[uint32]int
		busy  []time.Duration
	}
)

// HashWorkspace returns the number by which hosts identify the workspace of a
// placement to each other: the low 32 bits of a hash of its name, or zero for an
// empty name. Two workspaces with the same number count as one; among 19,000
// workspaces the chance that any two collide is 1 in 24.
func HashWorkspace(name string) uint32 {
	if name == "" {
		return 0
	}
	return uint32(xxhash.Sum64String(name))
}

// workspaceShare compares the engine time that a request's workspace already holds
// with that of others. The request itself doesn't count: a prompt of 500,000 tokens
// keeps an engine busy for 20 s and would put any workspace over its share.
func (sc *Scheduler) workspaceShare(e *site.Engine, servers []*backend.Server, r Request) WorkspaceShare {
	times := &sc.scratch.workspaceTimes
	clear(times.index)
	times.busy = times.busy[:0]
	times.add(r.Workspace, 0)
	for _, s := range servers {
		l := sc.byServer[s.ID]
		if l == nil {
			continue
		}
		for _, p := range l.placements {
			if p.Lead == s.ID {
				times.add(p.Workspace, engineTime(e, p.Work, p.Decoding))
			}
		}
	}
	return shareOfFirst(times.busy)
}

// add adds to the engine time of a workspace.
func (t *workspaceTimes) add(workspace uint32, busy time.Duration) {
	i, found := t.index[workspace]
	if !found {
		if t.index == nil {
			t.index = map[uint32]int{}
		}
		i = len(t.busy)
		t.index[workspace] = i
		t.busy = append(t.busy, 0)
	}
	t.busy[i] += busy
}

// shareOfFirst returns the share of the first of several workspaces, from the
// engine time of each.
func shareOfFirst(busy []time.Duration) WorkspaceShare {
	var all, squares float64
	for _, d := range busy {
		all += d.Seconds()
		squares += d.Seconds() * d.Seconds()
	}
	if squares == 0 {
		return WorkspaceShare{DisplacedWeight: 1}
	}
	fraction := busy[0].Seconds() / all
	return WorkspaceShare{
		DisplacedWeight: min(max(fraction*all*all/squares, minWeight), maxWeight),
		Fraction:        fraction,
		Workspaces:      len(busy),
		OverShare:       fraction*float64(len(busy)) > overShareFactor,
	}
}

// EngineTime returns how long a request keeps one engine busy, from its prefill to its end.
func EngineTime(e *site.Engine, w Work) time.Duration { return engineTime(e, w, false) }

// engineTime returns how long a request keeps one engine busy: the whole engine
// during its prefill, unless that is over, and one slot's part of it during decode.
func engineTime(e *site.Engine, w Work, prefilled bool) time.Duration {
	t := time.Duration(w.Answer) * e.StepTime / time.Duration(max(e.Slots, 1))
	if !prefilled {
		t += prefillTime(e, w.Prompt, 1)
	}
	return t
}
