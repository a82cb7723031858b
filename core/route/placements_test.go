package route

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestPlacementsAgainstNaive adds, removes and expires placements, and compares
// the result with a map that is sorted after each step.
func TestPlacementsAgainstNaive(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ps := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	ps.Property("same placements in the same order", prop.ForAll(func(steps []int) bool {
		p, naive := newPlacements(), map[string]*placement{}
		for i, n := range steps {
			id, now := fmt.Sprint(n%7), start.Add(time.Duration(i)*time.Second)
			switch n % 5 {
			case 0:
				x, had := naive[id]
				delete(naive, id)
				if got := p.remove(id); (got != nil) != had || got != x {
					return false
				}
			case 1:
				p.expire(now)
				maps.DeleteFunc(naive, func(_ string, x *placement) bool { return now.After(x.expiry) })
			default:
				x := &placement{attempt: id, priority: int64(n % 3), expiry: now.Add(time.Duration(n%4) * time.Second)}
				p.add(x)
				naive[id] = x
			}
			if !slices.Equal(p.ordered, slices.SortedFunc(maps.Values(naive), byPriority)) || !maps.Equal(p.byAttempt, naive) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 1_000_000))))
	ps.TestingRun(t)
}
