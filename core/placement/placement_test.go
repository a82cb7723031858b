package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/placement"
)

func copyOf(model, version int) directory.Copy {
	return directory.Copy{Model: fmt.Sprint("m", model), Version: fmt.Sprint(version)}
}

// hall simulates engines that carry out moves. A load takes one round.
type hall struct {
	engines []placement.Engine
	loading []placement.Move
}

// apply completes the loads of the previous round and carries out the moves. It
// returns what violates the limits, or "".
func (h *hall) apply(moves []placement.Move) string {
	for _, m := range h.loading {
		i := h.indexOf(m.Addr)
		h.engines[i].Live = append(h.engines[i].Live, m.Copy)
	}
	h.loading = nil
	for _, m := range moves {
		e := &h.engines[h.indexOf(m.Addr)]
		drop := func(c directory.Copy) bool { return c == m.Copy }
		if m.Action == placement.Load {
			e.Copies = append(e.Copies, m.Copy)
			h.loading = append(h.loading, m)
		} else {
			e.Copies, e.Live = slices.DeleteFunc(e.Copies, drop), slices.DeleteFunc(e.Live, drop)
		}
		if len(e.Copies) > placement.DefaultLimits().SlotsPerEngine {
			return fmt.Sprintf("%s holds %v", e.Addr, e.Copies)
		}
	}
	return ""
}

func (h *hall) indexOf(addr string) int {
	return slices.IndexFunc(h.engines, func(e placement.Engine) bool { return e.Addr == addr })
}

func (h *hall) served(model string) bool {
	return slices.ContainsFunc(h.engines, func(e placement.Engine) bool {
		return slices.ContainsFunc(e.Live, func(c directory.Copy) bool { return c.Model == model })
	})
}

// TestPlansConverge changes the desired copies several times, and checks each plan
// and the state in which no more moves are planned.
func TestPlansConverge(t *testing.T) {
	ps := gopter.DefaultTestParametersWithSeed(1)
	ps.MinSuccessfulTests = 200
	p := gopter.NewProperties(ps)
	p.Property("few moves, no model lost, all desired copies served", prop.ForAll(simulate, gen.UInt64()))
	p.TestingRun(t)
}

func simulate(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 1))
	limits := placement.DefaultLimits()
	h := &hall{}
	for i := range 4 + r.IntN(10) {
		h.engines = append(h.engines, placement.Engine{Addr: fmt.Sprintf("e%02d", i)})
	}
	models := 1 + r.IntN(len(h.engines))
	versions := make([]int, models)
	for range 3 { // template changes
		var desired []placement.DesiredCopy
		for m := range models {
			versions[m] += r.IntN(2)
			desired = append(desired, placement.DesiredCopy{Copy: copyOf(m, versions[m]), Weight: r.Float64()})
		}
		if failure := planUntilStable(h, desired, limits); failure != "" {
			return failure
		}
	}
	return ""
}

func planUntilStable(h *hall, desired []placement.DesiredCopy, limits placement.Limits) string {
	for range 200 {
		served := map[string]bool{}
		for _, w := range desired {
			served[w.Copy.Model] = h.served(w.Copy.Model)
		}
		moves := placement.Plan(desired, h.engines, limits)
		if len(moves) > limits.MaxMoves {
			return fmt.Sprintf("%d moves in one plan", len(moves))
		}
		if len(moves) == 0 && len(h.loading) == 0 {
			return checkStable(h, desired)
		}
		if failure := h.apply(moves); failure != "" {
			return failure
		}
		for m, was := range served {
			if was && !h.served(m) {
				return "no live copy of " + m + " is left"
			}
		}
	}
	return "the plans do not converge"
}

func checkStable(h *hall, desired []placement.DesiredCopy) string {
	for _, w := range desired {
		if !slices.ContainsFunc(h.engines, func(e placement.Engine) bool { return slices.Contains(e.Live, w.Copy) }) {
			return fmt.Sprintf("%v is desired but not live: %v", w.Copy, h.engines)
		}
	}
	for _, e := range h.engines {
		for _, c := range e.Copies {
			if !slices.ContainsFunc(desired, func(w placement.DesiredCopy) bool { return w.Copy == c }) {
				return fmt.Sprintf("%v is not desired but still loaded", c)
			}
		}
	}
	return ""
}
