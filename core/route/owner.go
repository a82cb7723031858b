package route

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// linkClassDoublings is the width of a class of link speeds, in doublings.
// Links in the same class rank equal.
const linkClassDoublings = 2

// Rank orders names by their rendezvous weight for a key, highest first. When
// a name is removed, only the keys for which it ranked first move.
func Rank(key string, names []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	ws := make([]weighted, len(names))
	for i, n := range names {
		ws[i] = weighted{name: n, weight: weight(key, n)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(ws))
	for i, w := range ws {
		out[i] = w.name
	}
	return out
}

// RankByLink orders names by the class of their link speed, fastest first, and
// within a class as [Rank] does. Links are given in Mbit/s; a name without an
// entry ranks in the slowest class.
func RankByLink(key string, names []string, links map[string]float64) []string {
	order := Rank(key, names)
	class := func(name string) float64 { return math.Floor(math.Log2(max(links[name], 1)) / linkClassDoublings) }
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(class(b), class(a)) })
	return order
}

// Owner returns the name that comes first in [Rank], or "" if there are no
// names.
func Owner(key string, names []string) string {
	var best string
	var maxWeight uint64
	for _, n := range names {
		w := weight(key, n)
		if best == "" || w > maxWeight || (w == maxWeight && n < best) {
			best, maxWeight = n, w
		}
	}
	return best
}

func weight(key, name string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
