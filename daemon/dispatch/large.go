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
	// groupHeadroomDivisor determines the memory of each engine that groups may not
	// reserve, 1/groupHeadroomDivisor of the total, so that short requests can run
	// beside a group.
	groupHeadroomDivisor = 10
	// maxGroupRetryDelay bounds the random delay before the next try to reserve a
	// group.
	maxGroupRetryDelay = time.Second
	// triesPerPoll is the number of tries after which a waiting request polls all
	// engines again. In between it considers only the engines that it waits for.
	triesPerPoll = 20
	// maxConcurrentReports bounds the load reports that one request reads
	// concurrently.
	maxConcurrentReports = 16
)

// needsGroup reports whether the request needs more memory than any live engine with
// its model has. It returns false if there is no such engine.
func (x *run) needsGroup(v *control.View) bool {
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

// enginesByHall returns the engines that are up and hold the model, grouped by hall,
// the daemon's own hall first. A group does not span halls, since its members
// transfer KV caches to each other.
func (x *run) enginesByHall(v *control.View) [][]directory.Engine {
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

// runGroupAttempt makes one attempt at a request that needs a group of engines.
func (x *run) runGroupAttempt(ctx context.Context, attempt string) error {
	ctx, span := telemetry.Span(ctx, "group")
	defer span.End()
	h, err := x.reserveGroup(ctx, attempt)
	if err != nil {
		return err
	}
	defer x.releaseGroup(h)
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
	x.reservationID = h.id
	defer func() { x.reservationID = "" }()
	return x.runOnLead(ctx, attempt, h, lead.Addr)
}

// runOnLead runs the prompt on the lead of a group, and cancels it if a member is
// lost. The placement is recorded with the lead's owner; otherwise the owner would
// count the prefill as unknown work that is ahead of every other request.
func (x *run) runOnLead(ctx context.Context, attempt string, h *reservation, lead string) error {
	v := x.loop.View()
	o := route.Offer{Addr: lead, Incarnation: v.Incarnation(lead)}
	if current, ok := x.recordPlacement(ctx, v, attempt, o, x.prompt.WithReserved()); ok {
		o.FairnessDelay = current.FairnessDelay
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.ctx, cancel)()
	first, err := x.stream(ctx, attempt, o)
	var lost *lostMemberError
	if err != nil && errors.As(context.Cause(h.ctx), &lost) {
		x.excluded[lost.addr] = true
		err = lost
	}
	x.reportFinished(attempt, o, first, lost == nil && failedByEngine(ctx, err))
	return err
}

// reserveGroup reserves a group, and retries until the request's deadline. On the
// first try and then every triesPerPoll tries, it polls the engines for their free
// memory; in between it uses the free memory that the engines' owners report. On each
// try it asks the owners whether a more urgent group waits.
func (x *run) reserveGroup(ctx context.Context, attempt string) (*reservation, error) {
	id := "group-" + attempt
	wait := x.newGroupWait(id)
	defer wait.leave()
	var awaited []string
	for n := 0; ; n++ {
		if err := x.blockedError(x.stage()); err != nil {
			return nil, err
		}
		v := x.loop.View()
		var ms []group.Member
		var err error
		poll := pollsEngines(n, awaited)
		if poll {
			ms, awaited, err = x.pick(ctx, v)
		}
		statuses := wait.join(ctx, v, awaited)
		if !poll {
			ms, err = group.Pick(candidatesFromStatuses(awaited, statuses), x.prompt.Memory())
		}
		if err == nil && !anyOutranked(statuses) {
			var h *reservation
			if h, err = x.reserve(ctx, v, id, ms); err == nil {
				return h, nil
			}
		}
		if errors.Is(err, group.ErrTooLarge) && x.neverFits(v) {
			return nil, fault.Newf(fault.TooLarge, "shorten the prompt or the answer",
				"the prompt and its answer need %d tokens of memory, more than a group of %d engines has", x.prompt.Memory(), group.MaxMembers)
		}
		if err := pause.UpTo(ctx, maxGroupRetryDelay); err != nil {
			return nil, err
		}
	}
}

// pollsEngines reports whether a try polls all engines: every triesPerPoll tries, and
// whenever there are no engines to wait for.
func pollsEngines(try int, awaited []string) bool { return try%triesPerPoll == 0 || len(awaited) == 0 }

// reserve reserves the memory of all members or of none. Each try uses a new ID,
// since releases of an earlier try may still be in flight and must not free the new
// reservation.
func (x *run) reserve(ctx context.Context, v *control.View, waitID string, ms []group.Member) (*reservation, error) {
	x.reserveTries++
	id := fmt.Sprintf("%s-%d", waitID, x.reserveTries)
	err := group.Reserve(ctx, ms, func(ctx context.Context, m group.Member) error {
		return x.engines.Reserve(ctx, m.Addr, x.newHolding(v, id, m))
	}, func(m group.Member) { x.releaseMember(id, m) })
	if err != nil {
		return nil, err
	}
	h := &reservation{id: id, members: ms}
	x.startRenewals(v, h)
	return h, nil
}

// pick chooses a group in the first hall that has enough free memory. If there is
// none, it returns the engines to wait for in the nearest hall that could hold the
// request when idle.
func (x *run) pick(ctx context.Context, v *control.View) (ms []group.Member, awaited []string, err error) {
	err = group.ErrTooLarge
	for _, es := range x.enginesByHall(v) {
		cs := x.freeMemory(ctx, es)
		if ms, err = group.Pick(cs, x.prompt.Memory()); err == nil {
			return ms, group.Addrs(ms), nil
		}
		if len(awaited) == 0 {
			awaited = group.EnginesToWaitFor(cs, x.prompt.Memory())
		}
	}
	return nil, awaited, err
}

// neverFits reports whether the request would not fit even if all engines were idle.
func (x *run) neverFits(v *control.View) bool {
	for _, es := range x.enginesByHall(v) {
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

// usable returns how much of an engine's total memory groups may reserve, in tokens.
func usable(total int) int { return total - total/groupHeadroomDivisor }

// candidate returns an engine as a candidate for a group, with the memory that groups
// may reserve there.
func candidate(addr string, free, total int) group.Candidate {
	return group.Candidate{Addr: addr, Free: free - total/groupHeadroomDivisor, Total: usable(total)}
}

// freeMemory polls engines for their free memory.
func (x *run) freeMemory(ctx context.Context, es []directory.Engine) []group.Candidate {
	out := make([]group.Candidate, len(es))
	var g errgroup.Group
	g.SetLimit(maxConcurrentReports)
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

// link makes the lead import the KV caches of the other members.
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
