package route

import (
	"cmp"
	"slices"
	"time"
)

type (
	// placement is an attempt that was placed on an engine and is not known to
	// have ended.
	placement struct {
		attempt      string
		priority     int64
		placedAt     time.Time
		pending      float64 // prompt tokens still to be prefilled, estimated
		uncached     int     // prompt tokens that were not cached at placement
		cached       int     // prompt tokens that were cached at placement
		memoryTokens int
		expiry       time.Time
	}

	// placements are the placements on one engine, in the order in which the
	// engine processes them.
	placements struct {
		byAttempt map[string]*placement
		ordered   []*placement // most urgent first
	}
)

func newPlacements() *placements { return &placements{byAttempt: map[string]*placement{}} }

func byPriority(a, b *placement) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.attempt, b.attempt))
}

// add adds x and replaces an earlier placement of the same attempt.
func (p *placements) add(x *placement) {
	p.remove(x.attempt)
	i, _ := slices.BinarySearchFunc(p.ordered, x, byPriority)
	p.ordered = slices.Insert(p.ordered, i, x)
	p.byAttempt[x.attempt] = x
}

// remove removes and returns the placement of an attempt, or returns nil if
// there is none.
func (p *placements) remove(attempt string) *placement {
	x, ok := p.byAttempt[attempt]
	if !ok {
		return nil
	}
	delete(p.byAttempt, attempt)
	i, _ := slices.BinarySearchFunc(p.ordered, x, byPriority)
	p.ordered = slices.Delete(p.ordered, i, i+1)
	return x
}

// expire removes the placements whose end was not reported before their expiry.
func (p *placements) expire(now time.Time) {
	p.ordered = slices.DeleteFunc(p.ordered, func(x *placement) bool {
		expired := now.After(x.expiry)
		if expired {
			delete(p.byAttempt, x.attempt)
		}
		return expired
	})
}

func (p *placements) clear() {
	clear(p.byAttempt)
	p.ordered = nil
}

func (p *placements) len() int { return len(p.ordered) }
