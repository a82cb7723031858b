package placement_test

import (
	"math"
	"testing"
	"time"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/placement"
)

var (
	till   = directory.Copy{Model: "till", Version: "1"}
	ledger = directory.Copy{Model: "ledger", Version: "1"}
	start  = time.Unix(1_000_000, 0)
)

func TestMeterFollowsTheRate(t *testing.T) {
	m := placement.NewMeter(start)
	now := start
	for range 3600 { // an hour of 500 tokens a second
		now = now.Add(time.Second)
		m.Add(till, 500, now)
	}
	if got := m.Demand(now)[till]; math.Abs(got-500) > 25 {
		t.Errorf("after an hour the rate is %.0f tokens/s, want 500", got)
	}
	if got := m.Demand(now.Add(5 * time.Minute))[till]; math.Abs(got-250) > 15 {
		t.Errorf("five minutes later it is %.0f, want half", got)
	}
	if d := m.Demand(now.Add(24 * time.Hour)); len(d) != 0 {
		t.Errorf("a day later it still is %v", d)
	}
}

func TestWants(t *testing.T) {
	named := map[directory.Copy]int{till: 1, ledger: 3}
	for name, tc := range map[string]struct {
		demand placement.Demand
		till   float64
	}{
		"nobody asks":               {nil, 0.25},
		"all ask for the till":      {placement.Demand{till: 90}, 0.85},
		"as many tokens of each":    {placement.Demand{till: 90, ledger: 90}, 0.45},
		"asked for, and not named":  {placement.Demand{directory.Copy{Model: "old"}: 90}, 0.25},
		"from two daemons together": {placement.Demand{till: 40}.Plus(placement.Demand{till: 50, ledger: 90}), 0.45},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0.0
			for _, w := range placement.DesiredCopies(named, tc.demand) {
				sum += w.Weight
				if w.Copy == till && math.Abs(w.Weight-tc.till) > 1e-9 {
					t.Errorf("the till's weight is %.3f, want %.3f", w.Weight, tc.till)
				}
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("the weights sum up to %.3f", sum)
			}
		})
	}
}
