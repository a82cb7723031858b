package emulate_test

import (
	"testing"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
)

// TestNoisyNeighborLeavesOthersTheirShare has one workspace send many times its usual
// load. With workspace shares, the others have to be served nearly as well as without
// that load; without shares, they must not be, or the scenario doesn't test the shares.
func TestNoisyNeighborLeavesOthersTheirShare(t *testing.T) {
	for name, tc := range map[string]struct {
		noisy    emulate.Rates
		others   map[string]float64 // minimum fractions in time of the others' loads
		unshared map[string]float64 // maximum fractions of these without shares
		own      map[string]float64 // minimum fractions of the noisy workspace's own loads
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
		"same load as each other workspace": {
			emulate.Rates{Long: 0.1, Middle: 0.2, Short: 4},
			map[string]float64{"others long": 0.95, "others middle": 0.99, "others short": 0.99},
			nil,
			map[string]float64{"crowd short": 0.99},
		},
	} {
		t.Run(name, func(t *testing.T) {
			with := sum(emulate.NoisyNeighbor(tc.noisy), admission.Default())
			t.Logf("with shares %v", with)
			for _, bounds := range []map[string]float64{tc.others, tc.own} {
				for load, minimum := range bounds {
					if fraction := with[load].InTimeFraction(); fraction < minimum {
						t.Errorf("%.3f of %s are in time, want at least %.2f", fraction, load, minimum)
					}
				}
			}
			if tc.unshared == nil {
				return
			}
			without := sum(emulate.NoisyNeighbor(tc.noisy), admission.Default().WithShares(false))
			t.Logf("without shares %v", without)
			for load, maximum := range tc.unshared {
				if fraction := without[load].InTimeFraction(); fraction > maximum {
					t.Errorf("without shares %.3f of %s are in time: the noisy workspace does not overload the engines", fraction, load)
				}
			}
		})
	}
}

// sum runs a scenario under a policy with a few seeds, and returns the summed results.
func sum(s emulate.Scenario, p admission.Policy) emulate.Results {
	const runs = 2
	out := emulate.Results{}
	for seed := range uint64(runs) {
		for name, c := range emulate.Run(s, emulate.FromPolicy(p), seed) {
			out[name] = out[name].Add(c)
		}
	}
	return out
}
