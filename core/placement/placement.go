// Package placement decides which engines of a hall hold which model copies.
// [Plan] is a pure function from the desired copies and the current state of the
// engines to a few moves. The daemon carries the moves out, under the hall's
// lease and its fence.
//
// # Invariants of a plan
//
//   - Every desired copy gets at least one engine, and more according to its
//     weight.
//   - The last live copy of a desired model is never unloaded, so that during a
//     change of version the old version serves until the new one is live.
//   - No engine ever holds more copies than it has slots: a copy that has to
//     make room is unloaded first, and the load follows in a later plan.
//   - A plan has few moves, and none for small deviations.
//
// # Usage
//
//	moves := placement.Plan(desired, engines, placement.DefaultLimits())
package placement

import (
	"cmp"
	"math"
	"slices"

	"slipcrank.example/core/directory"
)

// Action is the kind of a move.
type Action string

// The actions.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

type (
	// DesiredCopy is a copy that templates name, with its share of the demand.
	DesiredCopy struct {
		Copy   directory.Copy
		Weight float64
	}

	// Engine is an engine that accepts requests. Copies include those that the
	// engine has been ordered to load.
	Engine struct {
		Addr   string
		Copies []directory.Copy
		Live   []directory.Copy // the subset of Copies that can serve now
	}

	// Move is one order to one engine.
	Move struct {
		Addr   string
		Action Action
		Copy   directory.Copy
	}

	// Limits bound a plan.
	Limits struct {
		SlotsPerEngine int // copies that one engine can hold
		MaxMoves       int // maximum number of moves in one plan
		// Tolerance is the fraction by which the number of engines with a copy
		// may deviate from its target before a move is made.
		Tolerance float64
	}

	// plan is the state of a plan under construction.
	plan struct {
		limits  Limits
		engines []Engine
		targets map[directory.Copy]int
		moves   []Move
	}
)

// DefaultLimits returns the limits that daemons use.
func DefaultLimits() Limits { return Limits{SlotsPerEngine: 2, MaxMoves: 4, Tolerance: 0.25} }

// Plan returns the next moves, or none if nothing has to change.
func Plan(desired []DesiredCopy, engines []Engine, l Limits) []Move {
	p := &plan{limits: l, engines: sortedByAddr(engines), targets: targetCounts(desired, len(engines), l)}
	desired = slices.Clone(desired)
	slices.SortFunc(desired, func(a, b DesiredCopy) int { return p.compareCoverage(a.Copy, b.Copy) })
	for _, d := range desired {
		p.loadMissing(d.Copy)
	}
	p.unloadUndesired()
	return p.moves
}

