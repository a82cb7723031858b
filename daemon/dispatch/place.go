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
	// maxSampledOwners is the number of owners that are asked for offers. At full
	// scale an owner has 1.6 engines, so three owners offer five. Asking more would
	// improve the placement slightly, but exceed the budget for control traffic.
	maxSampledOwners = 3
	// maxSampledEngines bounds the engines that are examined to find that many
	// owners.
	maxSampledEngines = 24
	// maxFallbackTries bounds the engines that are tried for a load report when no
	// owner has made an offer.
	maxFallbackTries = 4
	// ownerTimeout bounds a call to the owner of an engine.
	ownerTimeout = 150 * time.Millisecond
	// maxPlacementTries bounds the placements of an attempt. A placement is repeated
	// if the offer has become much worse, but the last one is used regardless.
	maxPlacementTries = 2
	// maxOfferRetryDelay bounds the random delay before offers are requested again
	// while all memory is blocked by a more urgent group.
	maxOfferRetryDelay = 200 * time.Millisecond
	// groupWaitDivisor limits how long a request waits for more urgent groups, to
	// 1/groupWaitDivisor of the time left until its deadline. Then it is placed
	// regardless.
	groupWaitDivisor = 3
	// overflowThreshold is the predicted wait, excluding the prefill, from which
	// engines of other halls are considered too.
	overflowThreshold = 400 * time.Millisecond
	// otherHallPenalty is added to the predicted wait on engines of other halls.
	otherHallPenalty = 20 * time.Millisecond
)

// place chooses an engine and records the placement with the engine's owner.
func (x *run) place(ctx context.Context, attempt string) (route.Offer, error) {
	ctx, span := telemetry.Span(ctx, "place")
	defer span.End()
	best, err := x.choose(ctx, attempt)
	for n := 1; err == nil; n++ {
		current, ok := x.recordPlacement(ctx, x.loop.View(), attempt, best, x.prompt)
		if ok {
			best.FairnessDelay = current.FairnessDelay
		}
		if ok || n == maxPlacementTries {
			return best, nil
		}
		best, err = x.choose(ctx, attempt)
	}
	return route.Offer{}, err
}

// choose requests offers and selects the best. While all memory is blocked by a more
// urgent group it retries, for a limited part of the request's time.
func (x *run) choose(ctx context.Context, attempt string) (route.Offer, error) {
	if x.waitForGroupsUntil.IsZero() {
		x.waitForGroupsUntil = time.Now().Add(time.Until(x.prompt.Deadline) / groupWaitDivisor)
	}
	for {
		offers := x.offers(ctx, x.loop.View())
		best, d, ok := route.Choose(x.prompt, offers, time.Now())
		x.recordChoice(Attempt{Attempt: attempt, Decision: d})
		if !ok {
			return route.Offer{}, x.refusal(best, len(offers))
		}
		if !best.BlockedByGroup || time.Now().After(x.waitForGroupsUntil) {
			return best, nil
		}
		if err := pause.UpTo(ctx, maxOfferRetryDelay); err != nil {
			return route.Offer{}, err
		}
	}
}

// recordChoice adds a choice to the record of the request. It replaces the previous
// choice of the same attempt if that one only led to waiting for a group.
func (x *run) recordChoice(a Attempt) {
	if n := len(x.record.Attempts); n > 0 && x.record.Attempts[n-1].Attempt == a.Attempt && x.record.Attempts[n-1].Decision.WaitsForGroup() {
		x.record.Attempts = x.record.Attempts[:n-1]
	}
	x.record.Attempts = append(x.record.Attempts, a)
}

// offers requests offers in the daemon's own hall. If the best of them has a long
// wait, too little free memory or an ejected engine, it requests offers in the other
// halls too.
func (x *run) offers(ctx context.Context, v *control.View) []route.Offer {
	home := x.requestOffers(ctx, v, v.LocalEngines(x.prompt.Model, x.prompt.Version))
	best, _, ok := route.Choose(x.prompt, home, time.Now())
	if ok && best.Wait < overflowThreshold && best.Fits && !best.Ejected {
		return home
	}
	away := x.requestOffers(ctx, v, v.RemoteEngines(x.prompt.Model, x.prompt.Version))
	for i := range away {
		away[i].Wait += otherHallPenalty
	}
	return append(home, away...)
}

