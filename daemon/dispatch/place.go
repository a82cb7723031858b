package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/telemetry"
)

const (
	// ownersAsked is how many owners are asked for bids. At full size an owner
	// has 1.6 engines, so that three of them offer five. More would place a
	// little better, and not fit the budget of control bytes.
	ownersAsked = 3
	// looks bounds the engines looked at to find that many owners.
	looks = 24
	// fallbackTries bounds the engines asked when no owner answers.
	fallbackTries = 4
	bidTimeout    = 150 * time.Millisecond
	// placements is how often a placement may be refused for a changed offer
	// before the last offer is taken as it is.
	placements = 2
	// heldPause is the longest pause before offers are asked for again, while
	// all memory is kept for a more urgent group.
	heldPause = 200 * time.Millisecond
	// heldPart is the part of the time left, one in so many, for which a request
	// waits for a group; then it goes ahead all the same.
	heldPart = 3
	// overflowWait is the predicted wait, beside the prefill, from which
	// engines of other halls are asked too.
	overflowWait = 400 * time.Millisecond
	// overflowCost is added to the offers of other halls.
	overflowCost = 20 * time.Millisecond
)

// place picks an engine and records the placement with its owner.
func (x *run) place(ctx context.Context, attempt string) (route.Offer, error) {
	ctx, span := telemetry.Span(ctx, "place")
	defer span.End()
	best, err := x.choose(ctx, attempt)
	for n := 1; err == nil; n++ {
		now, ok := x.placed(ctx, x.loop.View(), attempt, best, x.prompt)
		if ok {
			best.FairnessDelay = now.FairnessDelay
		}
		if ok || n == placements {
			return best, nil
		}
		best, err = x.choose(ctx, attempt)
	}
	return route.Offer{}, err
}

// choose asks for offers and takes the best. While all memory is kept for a more
// urgent group it asks again, for a part of the request's time.
func (x *run) choose(ctx context.Context, attempt string) (route.Offer, error) {
	if x.heldUntil.IsZero() {
		x.heldUntil = time.Now().Add(time.Until(x.prompt.Deadline) / heldPart)
	}
	for {
		offers := x.offers(ctx, x.loop.View())
		best, d, ok := route.Choose(x.prompt, offers, time.Now())
		x.explainChoice(Attempt{Attempt: attempt, Decision: d})
		if !ok {
			return route.Offer{}, x.refused(best, len(offers))
		}
		if !best.BlockedByGroup || time.Now().After(x.heldUntil) {
			return best, nil
		}
		if err := pause.UpTo(ctx, heldPause); err != nil {
			return route.Offer{}, err
		}
	}
}

// explainChoice adds a choice to the record of the request, in the place of one
// that only led to waiting.
func (x *run) explainChoice(a Attempt) {
	if n := len(x.record.Attempts); n > 0 && x.record.Attempts[n-1].Attempt == a.Attempt && x.record.Attempts[n-1].Decision.WaitsForGroup() {
		x.record.Attempts = x.record.Attempts[:n-1]
	}
	x.record.Attempts = append(x.record.Attempts, a)
}

// offers asks for offers in the daemon's own hall, and in the others too if
// the wait at home is long.
func (x *run) offers(ctx context.Context, v *control.View) []route.Offer {
	home := x.ask(ctx, v, v.LocalEngines(x.prompt.Model, x.prompt.Version))
	best, _, ok := route.Choose(x.prompt, home, time.Now())
	if ok && best.Wait < overflowWait && best.Fits && !best.Ejected {
		return home
	}
	away := x.ask(ctx, v, v.RemoteEngines(x.prompt.Model, x.prompt.Version))
	for i := range away {
		away[i].Wait += overflowCost
	}
	return append(home, away...)
}

