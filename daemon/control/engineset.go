package control

import (
	"cmp"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"slipcrank.example/core/directory"
)

// pointsPerEngine is the number of points of each engine on a hash ring.
const pointsPerEngine = 8

type (
	// EngineSet is the immutable list of the engines that are up and hold one
	// version of a model, either in the daemon's own hall or in all other
	// halls. A nil set has no engines.
	EngineSet struct {
		engines []Candidate
		ring    []ringPoint
	}

	// Candidate is an engine that a request may be sent to.
	Candidate struct {
		Addr  string
		Owner string // address of the daemon that owns it
	}

	ringPoint struct {
		hash   uint64
		engine int
	}

	engineSetKey struct {
		local          bool
		model, version string
	}
)

// Len returns the number of engines.
func (s *EngineSet) Len() int {
	if s == nil {
		return 0
	}
	return len(s.engines)
}

// At returns the engine with index i.
func (s *EngineSet) At(i int) Candidate { return s.engines[i] }

// ByHash returns the index of the engine to which the hash of a prefix maps on
// a consistent-hash ring: when an engine joins or leaves, only the prefixes
// that map to that engine are remapped.
func (s *EngineSet) ByHash(prefix uint64) int {
	i := sort.Search(len(s.ring), func(i int) bool { return s.ring[i].hash >= prefix })
	if i == len(s.ring) {
		i = 0
	}
	return s.ring[i].engine
}

// newEngineSets builds the sets of all models and versions.
func newEngineSets(v *View) map[engineSetKey]*EngineSet {
	out := map[engineSetKey]*EngineSet{}
	for _, e := range v.Engines {
		if e.Status != directory.Up {
			continue
		}
		for _, c := range e.Copies {
			k := engineSetKey{local: e.Hall == v.Self.Hall, model: c.Model, version: c.Version}
			if out[k] == nil {
				out[k] = &EngineSet{}
			}
			out[k].add(Candidate{Addr: e.Addr, Owner: v.owners[e.Addr]})
		}
	}
	for _, s := range out {
		slices.SortFunc(s.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	}
	return out
}

func (s *EngineSet) add(c Candidate) {
	n := len(s.engines)
	s.engines = append(s.engines, c)
	for i := range pointsPerEngine {
		s.ring = append(s.ring, ringPoint{hash: xxhash.Sum64String(c.Addr + "/" + strconv.Itoa(i)), engine: n})
	}
}
