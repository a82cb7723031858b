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
	// startTimeout bounds one try of a daemon that has no templates yet.
	startTimeout = 20 * time.Second
	// startPatience is how long it waits for others that have none either,
	// before it reads the platform's snapshot itself.
	startPatience = 8 * time.Second
	// startPause is the longest pause before the same daemon is asked again.
	startPause = 400 * time.Millisecond
	// startChildren is how many daemons wait for the same one.
	startChildren = 4
	startKey      = "snapshot"
)

// fetchInOrder is for a hall whose daemons all start at once, and reports
// whether the templates came from another daemon. The daemons of the hall's
// host list are put in an order that each works out alone: the first reads the
// platform's snapshot, and each of the others waits for one that comes before
// it. If that one does not answer, its own predecessor takes its place; who has
// none left, or has waited long enough, reads the snapshot itself. Lists that
// differ cost a few more reads and nothing else.
func (u *Upkeep) fetchInOrder(ctx context.Context, number uint64) bool {
	before := predecessors(u.loop.View())
	deadline := time.Now().Add(startPatience)
	for len(before) > 0 && time.Now().Before(deadline) {
		if u.fetchFrom(ctx, before[0]) != nil {
			before = before[1:]
			continue
		}
		if u.loop.View().Templates.Number() >= number {
			return true
		}
		if pause.UpTo(ctx, startPause) != nil {
			return true // the next turn goes on
		}
	}
	return false
}

// predecessors returns the daemons for which this one waits, nearest first:
// its parent in a tree over the hall's daemons, the parent's parent, and so on.
func predecessors(v *control.View) []string {
	var entries []string
	for _, h := range v.AllHosts() {
		if h.Role == hosts.Entry && h.Hall == v.Self.Hall && !h.Leaving {
			entries = append(entries, h.Addr)
		}
	}
	order := route.Rank(startKey, entries)
	var out []string
	for i := slices.Index(order, v.Self.Addr); i > 0; {
		i = (i - 1) / startChildren
		out = append(out, order[i])
	}
	return out
}
