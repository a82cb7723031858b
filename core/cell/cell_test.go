package cell_test

import (
	"fmt"
	"testing"

	"slipcrank.example/core/cell"
)

func hostNames(n int) []string {
	var hs []string
	for i := range n {
		hs = append(hs, fmt.Sprintf("host-%d", i))
	}
	return hs
}

func TestCount(t *testing.T) {
	for name, tc := range map[string]struct{ servers, current, want int }{
		"none":                          {0, 1, 1},
		"a small site":                  {18, 1, 1},
		"just below two cells":          {95, 1, 1},
		"two cells":                     {96, 1, 2},
		"two cells, a few servers gone": {80, 2, 2},
		"two cells, many servers gone":  {60, 2, 1},
		"three hundred":                 {300, 1, 4},
		"three thousand":                {3000, 1, 32},
		"three thousand, a few gone":    {2990, 32, 32},
		"three thousand, half gone":     {1500, 64, 16},
		"three thousand, a hall down":   {2000, 32, 32},
	} {
		t.Run(name, func(t *testing.T) {
			if got := cell.Count(tc.servers, tc.current); got != tc.want {
				t.Errorf("%d cells, want %d", got, tc.want)
			}
		})
	}
}

func TestHostsAreSpreadEvenly(t *testing.T) {
	for name, tc := range map[string]struct{ hosts, count, min, max int }{
		"one cell":   {90, 1, 90, 90},
		"four cells": {30, 4, 7, 8},
		"32 cells":   {300, 32, 9, 10},
	} {
		t.Run(name, func(t *testing.T) {
			all, sizes := hostNames(tc.hosts), map[int]int{}
			for _, h := range all {
				own, peers := cell.OfHost(h, all, tc.count)
				sizes[own]++
				if len(peers)+1 < tc.min || len(peers)+1 > tc.max || peers[h] {
					t.Errorf("%s is in a cell of %d, want %d to %d", h, len(peers)+1, tc.min, tc.max)
				}
			}
			if len(sizes) != tc.count {
				t.Errorf("%d cells have hosts, want %d", len(sizes), tc.count)
			}
		})
	}
}

func TestRemovedHostMovesFewOthers(t *testing.T) {
	const count = 32
	all := hostNames(300)
	for removed := range 20 {
		remaining := append(append([]string(nil), all[:removed]...), all[removed+1:]...)
		moved := 0
		for _, h := range remaining {
			before, _ := cell.OfHost(h, all, count)
			after, _ := cell.OfHost(h, remaining, count)
			if before != after {
				moved++
			}
			if d := before - after; d < -1 || d > 1 {
				t.Fatalf("%s moved from cell %d to %d", h, before, after)
			}
		}
		if moved > count {
			t.Errorf("%d hosts moved when one was removed, want at most %d", moved, count)
		}
	}
}

func TestServersStayTogetherWhenCellsAreDivided(t *testing.T) {
	for i := range 1000 {
		id := fmt.Sprintf("server-%d", i)
		if few, many := cell.OfServer(id, 8), cell.OfServer(id, 16); many%8 != few {
			t.Fatalf("%s is in cell %d of 8 and %d of 16", id, few, many)
		}
	}
}
