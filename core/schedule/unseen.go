package schedule

import (
	"math"
	"time"
)

const (
	// delayWeight is the weight of a new sample in the moving average of the propagation
	// delay: about the last ten samples count.
	delayWeight = 0.1
	// delayTTL is how long a measured propagation delay is used without new samples. A
	// host of a large cell makes a few placements in this time.
	delayTTL = 10 * time.Second
	// slotsPerUnseen is the number of free slots among which a placement is drawn for each
	// placement that isn't known yet: one in ten then meets another. Drawing from more would
	// keep streams on engines that could be left to long prompts.
	slotsPerUnseen = 10
	// maxPropagationDelay bounds a sample: later news is lost or held up by a partition.
	maxPropagationDelay = time.Second
)

// measuredDelay is the moving average of the time until other hosts know of a placement.
type measuredDelay struct {
	mean      time.Duration
	updatedAt time.Duration // zero without samples
}

// RecordReturn records that a forwarder has sent the report of an own placement back to
// this host: other hosts learn of the placement at about the same time.
func (sc *Scheduler) RecordReturn(id ID, now time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.placements[id]
	if p == nil || id.Host != sc.host || now-p.PlacedAt > maxPropagationDelay {
		return
	}
	sample, d := now-p.PlacedAt, &sc.delay
	if d.updatedAt == 0 || now-d.updatedAt > delayTTL {
		d.mean = sample
	}
	d.mean += time.Duration(delayWeight * float64(sample-d.mean))
	d.updatedAt = now
}

// newsDelay returns the time until other hosts know of a placement, as measured or, without
// recent samples, as assumed.
func (sc *Scheduler) newsDelay(now time.Duration) time.Duration {
	if sc.delay.updatedAt == 0 || now-sc.delay.updatedAt > delayTTL {
		return propagationDelay
	}
	return sc.delay.mean
}

// NewsDelay returns the time until other hosts know of a placement of this host.
func (sc *Scheduler) NewsDelay(now time.Duration) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.newsDelay(now)
}

// unseenEverywhere returns the probabilities of the numbers of placements of a service that
// this host hasn't learned of, if all of them are on the engine in question. Hosts that rank
// engines alike send the requests that arrive at the same time to the same few engines.
func (sc *Scheduler) unseenEverywhere(service string, now time.Duration) []float64 {
	return appendPoisson(nil, sc.remoteRates[service].perSecond(now)*propagationDelay.Seconds())
}

// expectUnseen sets the expected unseen placements of the engines of a choice. Where hosts
// draw leads by their free slots, the placements that this host hasn't learned of are spread
// over the engines in the same proportion.
func (sc *Scheduler) expectUnseen(c *choice, service string, now time.Duration) {
	if !sc.policy.spread {
		all := sc.unseenEverywhere(service, now)
		for _, s := range c.states {
			s.unseen = all
		}
		return
	}
	total := sc.remoteRates[service].perSecond(now) * sc.newsDelay(now).Seconds()
	c.slotsToSpread = slotsPerUnseen * total
	if c.knowsLittle {
		c.slotsToSpread = math.Inf(1)
	}
	drawn := max(slotsPerUnseen*total, float64(maxLeadDraw*c.engine.Slots))
	opened, free := 0, 0 // free slots of the engines with streams, and of all
	for _, s := range c.states {
		free += s.freeSlots()
		if s.tightestGap > 0 {
			opened += s.freeSlots()
		}
	}
	probabilities := c.scratch.probabilities[:0]
	for _, s := range c.states {
		var mean float64
		switch {
		case total == 0:
		case opened > 0 && s.tightestGap > 0:
			mean = total * float64(s.freeSlots()) / min(float64(opened), drawn)
		case opened == 0 && free > 0:
			mean = total * float64(s.freeSlots()) / min(float64(free), drawn)
		}
		start := len(probabilities)
		probabilities = appendPoisson(probabilities, mean)
		s.unseen = probabilities[start:len(probabilities):len(probabilities)]
	}
	c.scratch.probabilities = probabilities
}

// appendPoisson appends the probabilities of 0, 1, 2 .. events if their number is Poisson
// distributed with the given mean. Large improbable numbers are left out.
func appendPoisson(ps []float64, mean float64) []float64 {
	p := math.Exp(-mean)
	for n := 1; ; n++ {
		ps = append(ps, p)
		p *= mean / float64(n)
		if p < minProbability && float64(n) > mean {
			return ps
		}
	}
}
