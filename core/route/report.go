package route

import (
	"slices"
	"time"
)

// sums are what a report taken at some time counts of the placements, and what
// was placed after it, in prompt tokens.
type sums struct {
	pending, spared, late, lateSpared float64
}

// ApplyReport takes a load report. What the report shows, and the placements do
// not, has been prefilled later than estimated, or else was placed by others;
// what the placements show, and the report does not, has been prefilled sooner.
func (l *LoadTracker) ApplyReport(r Load, now time.Time) {
	l.drain(now)
	if r.Incarnation != l.load.Incarnation {
		l.placed.clear()
		l.blocks.Reset()
		l.arrived, l.spared = 0, 0
	}
	sum := l.sum(r.Taken)
	if r.Incarnation == l.load.Incarnation {
		l.learn(r, l.arrived-sum.late, l.spared-sum.lateSpared-sum.spared)
	}
	l.load, l.arrived = r, sum.late
	age := now.Sub(r.Taken).Seconds()
	reported := max(0, float64(r.Pending)-age*l.rate.TokensPerSecond())
	l.foreign = l.restore(reported - sum.pending)
	l.trim(sum.pending - reported)
	l.spared = sum.lateSpared + l.sum(r.Taken).spared
}

// sum adds the placements up as a report taken then counts them.
func (l *LoadTracker) sum(taken time.Time) sums {
	var s sums
	for _, p := range l.placed.ordered {
		switch {
		case p.at.After(taken):
			s.late += float64(p.fresh + p.cached)
			s.lateSpared += float64(p.cached)
		case p.waits():
			s.pending += float64(p.fresh + p.cached)
			s.spared += float64(p.cached)
		default:
			s.pending += p.pending
		}
	}
	return s
}

// waits reports whether the engine has not begun with the placement, by
// estimate. Until it has, its reports count the whole prompt: an engine looks
// into its cache when it begins with a prompt.
func (p *placement) waits() bool { return p.pending > 0 && p.pending == float64(p.fresh) }

// learn takes the engine's rate from two reports between which it always had
// work: what waited, and what came, less what waits now, it has prefilled, but
// for what it was spared by its cache. While it keeps requests waiting, for want
// of memory maybe, it may have had nothing that it could work on.
func (l *LoadTracker) learn(r Load, came, spared float64) {
	took := r.Taken.Sub(l.load.Taken)
	if l.load.Waiting > 0 || r.Waiting > 0 {
		return
	}
	if l.load.Pending < minLearn || r.Pending < minLearn || took < leastSpan {
		return
	}
	gone := float64(l.load.Pending) + came - float64(r.Pending)
	l.rate = l.rate.ObserveRate((gone - spared) / took.Seconds())
}

// restore gives missing tokens back to placements that the report has seen and
// that were taken for prefilled too soon, least urgent first, and returns what
// is left: the work of others.
func (l *LoadTracker) restore(missing float64) float64 {
	if missing <= 0 {
		return 0
	}
	for _, p := range slices.Backward(l.placed.ordered) {
		if p.at.After(l.load.Taken) || p.waits() {
			continue
		}
		n := min(missing, float64(p.fresh)-p.pending)
		p.pending += n
		missing -= n
		if p.waits() {
			missing = max(0, missing-float64(p.cached))
		}
	}
	return missing
}

// trim takes surplus tokens off the placements that the report has seen, most
// urgent first.
func (l *LoadTracker) trim(surplus float64) {
	if surplus <= 0 {
		return
	}
	for _, p := range l.placed.ordered {
		if p.at.After(l.load.Taken) {
			continue
		}
		if p.waits() {
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

// drain takes off what the engine will have prefilled since the last call.
func (l *LoadTracker) drain(now time.Time) {
	done := now.Sub(l.drained).Seconds() * l.rate.TokensPerSecond()
	l.drained = now
	for _, p := range l.placed.ordered {
		n := min(done, p.pending)
		p.pending -= n
		done -= n
	}
	l.placed.expire(now)
	l.foreign = max(0, l.foreign-done)
}
