package cell_test

import (
	"fmt"
	"testing"

	"slipcrank.example/core/cell"
)

func hosts(n int) []string {
	var hs []string
	for i := range n {
		hs = append(hs, fmt.Sprintf("host-%d", i))
	}
	return hs
}

func TestCount(t *testing.T) {
	for name, tc := range map[string]struct{ servers, old, want int }{
		"none":                         {0, 1, 1},
		"a usual site":                 {18, 1, 1},
		"below two cells":              {95, 1, 1},
		"two cells":                    {96, 1, 2},
		"a little below them":          {80, 2, 2},
		"far below them":               {60, 2, 1},
		"three hundred":                {300, 1, 4},
		"three thousand":               {3000, 1, 32},
		"three thousand less a few":    {2990, 32, 32},
		"half of three thousand gone":  {1500, 64, 16},
		"a hall of three thousand out": {2000, 32, 32},
	} {
		t.Run(name, func(t *testing.T) {
			if got := cell.Count(tc.servers, tc.old); got != tc.want {
				t.Errorf("%d cells, want %d", got, tc.want)
			}
		})
	}
}

func TestHostsAreSpreadEvenly(t *testing.T) {
	for name, tc := range map[string]struct{ hosts, count, least, most int }{
		"one cell":    {90, 1, 90, 90},
		"a few cells": {30, 4, 7, 8},
		"many":        {300, 32, 9, 10},
	} {
		t.Run(name, func(t *testing.T) {
			all, members := hosts(tc.hosts), map[int]int{}
			for _, h := range all {
				mine, mates := cell.OfHost(h, all, tc.count)
				members[mine]++
				if len(mates)+1 < tc.least || len(mates)+1 > tc.most || mates[h] {
					t.Errorf("%s is in a cell of %d, want %d to %d", h, len(mates)+1, tc.least, tc.most)
				}
			}
			if len(members) != tc.count {
				t.Errorf("%d cells have hosts, want %d", len(members), tc.count)
			}
		})
	}
}

func TestHostThatGoesMovesFew(t *testing.T) {
	const count = 32
	all := hosts(300)
	for gone := range 20 {
		left := append(append([]string(nil), all[:gone]...), all[gone+1:]...)
		moved := 0
		for _, h := range left {
			before, _ := cell.OfHost(h, all, count)
			after, _ := cell.OfHost(h, left, count)
			if before != after {
				moved++
			}
			if d := before - after; d < -1 || d > 1 {
				t.Fatalf("%s moved from cell %d to %d", h, before, after)
			}
		}
		if moved > count {
			t.Errorf("%d hosts moved as one went, want at most %d", moved, count)
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