// ask gets offers for some of the engines from their owners, all at once. If
// none come, since owners are silent or so new that they know nothing of their
// engines yet, it falls back to the load reports of two engines.
func (x *run) ask(ctx context.Context, v *control.View, g *control.EngineSet) []route.Offer {
	if g.Len() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, bidTimeout)
	defer cancel()
	owners := x.ownersOf(g)
	bids := make(chan []route.Offer, len(owners))
	for _, o := range owners {
		x.background(func() { bids <- x.bid(ctx, v, o) })
	}
	var offers []route.Offer
	for range owners {
		offers = append(offers, <-bids...)
	}
	offers = slices.DeleteFunc(offers, func(o route.Offer) bool { return x.excluded[o.Addr] })
	if len(offers) == 0 {
		return x.askEngines(ctx, g)
	}
	return offers
}

// ownersOf picks the owners to ask: that of the engine which the prompt's
// first block is hashed to, so that equal prefixes meet, and others at
// random. It looks at a few engines only, however many there are.
func (x *run) ownersOf(g *control.EngineSet) []string {
	out := make([]string, 0, ownersAsked)
	add := func(i int) {
		c := g.At(i)
		if c.Owner != "" && !x.excluded[c.Addr] && !slices.Contains(out, c.Owner) {
			out = append(out, c.Owner)
		}
	}
	if len(x.request.Chain) > 0 {
		add(g.ByHash(x.request.Chain[0]))
	}
	if g.Len() <= looks {
		for _, i := range rand.Perm(g.Len()) {
			if len(out) < ownersAsked {
				add(i)
			}
		}
		return out
	}
	for n := 0; n < looks && len(out) < ownersAsked; n++ {
		add(rand.IntN(g.Len()))
	}
	return out
}

// bid returns the offers of one owner, or none if it does not answer.
func (x *run) bid(ctx context.Context, v *control.View, owner string) []route.Offer {
	if owner == v.Self.Addr {
		return x.loop.Offers(ctx, x.prompt)
	}
	os, err := x.peers.Bid(ctx, owner, x.prompt)
	if err != nil {
		return nil
	}
	return os
}

// askEngines makes offers from the lagging reports of two random engines.
func (x *run) askEngines(ctx context.Context, g *control.EngineSet) []route.Offer {
	x.metrics.Count("placed_without_owner_total", 1)
	var out []route.Offer
	for range fallbackTries {
		addr := g.At(rand.IntN(g.Len())).Addr
		if x.excluded[addr] || len(out) == 2 {
			continue
		}
		r, err := x.engines.Report(ctx, addr)
		if err != nil || r.Leaving {
			continue
		}
		now := time.Now()
		l := route.NewLoadTracker(addr, now)
		l.ApplyReport(route.Load{
			Taken: now.Add(-r.Age), Incarnation: r.Incarnation,
			Pending: r.PendingTokens, Waiting: r.Waiting, Used: r.UsedTokens, Total: r.TotalTokens,
		}, now)
		out = append(out, l.Offer(x.prompt, now))
	}
	return out
}

// placed records the placement with the owner, and returns the offer as it is
// now. It reports false if that has become much worse meanwhile. An owner that
// can't be reached does not stop the request: the engine has the last word.
func (x *run) placed(ctx context.Context, v *control.View, attempt string, o route.Offer, p route.Prompt) (route.Offer, bool) {
	owner := v.Owner(o.Addr)
	if owner == v.Self.Addr {
		return x.loop.Place(ctx, attempt, o, p)
	}
	ctx, cancel := context.WithTimeout(ctx, bidTimeout)
	defer cancel()
	now, ok, err := x.peers.Place(ctx, owner, attempt, o, p)
	if err != nil {
		return o, true
	}
	return now, ok
}

// refused returns the fault for a request that no engine can take. It is
// given at once, with the time after which asking again is worth while.
func (x *run) refused(best route.Offer, offers int) error {
	if offers == 0 {
		return fault.Newf(fault.NoEngine, "ask again, or see slipcrank engines for what is loaded where",
			"no live engine holds model %s in version %s", x.prompt.Model, x.prompt.Version).WithRetryAfter(time.Second)
	}
	late := best.TimeToFirstToken() - time.Until(x.prompt.Deadline)
	return fault.New(fault.Overloaded, "no engine can start the request within its time",
		"ask again after Retry-After, or give it more time").WithRetryAfter(max(late, time.Second))
}
