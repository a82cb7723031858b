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

// hall is a few engines that carry out moves; loads take a round.
type hall struct {
	engines []placement.Engine
	loading []placement.Move
}

func (h *hall) round(moves []placement.Move) string {
	for _, m := range h.loading {
		i := h.at(m.Addr)
		h.engines[i].Live = append(h.engines[i].Live, m.Copy)
	}
	h.loading = nil
	for _, m := range moves {
		e := &h.engines[h.at(m.Addr)]
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

func (h *hall) at(addr string) int {
	return slices.IndexFunc(h.engines, func(e placement.Engine) bool { return e.Addr == addr })
}

func (h *hall) served(model string) bool {
	return slices.ContainsFunc(h.engines, func(e placement.Engine) bool {
		return slices.ContainsFunc(e.Live, func(c directory.Copy) bool { return c.Model == model })
	})
}

// TestPlansSettle changes what is wanted again and again, and checks each plan
// and the state that the plans settle in.
func TestPlansSettle(t *testing.T) {
	ps := gopter.DefaultTestParametersWithSeed(1)
	ps.MinSuccessfulTests = 200
	p := gopter.NewProperties(ps)
	p.Property("few moves, no model lost, everything wanted served", prop.ForAll(play, gen.UInt64()))
	p.TestingRun(t)
}

func play(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 1))
	limits := placement.DefaultLimits()
	h := &hall{}
	for i := range 4 + r.IntN(10) {
		h.engines = append(h.engines, placement.Engine{Addr: fmt.Sprintf("e%02d", i)})
	}
	models := 1 + r.IntN(len(h.engines))
	versions := make([]int, models)
	for range 3 { // changes of templates
		var wants []placement.DesiredCopy
		for m := range models {
			versions[m] += r.IntN(2)
			wants = append(wants, placement.DesiredCopy{Copy: copyOf(m, versions[m]), Weight: r.Float64()})
		}
		if bad := settle(h, wants, limits); bad != "" {
			return bad
		}
	}
	return ""
}

func settle(h *hall, wants []placement.DesiredCopy, limits placement.Limits) string {
	for range 200 {
		served := map[string]bool{}
		for _, w := range wants {
			served[w.Copy.Model] = h.served(w.Copy.Model)
		}
		moves := placement.Plan(wants, h.engines, limits)
		if len(moves) > limits.MaxMoves {
			return fmt.Sprintf("%d moves at once", len(moves))
		}
		if len(moves) == 0 && len(h.loading) == 0 {
			return settled(h, wants)
		}
		if bad := h.round(moves); bad != "" {
			return bad
		}
		for m, was := range served {
			if was && !h.served(m) {
				return "no live copy of " + m + " is left"
			}
		}
	}
	return "the plans never settle"
}

func settled(h *hall, wants []placement.DesiredCopy) string {
	for _, w := range wants {
		if !slices.ContainsFunc(h.engines, func(e placement.Engine) bool { return slices.Contains(e.Live, w.Copy) }) {
			return fmt.Sprintf("%v is wanted and not loaded: %v", w.Copy, h.engines)
		}
	}
	for _, e := range h.engines {
		for _, c := range e.Copies {
			if !slices.ContainsFunc(wants, func(w placement.DesiredCopy) bool { return w.Copy == c }) {
				return fmt.Sprintf("%v is not wanted and still loaded", c)
			}
		}
	}
	return ""
}