func sortedByAddr(engines []Engine) []Engine {
	out := slices.Clone(engines)
	for i, e := range out {
		out[i].Copies = slices.Clone(e.Copies)
	}
	slices.SortFunc(out, func(a, b Engine) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}

// targetCounts returns the number of engines that each desired copy should
// have: at least one, and at most all.
func targetCounts(desired []DesiredCopy, engines int, l Limits) map[directory.Copy]int {
	total := 0.0
	for _, d := range desired {
		total += d.Weight
	}
	out := map[directory.Copy]int{}
	for _, d := range desired {
		n := 1.0
		if total > 0 {
			n = math.Floor(d.Weight / total * float64(engines*l.SlotsPerEngine))
		}
		out[d.Copy] = min(max(int(n), 1), engines)
	}
	return out
}

// compareCoverage orders copies by the ratio of their engines to their target,
// lowest first.
func (p *plan) compareCoverage(a, b directory.Copy) int {
	coverage := func(c directory.Copy) float64 { return float64(p.count(c)) / float64(p.targets[c]) }
	return cmp.Or(cmp.Compare(coverage(a), coverage(b)), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

func (p *plan) count(c directory.Copy) int {
	n := 0
	for _, e := range p.engines {
		if slices.Contains(e.Copies, c) {
			n++
		}
	}
	return n
}

// live returns the number of engines that can serve the copy now.
func (p *plan) live(c directory.Copy) int {
	n := 0
	for _, e := range p.engines {
		if slices.Contains(e.Live, c) && slices.Contains(e.Copies, c) {
			n++
		}
	}
	return n
}

// loadMissing adds moves that load a copy on too few engines, or that make room
// for it.
func (p *plan) loadMissing(c directory.Copy) {
	for p.count(c) < p.minCount(c) && len(p.moves) < p.limits.MaxMoves {
		if i := p.freeSlot(c); i >= 0 {
			p.addMove(i, Load, c)
			continue
		}
		if !p.makeRoom(c) {
			return
		}
	}
}

// minCount returns the number of engines below which a copy is loaded on more.
func (p *plan) minCount(c directory.Copy) int {
	return max(1, int(math.Ceil(float64(p.targets[c])*(1-p.limits.Tolerance))))
}

// freeSlot returns the index of the engine with the fewest copies that has a free
// slot and lacks c, or -1. Engines that already have a move in this plan are
// skipped, since an unload does not free its slot at once.
func (p *plan) freeSlot(c directory.Copy) int {
	best := -1
	for i, e := range p.engines {
		if len(e.Copies) >= p.limits.SlotsPerEngine || slices.Contains(e.Copies, c) || p.hasMove(e.Addr) {
			continue
		}
		if best < 0 || len(e.Copies) < len(p.engines[best].Copies) {
			best = i
		}
	}
	return best
}

func (p *plan) hasMove(addr string) bool {
	return slices.ContainsFunc(p.moves, func(m Move) bool { return m.Addr == addr })
}

// makeRoom adds a move that unloads the copy with the largest surplus from an
// engine that lacks c, and reports whether there was one.
func (p *plan) makeRoom(c directory.Copy) bool {
	engine, victim, maxSurplus := -1, directory.Copy{}, 0.0
	for i, e := range p.engines {
		if slices.Contains(e.Copies, c) || p.hasMove(e.Addr) {
			continue
		}
		for _, x := range e.Copies {
			if s := p.surplus(x); s > maxSurplus && p.canUnload(e, x) {
				engine, victim, maxSurplus = i, x, s
			}
		}
	}
	if engine < 0 {
		return false
	}
	p.addMove(engine, Unload, victim)
	return true
}

// surplus returns by how much the number of engines with a copy exceeds its
// target and the tolerance. The surplus of an undesired copy is unlimited.
func (p *plan) surplus(c directory.Copy) float64 {
	target, isDesired := p.targets[c]
	if !isDesired {
		return math.MaxFloat64
	}
	return float64(p.count(c)) - float64(target)*(1+p.limits.Tolerance)
}

// canUnload reports whether an engine may unload a copy: another engine must be
// able to serve the model, in this version or, if this version is no longer
// desired, in one that is. A model without a desired version needs no engine.
func (p *plan) canUnload(e Engine, c directory.Copy) bool {
	if !slices.Contains(e.Live, c) {
		return false // still being loaded
	}
	if p.live(c) > 1 {
		return true
	}
	if _, isDesired := p.targets[c]; isDesired {
		return false
	}
	modelDesired := false
	for other := range p.targets {
		if other.Model == c.Model {
			modelDesired = true
			if p.live(other) > 0 {
				return true
			}
		}
	}
	return !modelDesired
}

// unloadUndesired adds moves that unload copies that no template names.
func (p *plan) unloadUndesired() {
	for i, e := range p.engines {
		for _, c := range slices.Clone(e.Copies) {
			if _, isDesired := p.targets[c]; isDesired || len(p.moves) >= p.limits.MaxMoves || !p.canUnload(e, c) {
				continue
			}
			p.addMove(i, Unload, c)
		}
	}
}

func (p *plan) addMove(i int, a Action, c directory.Copy) {
	e := &p.engines[i]
	p.moves = append(p.moves, Move{Addr: e.Addr, Action: a, Copy: c})
	if a == Load {
		e.Copies = append(e.Copies, c)
		return
	}
	e.Copies = slices.DeleteFunc(e.Copies, func(x directory.Copy) bool { return x == c })
}
