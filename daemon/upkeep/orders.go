package upkeep

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/directory"
	"slipcrank.example/core/lease"
	"slipcrank.example/core/placement"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
)

const (
	placePeriod = 5 * time.Second
	orderTime   = time.Second
	// orderedLife is how long a copy that was ordered counts as being loaded.
	orderedLife = 2 * time.Minute
	// demandTime bounds the wait for the hall's daemons to tell their demand;
	// so many are asked at once.
	demandTime   = 2 * time.Second
	demandAtOnce = 16
)

// ordered is a load that was ordered and is not seen done yet.
type ordered struct {
	addr string
	copy directory.Copy
}

// place plans which engines of the hall hold which copies, and orders the next
// moves, if this daemon holds the hall's control lease. While the platform is
// down the lease ends, and placement stays as it is.
func (u *Upkeep) place(ctx context.Context) {
	held, ok := u.lease.Held(boottime.Time())
	v := u.loop.View()
	if !ok || v.Book.Number() == 0 {
		return
	}
	engines := u.placeable(v)
	if len(engines) == 0 {
		return
	}
	wants := placement.DesiredCopies(named(v), u.hallDemand(ctx, v))
	for _, m := range placement.Plan(wants, engines, placement.DefaultLimits()) {
		u.order(ctx, v, held, m)
	}
}

// named returns the copies that templates name, by how many workspaces do.
func named(v *control.View) map[directory.Copy]int {
	out := map[directory.Copy]int{}
	for _, t := range v.Book.Templates() {
		for _, m := range t.Models {
			out[directory.Copy{Model: m.Name, Version: m.Version}]++
		}
	}
	return out
}

// hallDemand returns what callers of the hall ask for. The others are asked
// once in a while only; a daemon that does not answer is left out, and makes
// the part of its callers smaller until it is asked again.
func (u *Upkeep) hallDemand(ctx context.Context, v *control.View) placement.Demand {
	if time.Since(u.demandAt) < u.periods.Demand {
		return u.demand
	}
	sum, ok := control.Ask(ctx, u.loop, (*control.State).Demand)
	if !ok {
		return u.demand
	}
	others := slices.DeleteFunc(slices.Clone(v.Live(v.Self.Hall)), func(a string) bool { return a == v.Self.Addr })
	answers := make([]placement.Demand, len(others))
	ctx, cancel := context.WithTimeout(ctx, demandTime)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(demandAtOnce)
	for i, a := range others {
		g.Go(func() error {
			d, err := u.peers.Demand(ctx, a)
			if err == nil {
				answers[i] = d
			}
			return nil
		})
	}
	_ = g.Wait()
	for _, d := range answers {
		sum = sum.Plus(d)
	}
	u.demand, u.demandAt = sum, time.Now()
	return sum
}

// placeable returns the engines of the hall that are up, with what has been
// ordered lately.
func (u *Upkeep) placeable(v *control.View) []placement.Engine {
	var out []placement.Engine
	for _, e := range v.Engines {
		if e.Hall != v.Self.Hall || e.Status != directory.Up {
			continue
		}
		p := placement.Engine{Addr: e.Addr, Live: e.Copies, Copies: slices.Clone(e.Copies)}
		for o, until := range u.ordered {
			if o.addr != e.Addr {
				continue
			}
			if slices.Contains(e.Copies, o.copy) || time.Now().After(until) {
				delete(u.ordered, o)
				continue
			}
			p.Copies = append(p.Copies, o.copy)
		}
		out = append(out, p)
	}
	return out
}

// order gives one order. It looks at the lease once more right before, since
// the daemon may have been paused; an engine that checks no fence gets orders
// only after those of an earlier holder have run out.
func (u *Upkeep) order(ctx context.Context, v *control.View, held lease.Term, m placement.Move) {
	if !v.ChecksFence(m.Addr) && boottime.Time().Before(held.OrdersFrom) {
		return
	}
	now, ok := u.lease.Held(boottime.Time())
	if !ok || now.Fence != held.Fence {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	err := u.engines.Command(ctx, m.Addr, engine.Order{
		Fence: held.Fence, Action: engine.Action(m.Action), Model: m.Copy.Model, Version: m.Copy.Version, TTL: lease.OrderLifetime,
	})
	if err != nil {
		event.OrderFailed.Error(err, "engine", m.Addr, "action", m.Action, "fence", held.Fence)
		return
	}
	event.OrderGiven.Info("engine", m.Addr, "action", m.Action, "model", m.Copy.Model, "version", m.Copy.Version, "fence", held.Fence)
	if m.Action == placement.Load {
		u.ordered[ordered{m.Addr, m.Copy}] = time.Now().Add(orderedLife)
	}
}
