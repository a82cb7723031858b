package entry

import (
	"fmt"
	"testing"

	"slipcrank.example/core/backend"
)

// fleet returns servers of a model and of a plain service.
func fleet(engines, plain int) *backend.View {
	b := backend.NewRegistry()
	for n := range engines {
		b.Put(backend.Server{ID: fmt.Sprintf("engine-%d", n), Service: "model", Addr: fmt.Sprintf("10.0.0.1:%d", n+1)}, 1)
	}
	for n := range plain {
		b.Put(backend.Server{ID: fmt.Sprintf("plain-%d", n), Service: "plain", Addr: fmt.Sprintf("10.0.0.2:%d", n+1)}, 1)
	}
	return b.View(0)
}

func TestDivide(t *testing.T) {
	for name, tc := range map[string]struct {
		perHall, engines, plain int
		mates                   [2]int // least and most
		model                   [2]int // servers used, -1 for all
		plainUsed               int
	}{
		"a usual site":      {2, 18, 3, [2]int{5, 5}, [2]int{-1, -1}, -1},
		"a grown one":       {25, 60, 6, [2]int{74, 74}, [2]int{-1, -1}, -1},
		"a hundred hosts":   {33, 999, 33, [2]int{5, 6}, [2]int{40, 90}, -1},
		"three hundred":     {100, 3000, 90, [2]int{8, 9}, [2]int{60, 130}, -1},
		"many plain ones":   {33, 999, 999, [2]int{5, 6}, [2]int{40, 90}, 40},
		"no server is here": {2, 0, 0, [2]int{5, 5}, [2]int{-1, -1}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			hosts, servers := site(tc.perHall), fleet(tc.engines, tc.plain)
			served := map[string]bool{}
			for i, h := range hosts {
				others := append(append(hosts[:0:0], hosts[:i]...), hosts[i+1:]...)
				n := (&neighbors{cells: 1}).divide(h.Name, others, servers)
				if m := len(n.mates); m < tc.mates[0] || m > tc.mates[1] {
					t.Fatalf("%s has %d mates, want %v", h.Name, m, tc.mates)
				}
				model, part := n.near["model"]
				if part != (tc.model[0] >= 0) || part && (len(model) < tc.model[0] || len(model) > tc.model[1]) {
					t.Fatalf("%s uses %d engines, a part: %v, want %v", h.Name, len(model), part, tc.model)
				}
				if plain, part := n.near["plain"]; part != (tc.plainUsed >= 0) || len(plain) < tc.plainUsed {
					t.Fatalf("%s uses %d plain servers, want %d", h.Name, len(plain), tc.plainUsed)
				}
				for _, s := range model {
					served[s.ID] = true
				}
			}
			if tc.model[0] >= 0 && len(served) != tc.engines {
				t.Errorf("%d of %d engines are used by any host", len(served), tc.engines)
			}
		})
	}
}
