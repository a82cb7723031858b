package emulate_test

import (
	"testing"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
)

// TestCrowdLeavesOthersTheirPart has one workspace ask for many times its usual.
// Others get nearly what they get without it; where the engines are judged by
// prompts alone they don't.
func TestCrowdLeavesOthersTheirPart(t *testing.T) {
	for name, tc := range map[string]struct {
		crowd emulate.Rates
		least map[string]float64 // in time, of the others' requests
		below map[string]float64 // without shares
		gets  map[string]float64 // what the crowd still gets
	}{
		"long prompts": {
			emulate.Rates{Long: 10},
			map[string]float64{"others long": 0.75, "others middle": 0.9, "others short": 0.96},
			map[string]float64{"others long": 0.7},
			map[string]float64{"crowd long": 0.4},
		},
		"short streams": {
			emulate.Rates{Short: 150},
			map[string]float64{"others long": 0.5, "others middle": 0.97, "others short": 0.85},
			map[string]float64{"others long": 0.4, "others middle": 0.7, "others short": 0.75},
			map[string]float64{"crowd short": 0.4},
		},
		"as much as another": {
			emulate.Rates{Long: 0.1, Middle: 0.2, Short: 4},
			map[string]float64{"others long": 0.95, "others middle": 0.99, "others short": 0.99},
			nil,
			map[string]float64{"crowd short": 0.99},
		},
	} {
		t.Run(name, func(t *testing.T) {
			with := sum(emulate.NoisyNeighbor(tc.crowd), admission.Default())
			t.Logf("with shares %v", with)
			for _, bounds := range []map[string]float64{tc.least, tc.gets} {
				for load, least := range bounds {
					if part := with[load].InTimeFraction(); part < least {
						t.Errorf("%.3f of %s are in time, want %.2f", part, load, least)
					}
				}
			}
			if tc.below == nil {
				return
			}
			without := sum(emulate.NoisyNeighbor(tc.crowd), admission.Default().WithShares(false))
			t.Logf("without %v", without)
			for load, most := range tc.below {
				if part := without[load].InTimeFraction(); part > most {
					t.Errorf("without shares %.3f of %s are in time: the load does not crowd", part, load)
				}
			}
		})
	}
}

// sum plays a few days of a scenario and adds up what callers got.
func sum(s emulate.Scenario, p admission.Policy) emulate.Results {
	const days = 2
	out := emulate.Results{}
	for seed := range uint64(days) {
		for name, c := range emulate.Run(s, emulate.FromPolicy(p), seed) {
			out[name] = out[name].Add(c)
		}
	}
	return out
}
