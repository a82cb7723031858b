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

func TestMeterConvergesToRate(t *testing.T) {
	m := placement.NewMeter(start)
	now := start
	for range 3600 { // an hour of 500 tokens/s
		now = now.Add(time.Second)
		m.Add(till, 500, now)
	}
	if got := m.Demand(now)[till]; math.Abs(got-500) > 25 {
		t.Errorf("after an hour the rate is %.0f tokens/s, want 500", got)
	}
	if got := m.Demand(now.Add(5 * time.Minute))[till]; math.Abs(got-250) > 15 {
		t.Errorf("five minutes later the rate is %.0f tokens/s, want half (250)", got)
	}
	if d := m.Demand(now.Add(24 * time.Hour)); len(d) != 0 {
		t.Errorf("a day later the demand is %v, want none", d)
	}
}

func TestDesiredCopies(t *testing.T) {
	named := map[directory.Copy]int{till: 1, ledger: 3}
	for name, tc := range map[string]struct {
		demand placement.Demand
		till   float64
	}{
		"no demand":                           {nil, 0.25},
		"demand for the till only":            {placement.Demand{till: 90}, 0.85},
		"equal demand":                        {placement.Demand{till: 90, ledger: 90}, 0.45},
		"demand for a copy that is not named": {placement.Demand{directory.Copy{Model: "old"}: 90}, 0.25},
		"sum of the demand at two daemons":    {placement.Demand{till: 40}.Plus(placement.Demand{till: 50, ledger: 90}), 0.45},
	} {
		t.Run(name, func(t *testing.T) {
			sum := 0.0
			for _, w := range placement.DesiredCopies(named, tc.demand) {
				sum += w.Weight
				if w.Copy == till && math.Abs(w.Weight-tc.till) > 1e-9 {
					t.Errorf("weight of the till is %.3f, want %.3f", w.Weight, tc.till)
				}
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Errorf("sum of the weights is %.3f, want 1", sum)
			}
		})
	}
}
