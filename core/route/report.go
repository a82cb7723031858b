package route

import (
	"slices"
	"time"
)

// placementTotals are sums over the placements, in prompt tokens, relative to
// the time at which a report was taken. Pending is what the report should count
// as pending, later is what was placed after it, and pendingCached and
// laterCached are the cached tokens among them.
type placementTotals struct {
	pending, pendingCached, later, laterCached float64
}

// ApplyReport updates the tracker with a load report. If the report counts more
// pending tokens than the placements, the engine prefilled more slowly than
// estimated, or there is work that was not placed through this tracker. If it
// counts fewer, the engine prefilled faster than estimated. A report of another
// incarnation of the engine discards the placements and the cache index.
func (l *LoadTracker) ApplyReport(r Load, now time.Time) {
	l.drain(now)
	if r.Incarnation != l.load.Incarnation {
		l.placed.clear()
		l.blocks.Reset()
		l.arrived, l.expectedCached = 0, 0
	}
	sum := l.totals(r.Taken)
	if r.Incarnation == l.load.Incarnation {
		l.learnRate(r, l.arrived-sum.later, l.expectedCached-sum.laterCached-sum.pendingCached)
	}
	l.load, l.arrived = r, sum.later
	age := now.Sub(r.Taken).Seconds()
	reported := max(0, float64(r.Pending)-age*l.rate.TokensPerSecond())
	l.unattributed = l.restore(reported - sum.pending)
	l.trim(sum.pending - reported)
	l.expectedCached = sum.laterCached + l.totals(r.Taken).pendingCached
}

// totals returns the sums over the placements for a report taken at the given
// time.
func (l *LoadTracker) totals(taken time.Time) placementTotals {
	var s placementTotals
	for _, p := range l.placed.ordered {
		switch {
		case p.placedAt.After(taken):
			s.later += float64(p.uncached + p.cached)
			s.laterCached += float64(p.cached)
		case p.notStarted():
			s.pending += float64(p.uncached + p.cached)
			s.pendingCached += float64(p.cached)
		default:
			s.pending += p.pending
		}
	}
	return s
}

// notStarted reports whether, by estimate, the engine has not started to
// prefill the prompt. Until then, the engine's reports count the whole prompt,
// since an engine looks a prompt up in its cache only when it starts on it.
func (p *placement) notStarted() bool { return p.pending > 0 && p.pending == float64(p.uncached) }

// learnRate updates the estimated prefill rate from the last report and r, if
// the engine had work throughout the time between them. The engine prefilled
// the tokens that were pending before and those that arrived, less those that
// are pending now and those that it found in its cache. While requests wait,
// possibly for memory, the engine may have been unable to prefill anything, so
// the rate is not updated.
func (l *LoadTracker) learnRate(r Load, arrived, cached float64) {
	span := r.Taken.Sub(l.load.Taken)
	if l.load.Waiting > 0 || r.Waiting > 0 {
		return
	}
	if l.load.Pending < minRateTokens || r.Pending < minRateTokens || span < minLearnSpan {
		return
	}
	prefilled := float64(l.load.Pending) + arrived - float64(r.Pending)
	l.rate = l.rate.ObserveRate((prefilled - cached) / span.Seconds())
}

// restore adds missing tokens to the placements that the last report covers and
// whose prefill was estimated to be further along than it is, least urgent
// first. It returns the remainder, which is work not placed through this tracker.
func (l *LoadTracker) restore(missing float64) float64 {
	if missing <= 0 {
		return 0
	}
	for _, p := range slices.Backward(l.placed.ordered) {
		if p.placedAt.After(l.load.Taken) || p.notStarted() {
			continue
		}
		n := min(missing, float64(p.uncached)-p.pending)
		p.pending += n
		missing -= n
		if p.notStarted() {
			missing = max(0, missing-float64(p.cached))
		}
	}
	return missing
}

// trim removes surplus tokens from the placements that the last report covers,
// most urgent first.
func (l *LoadTracker) trim(surplus float64) {
	if surplus <= 0 {
		return
	}
	for _, p := range l.placed.ordered {
		if p.placedAt.After(l.load.Taken) {
			continue
		}
		if p.notStarted() {
			surplus -= float64(p.cached)
		}
		if surplus <= 0 {
			return
		}
		n := min(surplus, p.pending)
		p.pending -= n
		surplus -= n
	}
}

// drain subtracts the tokens that the engine is estimated to have prefilled
// since the last call.
func (l *LoadTracker) drain(now time.Time) {
	done := now.Sub(l.drainedAt).Seconds() * l.rate.TokensPerSecond()
	l.drainedAt = now
	for _, p := range l.placed.ordered {
		n := min(done, p.pending)
		p.pending -= n
		done -= n
	}
	l.placed.expire(now)
	l.unattributed = max(0, l.unattributed-done)
}
