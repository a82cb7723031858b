package control

import (
	"cmp"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"slipcrank.example/core/directory"
)

// ringPoints is how many points an engine has on its group's ring.
const ringPoints = 8

type (
	// EngineSet is the immutable list of the engines that are up and hold one
	// model in one version, in the daemon's own hall or in the others.
	EngineSet struct {
		engines []Candidate
		ring    []point
	}

	// Candidate is one engine that a request may go to.
	Candidate struct {
		Addr  string
		Owner string // the daemon that owns it
	}

	point struct {
		at     uint64
		engine int
	}

	groupKey struct {
		home           bool
		model, version string
	}
)

// Len returns the number of engines.
func (g *EngineSet) Len() int {
	if g == nil {
		return 0
	}
	return len(g.engines)
}

// At returns the engine with index i.
func (g *EngineSet) At(i int) Candidate { return g.engines[i] }

// ByHash returns the index of the engine that a prefix is hashed to. When an
// engine goes or comes, only the prefixes that were or will be its own move.
func (g *EngineSet) ByHash(prefix uint64) int {
	i := sort.Search(len(g.ring), func(i int) bool { return g.ring[i].at >= prefix })
	if i == len(g.ring) {
		i = 0
	}
	return g.ring[i].engine
}

// newGroups builds the groups of all models.
func newGroups(v *View) map[groupKey]*EngineSet {
	out := map[groupKey]*EngineSet{}
	for _, e := range v.Engines {
		if e.Status != directory.Up {
			continue
		}
		for _, c := range e.Copies {
			k := groupKey{home: e.Hall == v.Self.Hall, model: c.Model, version: c.Version}
			if out[k] == nil {
				out[k] = &EngineSet{}
			}
			out[k].add(Candidate{Addr: e.Addr, Owner: v.owners[e.Addr]})
		}
	}
	for _, g := range out {
		slices.SortFunc(g.ring, func(a, b point) int { return cmp.Compare(a.at, b.at) })
	}
	return out
}

func (g *EngineSet) add(c Candidate) {
	n := len(g.engines)
	g.engines = append(g.engines, c)
	for i := range ringPoints {
		g.ring = append(g.ring, point{at: xxhash.Sum64String(c.Addr + "/" + strconv.Itoa(i)), engine: n})
	}
}
