package dispatch

import (
	"cmp"
	"context"
	"fmt"

	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/group"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/telemetry"
)

const (
	// keptFree is the part of each engine's memory, one in so many, that no
	// group takes, so that short requests go on beside it.
	keptFree = 10
	// groupPause is the longest pause before another group is tried.
	groupPause = time.Second
	// lookAround is how many tries a waiting request makes with the engines
	// that it waits for, before it asks all of them again.
	lookAround = 20
	// reportsAtOnce bounds the engines that are asked for their memory at the
	// same time.
	reportsAtOnce = 16
)

// large reports whether the request needs more memory than any live engine
// with its model has.
func (x *run) large(v *control.View) bool {
	holds := false
	for _, e := range v.Engines {
		if e.Status != directory.Up || !e.Holds(x.prompt.Model, x.prompt.Version) {
			continue
		}
		if x.prompt.Memory() <= e.TotalTokens {
			return false
		}
		holds = true
	}
	return holds
}

// halls returns the engines that are up and hold the model, hall by hall, the
// daemon's own first. A group does not span halls: its members move KV caches
// to each other.
func (x *run) halls(v *control.View) [][]directory.Engine {
	byHall := map[string][]directory.Engine{}
	for _, e := range v.Engines {
		if e.Status == directory.Up && e.Holds(x.prompt.Model, x.prompt.Version) {
			byHall[e.Hall] = append(byHall[e.Hall], e)
		}
	}
	rank := func(hall string) int {
		if hall == v.Self.Hall {
			return 0
		}
		return 1
	}
	names := slices.SortedFunc(maps.Keys(byHall), func(a, b string) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a, b))
	})
	out := make([][]directory.Engine, len(names))
	for i, n := range names {
		out[i] = byHall[n]
	}
	return out
}

// largeOnce makes one attempt at a request that needs a group of engines.
func (x *run) largeOnce(ctx context.Context, attempt string) error {
	ctx, span := telemetry.Span(ctx, "group")
	defer span.End()
	h, err := x.hold(ctx, attempt)
	if err != nil {
		return err
	}
	defer x.free(h)
	lead := h.members[0]
	for _, m := range h.members {
		if m.Tokens > lead.Tokens {
			lead = m
		}
	}
	if err := x.link(ctx, h, lead); err != nil {
		return err
	}
	x.record.Attempts = append(x.record.Attempts, Attempt{Attempt: attempt, Decision: route.Decision{
		Chosen: lead.Addr, Reason: "needs the memory of several engines",
	}})
	x.holding = h.id
	defer func() { x.holding = "" }()
	return x.runGroup(ctx, attempt, h, lead.Addr)
}

// runGroup runs the prompt on the lead of a group, as long as all members live.
// The lead's owner is told, or else it would take the prefill for work of others
// that comes before everything.
func (x *run) runGroup(ctx context.Context, attempt string, h *reservation, lead string) error {
	v := x.loop.View()
	o := route.Offer{Addr: lead, Incarnation: v.Incarnation(lead)}
	if now, ok := x.placed(ctx, v, attempt, o, x.prompt.WithReserved()); ok {
		o.FairnessDelay = now.FairnessDelay
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.lives, cancel)()
	first, err := x.stream(ctx, attempt, o)
	var lost *lostMember
	if err != nil && errors.As(context.Cause(h.lives), &lost) {
		x.excluded[lost.addr] = true
		err = lost
	}
	x.finish(attempt, o, first, lost == nil && failedByEngine(ctx, err))
	return err
}

// hold reserves a group, and waits for one until the request's time is over. It
// asks engines for their free memory at first and now and then; in between it
// takes the word of their owners, whom it asks whether it is its turn.
func (x *run) hold(ctx context.Context, attempt string) (*reservation, error) {
	id := "group-" + attempt
	line := x.newLine(id)
	defer line.leave()
	var wanted []string
	for n := 0; ; n++ {
		v := x.loop.View()
		var ms []group.Member
		var err error
		look := looksAround(n, wanted)
		if look {
			ms, wanted, err = x.pick(ctx, v)
		}
		turns := line.wait(ctx, v, wanted)
		if !look {
			ms, err = group.Pick(candidates(wanted, turns), x.prompt.Memory())
		}
		if err == nil && !ahead(turns) {
			var h *reservation
			if h, err = x.reserve(ctx, v, id, ms); err == nil {
				return h, nil
			}
		}
		if errors.Is(err, group.ErrTooLarge) && x.neverFits(v) {
			return nil, fault.Newf(fault.TooLarge, "shorten the prompt or the answer",
				"the prompt and its answer need %d tokens of memory, more than a group of %d engines has", x.prompt.Memory(), group.MaxMembers)
		}
		if err := pause.UpTo(ctx, groupPause); err != nil {
			return nil, err
		}
	}
}

