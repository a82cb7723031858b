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
	placementPeriod = 5 * time.Second
	orderTimeout    = time.Second
	// orderedLoadTTL is how long an ordered copy counts as being loaded.
	orderedLoadTTL = 2 * time.Minute
	// demandTimeout limits the total time for reading the demand of the hall's
	// daemons, of which at most maxDemandCalls are called concurrently.
	demandTimeout  = 2 * time.Second
	maxDemandCalls = 16
)

// orderedLoad is a load that was ordered and that the engine has not reported as
// completed yet.
type orderedLoad struct {
	addr string
	copy directory.Copy
}

// placeCopies plans which engines of the hall hold which copies and orders the
// next moves, if this daemon holds the hall's control lease. While the platform
// is down, the lease expires and the placement does not change.
func (u *Upkeep) placeCopies(ctx context.Context) {
	term, ok := u.lease.Held(boottime.Time())
	v := u.loop.View()
	if !ok || v.Templates.Number() == 0 {
		return
	}
	engines := u.availableEngines(v)
	if len(engines) == 0 {
		return
	}
	desired := placement.DesiredCopies(namedCopies(v), u.hallDemand(ctx, v))
	for _, m := range placement.Plan(desired, engines, placement.DefaultLimits()) {
		u.sendOrder(ctx, v, term, m)
	}
}

// namedCopies returns the copies that templates name, each with the number of
// workspaces that name it.
func namedCopies(v *control.View) map[directory.Copy]int {
	out := map[directory.Copy]int{}
	for _, t := range v.Templates.Templates() {
		for _, m := range t.Models {
			out[directory.Copy{Model: m.Name, Version: m.Version}]++
		}
	}
	return out
}

// hallDemand returns the demand of the hall's callers. The hall's daemons are
// queried once per demand period; in between, the last result is returned. A
// daemon that does not answer is left out, so that its callers have less weight
// until the next query.
func (u *Upkeep) hallDemand(ctx context.Context, v *control.View) placement.Demand {
	if time.Since(u.demandUpdated) < u.periods.Demand {
		return u.demand
	}
	sum, ok := control.Ask(ctx, u.loop, (*control.State).Demand)
	if !ok {
		return u.demand
	}
	others := slices.DeleteFunc(slices.Clone(v.LiveDaemons(v.Self.Hall)), func(a string) bool { return a == v.Self.Addr })
	demands := make([]placement.Demand, len(others))
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxDemandCalls)
	for i, a := range others {
		g.Go(func() error {
			d, err := u.peers.Demand(ctx, a)
			if err == nil {
				demands[i] = d
			}
			return nil
		})
	}
	_ = g.Wait()
	for _, d := range demands {
		sum = sum.Plus(d)
	}
	u.demand, u.demandUpdated = sum, time.Now()
	return sum
}

// availableEngines returns the engines of the hall that are up, with the copies
// that they hold and those that have been ordered recently.
func (u *Upkeep) availableEngines(v *control.View) []placement.Engine {
	var out []placement.Engine
	for _, e := range v.Engines {
		if e.Hall != v.Self.Hall || e.Status != directory.Up {
			continue
		}
		p := placement.Engine{Addr: e.Addr, Live: e.Copies, Copies: slices.Clone(e.Copies)}
		for o, until := range u.orderedLoads {
			if o.addr != e.Addr {
				continue
			}
			if slices.Contains(e.Copies, o.copy) || time.Now().After(until) {
				delete(u.orderedLoads, o)
				continue
			}
			p.Copies = append(p.Copies, o.copy)
		}
		out = append(out, p)
	}
	return out
}

// sendOrder sends one order to an engine. It checks the lease again immediately
// before, since the daemon may have been paused. An engine that does not check
// the fence gets orders only after those of an earlier holder have expired.
func (u *Upkeep) sendOrder(ctx context.Context, v *control.View, term lease.Term, m placement.Move) {
	if !v.ChecksFence(m.Addr) && boottime.Time().Before(term.OrdersFrom) {
		return
	}
	now, ok := u.lease.Held(boottime.Time())
	if !ok || now.Fence != term.Fence {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := u.engines.Command(ctx, m.Addr, engine.Order{
		Fence: term.Fence, Action: engine.Action(m.Action), Model: m.Copy.Model, Version: m.Copy.Version, TTL: lease.OrderLifetime,
	})
	if err != nil {
		event.OrderFailed.Error(err, "engine", m.Addr, "action", m.Action, "fence", term.Fence)
		return
	}
	event.OrderGiven.Info("engine", m.Addr, "action", m.Action, "model", m.Copy.Model, "version", m.Copy.Version, "fence", term.Fence)
	if m.Action == placement.Load {
		u.orderedLoads[orderedLoad{m.Addr, m.Copy}] = time.Now().Add(orderedLoadTTL)
	}
}