// requestOffers concurrently requests offers from some of the engines' owners. If
// there are none, because the owners don't answer or are too new to have data about
// their engines, it falls back to the load reports of two engines.
func (x *run) requestOffers(ctx context.Context, v *control.View, engines *control.EngineSet) []route.Offer {
	if engines.Len() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	owners := x.sampleOwners(engines)
	replies := make(chan []route.Offer, len(owners))
	for _, o := range owners {
		x.background(func() { replies <- x.offersFromOwner(ctx, v, o) })
	}
	var offers []route.Offer
	for range owners {
		offers = append(offers, <-replies...)
	}
	offers = slices.DeleteFunc(offers, func(o route.Offer) bool { return x.excluded[o.Addr] })
	if len(offers) == 0 {
		return x.offersFromReports(ctx, engines)
	}
	return offers
}

// sampleOwners selects the owners to ask: the owner of the engine to which the hash
// of the prompt's first block maps, so that prompts with equal prefixes are sent to
// the same engine, and random others. It examines only a few engines, however many
// there are.
func (x *run) sampleOwners(engines *control.EngineSet) []string {
	out := make([]string, 0, maxSampledOwners)
	add := func(i int) {
		c := engines.At(i)
		if c.Owner != "" && !x.excluded[c.Addr] && !slices.Contains(out, c.Owner) {
			out = append(out, c.Owner)
		}
	}
	if len(x.request.Chain) > 0 {
		add(engines.ByHash(x.request.Chain[0]))
	}
	if engines.Len() <= maxSampledEngines {
		for _, i := range rand.Perm(engines.Len()) {
			if len(out) < maxSampledOwners {
				add(i)
			}
		}
		return out
	}
	for n := 0; n < maxSampledEngines && len(out) < maxSampledOwners; n++ {
		add(rand.IntN(engines.Len()))
	}
	return out
}

// offersFromOwner returns the offers of one owner, or nil if it does not answer.
func (x *run) offersFromOwner(ctx context.Context, v *control.View, owner string) []route.Offer {
	if owner == v.Self.Addr {
		return x.loop.Offers(ctx, x.prompt)
	}
	os, err := x.peers.Bid(ctx, owner, x.prompt)
	if err != nil {
		return nil
	}
	return os
}

// offersFromReports makes offers from the load reports, which lag, of two random
// engines.
func (x *run) offersFromReports(ctx context.Context, engines *control.EngineSet) []route.Offer {
	x.metrics.Count("placed_without_owner_total", 1)
	var out []route.Offer
	for range maxFallbackTries {
		addr := engines.At(rand.IntN(engines.Len())).Addr
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

// recordPlacement records a placement with the engine's owner and returns the current
// offer. It returns false if that is much worse than o. An owner that can't be
// reached does not stop the request, since the engine itself decides whether to
// accept it.
func (x *run) recordPlacement(ctx context.Context, v *control.View, attempt string, o route.Offer, p route.Prompt) (route.Offer, bool) {
	owner := v.Owner(o.Addr)
	if owner == v.Self.Addr {
		return x.loop.Place(ctx, attempt, o, p)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	current, ok, err := x.peers.Place(ctx, owner, attempt, o, p)
	if err != nil {
		return o, true
	}
	return current, ok
}

// refusal returns the fault for a request that no engine can serve in time. Its
// Retry-After is the time by which the best offer misses the deadline, but at least a
// second.
func (x *run) refusal(best route.Offer, offers int) error {
	if offers == 0 {
		return fault.Newf(fault.NoEngine, "ask again, or see slipcrank engines for what is loaded where",
			"no live engine holds model %s in version %s", x.prompt.Model, x.prompt.Version).WithRetryAfter(time.Second)
	}
	late := best.TimeToFirstToken() - time.Until(x.prompt.Deadline)
	return fault.New(fault.Overloaded, "no engine can start the request within its time",
		"ask again after Retry-After, or give it more time").WithRetryAfter(max(late, time.Second))
}
