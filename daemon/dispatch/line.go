package dispatch

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"slipcrank.example/core/group"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
)

// line is the place of one group in the queues of the engines that it waits
// for. The queues are kept by the engines' owners.
type line struct {
	run      *run
	id       string
	priority int64
	asked    map[string]bool // engines in whose queues it may stand
}

func (x *run) newLine(id string) *line {
	return &line{run: x, id: id, priority: route.GroupPriority(x.prompt, x.request.Arrival), asked: map[string]bool{}}
}

// wait says in the queues of engines that the group waits there, and returns
// what their owners answer. An owner that does not answer stands in nobody's
// way, and lends nothing.
func (l *line) wait(ctx context.Context, v *control.View, engines []string) []group.WaitStatus {
	ctx, cancel := context.WithTimeout(ctx, bidTimeout)
	defer cancel()
	turns := make([]group.WaitStatus, len(engines))
	var g errgroup.Group
	for i, e := range engines {
		l.asked[e] = true
		g.Go(func() error {
			turns[i] = l.await(ctx, v, e, false)
			return nil
		})
	}
	_ = g.Wait()
	return turns
}

// ahead reports whether a more urgent group waits at any of the engines.
func ahead(turns []group.WaitStatus) bool {
	return slices.ContainsFunc(turns, func(t group.WaitStatus) bool { return t.Outranked })
}

// candidates returns what groups may take of engines, by their owners' word.
func candidates(engines []string, turns []group.WaitStatus) []group.Candidate {
	var out []group.Candidate
	for i, t := range turns {
		if t.Total > 0 {
			out = append(out, candidate(engines[i], t.Free, t.Total))
		}
	}
	return out
}

// leave takes the group out of all queues. What is missed expires.
func (l *line) leave() {
	for e := range l.asked {
		l.run.background(func() {
			ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
			defer cancel()
			l.await(ctx, l.run.loop.View(), e, true)
		})
	}
}

// await tells the owner of an engine that the group waits there, or leaves.
func (l *line) await(ctx context.Context, v *control.View, engine string, leave bool) group.WaitStatus {
	owner := v.Owner(engine)
	switch owner {
	case "":
		return group.WaitStatus{}
	case v.Self.Addr:
		return l.run.loop.AwaitGroup(ctx, engine, l.id, l.priority, leave)
	}
	t, err := l.run.peers.Await(ctx, owner, engine, l.id, l.priority, leave)
	if err != nil {
		return group.WaitStatus{}
	}
	return t
}
