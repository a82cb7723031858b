// Package placement decides which engines of a hall hold which model copies.
// It is a pure function from what is wanted and what is there to a few moves;
// carrying them out, under the hall's lease and its fence, is the daemon's
// work.
//
// # What a plan keeps
//
//   - Every wanted copy gets at least one engine, and more by its weight.
//   - The last live copy of a model that is wanted is never unloaded, so that
//     during a change of version the old one serves until the new one does.
//   - No engine holds more copies than it has slots, not even for a moment: what
//     has to go is unloaded first, and the load follows in a later plan.
//   - Few moves at once, and none for small differences.
//
// # Usage
//
//	moves := placement.Plan(wants, engines, placement.DefaultLimits())
package placement

import (
	"cmp"
	"math"
	"slices"

	"slipcrank.example/core/directory"
)

// Action is what a move does.
type Action string

// The actions.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

type (
	// DesiredCopy is a copy that templates name, with its part of the demand.
	DesiredCopy struct {
		Copy   directory.Copy
		Weight float64
	}

	// Engine is an engine that takes work. Copies that it has been ordered to
	// load count as held.
	Engine struct {
		Addr   string
		Copies []directory.Copy
		Live   []directory.Copy // of Copies, those that can serve now
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
		MaxMoves       int // moves of one plan
		// Tolerance is the part by which the count of copies may differ from its
		// aim before a move is made.
		Tolerance float64
	}

	// plan is a plan in the making.
	plan struct {
		limits  Limits
		engines []Engine
		aims    map[directory.Copy]int
		moves   []Move
	}
)

// DefaultLimits returns the limits that daemons use.
func DefaultLimits() Limits { return Limits{SlotsPerEngine: 2, MaxMoves: 4, Tolerance: 0.25} }

// Plan returns the next moves. With nothing to change it returns none.
func Plan(wants []DesiredCopy, engines []Engine, l Limits) []Move {
	p := &plan{limits: l, engines: sorted(engines), aims: aims(wants, len(engines), l)}
	wants = slices.Clone(wants)
	slices.SortFunc(wants, func(a, b DesiredCopy) int { return p.byNeed(a.Copy, b.Copy) })
	for _, w := range wants {
		p.loadFor(w.Copy)
	}
	p.unloadUnwanted()
	return p.moves
}

func sorted(engines []Engine) []Engine {
	out := slices.Clone(engines)
	for i, e := range out {
		out[i].Copies = slices.Clone(e.Copies)
	}
	slices.SortFunc(out, func(a, b Engine) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}

// aims returns how many engines each wanted copy should have: at least one,
// and at most all.
func aims(wants []DesiredCopy, engines int, l Limits) map[directory.Copy]int {
	total := 0.0
	for _, w := range wants {
		total += w.Weight
	}
	out := map[directory.Copy]int{}
	for _, w := range wants {
		n := 1.0
		if total > 0 {
			n = math.Floor(w.Weight / total * float64(engines*l.SlotsPerEngine))
		}
		out[w.Copy] = min(max(int(n), 1), engines)
	}
	return out
}

// byNeed orders copies by how much they lack, those with none first.
func (p *plan) byNeed(a, b directory.Copy) int {
	part := func(c directory.Copy) float64 { return float64(p.count(c)) / float64(p.aims[c]) }
	return cmp.Or(cmp.Compare(part(a), part(b)), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
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

// live returns how many engines can serve the copy now.
func (p *plan) live(c directory.Copy) int {
	n := 0
	for _, e := range p.engines {
		if slices.Contains(e.Live, c) && slices.Contains(e.Copies, c) {
			n++
		}
	}
	return n
}

// loadFor loads a copy that has too few engines, or makes room for it.
func (p *plan) loadFor(c directory.Copy) {
	for p.count(c) < p.least(c) && len(p.moves) < p.limits.MaxMoves {
		if i := p.freeSlot(c); i >= 0 {
			p.move(i, Load, c)
			continue
		}
		if !p.makeRoom(c) {
			return
		}
	}
}

// least returns the count below which copies are loaded.
func (p *plan) least(c directory.Copy) int {
	return max(1, int(math.Ceil(float64(p.aims[c])*(1-p.limits.Tolerance))))
}

// freeSlot returns the engine with the fewest copies that has room and lacks
// this one, or -1. An engine that has just been told to unload has none yet.
func (p *plan) freeSlot(c directory.Copy) int {
	best := -1
	for i, e := range p.engines {
		if len(e.Copies) >= p.limits.SlotsPerEngine || slices.Contains(e.Copies, c) || p.touched(e.Addr) {
			continue
		}
		if best < 0 || len(e.Copies) < len(p.engines[best].Copies) {
			best = i
		}
	}
	return best
}

func (p *plan) touched(addr string) bool {
	return slices.ContainsFunc(p.moves, func(m Move) bool { return m.Addr == addr })
}

// makeRoom unloads the copy that can best be spared, on an engine that lacks
// c, and reports whether there was one.
func (p *plan) makeRoom(c directory.Copy) bool {
	engine, victim, most := -1, directory.Copy{}, 0.0
	for i, e := range p.engines {
		if slices.Contains(e.Copies, c) || p.touched(e.Addr) {
			continue
		}
		for _, x := range e.Copies {
			if s := p.surplus(x); s > most && p.spared(e, x) {
				engine, victim, most = i, x, s
			}
		}
	}
	if engine < 0 {
		return false
	}
	p.move(engine, Unload, victim)
	return true
}

// surplus returns by how much a copy has more engines than its aim; all of an
// unwanted one are surplus.
func (p *plan) surplus(c directory.Copy) float64 {
	aim, wanted := p.aims[c]
	if !wanted {
		return math.MaxFloat64
	}
	return float64(p.count(c)) - float64(aim)*(1+p.limits.Tolerance)
}

// spared reports whether an engine may unload a copy: others must be able to
// serve its model, in this version or, if this version is not wanted any
// more, in one that is.
func (p *plan) spared(e Engine, c directory.Copy) bool {
	if !slices.Contains(e.Live, c) {
		return false // it is still being loaded
	}
	if p.live(c) > 1 {
		return true
	}
	if _, wanted := p.aims[c]; wanted {
		return false
	}
	modelWanted := false
	for w := range p.aims {
		if w.Model == c.Model {
			modelWanted = true
			if p.live(w) > 0 {
				return true
			}
		}
	}
	return !modelWanted
}

// unloadUnwanted takes off copies that no template names.
func (p *plan) unloadUnwanted() {
	for i, e := range p.engines {
		for _, c := range slices.Clone(e.Copies) {
			if _, wanted := p.aims[c]; wanted || len(p.moves) >= p.limits.MaxMoves || !p.spared(e, c) {
				continue
			}
			p.move(i, Unload, c)
		}
	}
}

func (p *plan) move(i int, a Action, c directory.Copy) {
	e := &p.engines[i]
	p.moves = append(p.moves, Move{Addr: e.Addr, Action: a, Copy: c})
	if a == Load {
		e.Copies = append(e.Copies, c)
		return
	}
	e.Copies = slices.DeleteFunc(e.Copies, func(x directory.Copy) bool { return x == c })
}
