package upkeep

import (
	"context"
	"slices"
	"time"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
)

const (
	// startTimeout limits one attempt to read templates while the daemon has
	// none.
	startTimeout = 20 * time.Second
	// maxStartWait is how long a daemon waits for others that have no templates
	// either, before it reads the platform's snapshot itself.
	maxStartWait = 8 * time.Second
	// maxStartPause is the maximum pause before the same daemon is asked again.
	maxStartPause = 400 * time.Millisecond
	// startFanOut is the maximum number of daemons that wait for the same one.
	startFanOut   = 4
	startOrderKey = "snapshot"
)

// fetchInStartOrder reads the templates from another daemon of the hall while
// all daemons of the hall start at once, and reports whether no read from the
// platform is needed. Each daemon computes the same order of the daemons in the
// hall's host list, without communication: the first one reads the platform's
// snapshot, and each other one waits for a daemon that precedes it. If that
// daemon does not answer, its own predecessor replaces it. A daemon without
// remaining predecessors, or one that has waited for maxStartWait, reads the
// snapshot itself. If the host lists of daemons differ, the only effect is a few
// more reads.
func (u *Upkeep) fetchInStartOrder(ctx context.Context, number uint64) bool {
	before := predecessors(u.loop.View())
	deadline := time.Now().Add(maxStartWait)
	for len(before) > 0 && time.Now().Before(deadline) {
		if u.fetchFrom(ctx, before[0]) != nil {
			before = before[1:]
			continue
		}
		if u.loop.View().Templates.Number() >= number {
			return true
		}
		if pause.UpTo(ctx, maxStartPause) != nil {
			return true // ctx has ended; the next run continues
		}
	}
	return false
}

// predecessors returns the daemons for which this one waits, nearest first: its
// parent in a tree of the hall's daemons, the parent's parent, and so on.
func predecessors(v *control.View) []string {
	var entries []string
	for _, h := range v.AllHosts() {
		if h.Role == hosts.Entry && h.Hall == v.Self.Hall && !h.Leaving {
			entries = append(entries, h.Addr)
		}
	}
	order := route.Rank(startOrderKey, entries)
	var out []string
	for i := slices.Index(order, v.Self.Addr); i > 0; {
		i = (i - 1) / startFanOut
		out = append(out, order[i])
	}
	return out
}