// looksAround reports whether try n asks all engines: now and then, and whenever
// there are none to wait for.
func looksAround(n int, wanted []string) bool { return n%lookAround == 0 || len(wanted) == 0 }

// reserve takes the memory of all members, or of none. Each try needs an ID of
// its own, since what an earlier one gives back may still be on its way.
func (x *run) reserve(ctx context.Context, v *control.View, line string, ms []group.Member) (*reservation, error) {
	x.reservations++
	id := fmt.Sprintf("%s-%d", line, x.reservations)
	err := group.Reserve(ctx, ms, func(ctx context.Context, m group.Member) error {
		return x.engines.Reserve(ctx, m.Addr, x.holdingOf(v, id, m))
	}, func(m group.Member) { x.release(id, m) })
	if err != nil {
		return nil, err
	}
	h := &reservation{id: id, members: ms}
	x.keep(v, h)
	return h, nil
}

// pick chooses a group in the first hall that has enough memory free now. If
// none has, it returns the engines of the nearest hall for which the request
// should wait.
func (x *run) pick(ctx context.Context, v *control.View) (ms []group.Member, wanted []string, err error) {
	err = group.ErrTooLarge
	for _, es := range x.halls(v) {
		cs := x.freeMemory(ctx, es)
		if ms, err = group.Pick(cs, x.prompt.Memory()); err == nil {
			return ms, group.Addrs(ms), nil
		}
		if len(wanted) == 0 {
			wanted = group.EnginesToWaitFor(cs, x.prompt.Memory())
		}
	}
	return nil, wanted, err
}

// neverFits reports whether even idle engines could not hold the request.
func (x *run) neverFits(v *control.View) bool {
	for _, es := range x.halls(v) {
		var cs []group.Candidate
		for _, e := range es {
			cs = append(cs, group.Candidate{Addr: e.Addr, Free: usable(e.TotalTokens)})
		}
		if _, err := group.Pick(cs, x.prompt.Memory()); err == nil {
			return false
		}
	}
	return true
}

// usable returns the part of an engine's memory that groups may take.
func usable(total int) int { return total - total/keptFree }

// candidate returns what groups may take of an engine.
func candidate(addr string, free, total int) group.Candidate {
	return group.Candidate{Addr: addr, Free: free - total/keptFree, Total: usable(total)}
}

// freeMemory asks engines for their free memory.
func (x *run) freeMemory(ctx context.Context, es []directory.Engine) []group.Candidate {
	out := make([]group.Candidate, len(es))
	var g errgroup.Group
	g.SetLimit(reportsAtOnce)
	for i, e := range es {
		g.Go(func() error {
			r, err := x.engines.Report(ctx, e.Addr)
			if err == nil && !r.Leaving && !x.excluded[e.Addr] {
				out[i] = candidate(e.Addr, r.TotalTokens-r.UsedTokens, r.TotalTokens)
			}
			return nil // an engine that does not answer is no candidate
		})
	}
	_ = g.Wait()
	return slices.DeleteFunc(out, func(c group.Candidate) bool { return c.Total == 0 })
}

// link makes the lead use the memory of the other members.
func (x *run) link(ctx context.Context, h *reservation, lead group.Member) error {
	for _, m := range h.members {
		if m.Addr == lead.Addr {
			continue
		}
		if err := x.engines.Import(ctx, lead.Addr, m.Addr, h.id); err != nil {
			x.excluded[m.Addr] = true
			return errors.Wrapf(err, "link %s to %s", m.Addr, lead.Addr)
		}
	}
	return nil
}
