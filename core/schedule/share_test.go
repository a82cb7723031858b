package schedule_test

import (
	"fmt"
	"math"
	"testing"

	"slipcrank.example/core/schedule"
)

// placeRemote records n long prompts of a workspace that another host has placed.
func placeRemote(sc *schedule.Scheduler, workspace string, n int) {
	ss, w := servers(18), schedule.HashWorkspace(workspace)
	for i := range n {
		sc.AddRemote(schedule.Placement{
			ID: schedule.ID{Host: w, Number: uint32(i)}, Service: service.Name, Lead: ss[i%len(ss)].ID, Workspace: w,
			Work: long.Work, Gap: long.Gap, Objective: long.Objective,
		})
	}
}

func TestWorkspaceShare(t *testing.T) {
	for name, tc := range map[string]struct {
		prompts map[string]int // by workspace
		asking  string
		weight  float64
		over    bool
	}{
		"only workspace":                      {map[string]int{"a": 9}, "a", 1, false},
		"no placements":                       {nil, "a", 1, false},
		"equal shares":                        {map[string]int{"a": 3, "b": 3, "c": 3}, "a", 1, false},
		"large share of three":                {map[string]int{"a": 11, "b": 2, "c": 2}, "a", 11.0 * 15 / 129, true},
		"small share of three":                {map[string]int{"a": 9, "b": 3, "c": 3}, "b", 3.0 * 15 / 99, false},
		"no placements of its own":            {map[string]int{"a": 12, "b": 2}, "c", 0.25, false},
		"half of two":                         {map[string]int{"a": 5, "b": 5}, "a", 1, false},
		"nearly all of two":                   {map[string]int{"a": 8, "b": 1}, "a", 8.0 * 9 / 65, true},
		"large share of many":                 {map[string]int{"a": 9, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1}, "a", 9.0 * 14 / 86, true},
		"beside placements without workspace": {map[string]int{"": 12, "b": 4}, "b", 4.0 * 16 / 160, false},
		"weight below the minimum":            {map[string]int{"a": 17, "b": 1}, "c", 0.25, false},
	} {
		t.Run(name, func(t *testing.T) {
			sc := schedule.New(1)
			for w, n := range tc.prompts {
				placeRemote(sc, w, n)
			}
			r := long
			r.Workspace = schedule.HashWorkspace(tc.asking)
			p := place(t, sc, servers(18), r).Share
			if math.Abs(p.DisplacedWeight-tc.weight) > 1e-9 || p.OverShare != tc.over {
				t.Errorf("weight %.4f, over its share %v; want %.4f, %v", p.DisplacedWeight, p.OverShare, tc.weight, tc.over)
			}
		})
	}
}

// TestMeanWeightIsOne checks that the mean of the workspaces' weights, by the engine
// time that each holds, is 1.
func TestMeanWeightIsOne(t *testing.T) {
	counts := []int{7, 3, 5, 4}
	sc := schedule.New(1)
	all, sum := 0, 0.0
	for i, n := range counts {
		placeRemote(sc, fmt.Sprint(i), n)
		all += n
	}
	for i, n := range counts {
		r := long
		r.Workspace = schedule.HashWorkspace(fmt.Sprint(i))
		p := place(t, sc, servers(18), r)
		sum += p.Share.DisplacedWeight * float64(n) / float64(all)
		sc.RecordEnd(p.ID)
	}
	if math.Abs(sum-1) > 1e-9 {
		t.Errorf("the mean weight is %.5f, want 1", sum)
	}
}

// TestRequestDoesNotCountTowardsOwnShare has a workspace ask for prompts of several
// lengths: its share depends on the placements that it holds, not on the request.
func TestRequestDoesNotCountTowardsOwnShare(t *testing.T) {
	for _, prompt := range []int{5000, 45_000, 190_000, 600_000} {
		sc := schedule.New(1)
		for _, w := range []string{"a", "b", "c", "d"} {
			placeRemote(sc, w, 2)
		}
		r := long
		r.Work.Prompt, r.Workspace = prompt, schedule.HashWorkspace("a")
		if p := place(t, sc, servers(18), r).Share; p.DisplacedWeight != 1 || p.OverShare {
			t.Errorf("a prompt of %d tokens has weight %.2f, over its share %v; want 1, false", prompt, p.DisplacedWeight, p.OverShare)
		}
	}
}

// TestPrefilledPromptsCountLess gives two workspaces the same number of prompts; those
// of one have been prefilled.
func TestPrefilledPromptsCountLess(t *testing.T) {
	sc := schedule.New(1)
	placeRemote(sc, "reads", 4)
	placeRemote(sc, "writes", 4)
	for i := range uint32(4) {
		sc.RecordStart(schedule.ID{Host: schedule.HashWorkspace("writes"), Number: i}, 0)
	}
	fractions := map[string]float64{}
	for _, w := range []string{"reads", "writes"} {
		r := short
		r.Workspace = schedule.HashWorkspace(w)
		p := place(t, sc, servers(18), r)
		fractions[w] = p.Share.Fraction
		sc.RecordEnd(p.ID)
	}
	if fractions["writes"] > 0.2 || fractions["reads"] < 0.8 {
		t.Errorf("the workspaces hold %v of the engine time, want at most 0.2 by writes", fractions)
	}
}

// BenchmarkPlaceAmongWorkspaces measures one choice among 75 engines with 1,500
// placements, twice the slots of a cell. On a loaded machine a choice takes, with 1,500
// workspaces, 1.6 to 2.2 ms with the index of workspaces and 2.8 ms with a linear
// search; with one workspace, 1.3 and 1.4 ms.
func BenchmarkPlaceAmongWorkspaces(b *testing.B) {
	for _, workspaces := range []int{1, 40, 1500} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			sc, ss := schedule.New(1), servers(75)
			for n := range 1500 {
				sc.AddRemote(schedule.Placement{
					ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: ss[n%len(ss)].ID,
					Workspace: uint32(n % workspaces), Work: short.Work, Gap: short.Gap, Objective: short.Objective,
				})
			}
			for b.Loop() {
				p, _ := sc.Place(0, service, ss, short)
				sc.RecordEnd(p.ID)
			}
		})
	}
}
