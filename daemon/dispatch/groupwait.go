package dispatch

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"slipcrank.example/core/group"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
)

// groupWait holds the entries of one waiting group in the queues of several engines.
// Each queue is kept by the engine's owner; see [group.Queue].
type groupWait struct {
	run      *run
	id       string
	priority int64
	queuedAt map[string]bool // engines whose queues may have an entry of the group
}

func (x *run) newGroupWait(id string) *groupWait {
	return &groupWait{run: x, id: id, priority: route.GroupPriority(x.prompt, x.request.Arrival), queuedAt: map[string]bool{}}
}

// join adds the group to the queues of engines, or renews its entries, and returns
// the replies of the engines' owners. If an owner does not answer, its reply is the
// zero value: no group is reported as more urgent, and the engine contributes no
// memory.
func (w *groupWait) join(ctx context.Context, v *control.View, engines []string) []group.WaitStatus {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	statuses := make([]group.WaitStatus, len(engines))
	var g errgroup.Group
	for i, e := range engines {
		w.queuedAt[e] = true
		g.Go(func() error {
			statuses[i] = w.updateQueue(ctx, v, e, false)
			return nil
		})
	}
	_ = g.Wait()
	return statuses
}

// anyOutranked reports whether a more urgent group waits at any of the engines.
func anyOutranked(statuses []group.WaitStatus) bool {
	return slices.ContainsFunc(statuses, func(t group.WaitStatus) bool { return t.Outranked })
}

// candidatesFromStatuses returns the engines as candidates for a group, with the
// memory that their owners report.
func candidatesFromStatuses(engines []string, statuses []group.WaitStatus) []group.Candidate {
	var out []group.Candidate
	for i, t := range statuses {
		if t.Total > 0 {
			out = append(out, candidate(engines[i], t.Free, t.Total))
		}
	}
	return out
}

// leave removes the group from all queues in the background. An entry that could not
// be removed expires.
func (w *groupWait) leave() {
	for e := range w.queuedAt {
		w.run.background(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			w.updateQueue(ctx, w.run.loop.View(), e, true)
		})
	}
}

// updateQueue asks the owner of an engine to add the group to the engine's queue, or
// to remove it, and returns the owner's reply.
func (w *groupWait) updateQueue(ctx context.Context, v *control.View, engine string, leave bool) group.WaitStatus {
	owner := v.Owner(engine)
	switch owner {
	case "":
		return group.WaitStatus{}
	case v.Self.Addr:
		return w.run.loop.AwaitGroup(ctx, engine, w.id, w.priority, leave)
	}
	t, err := w.run.peers.Await(ctx, owner, engine, w.id, w.priority, leave)
	if err != nil {
		return group.WaitStatus{}
	}
	return t
}
