package emulate_test

import (
	"testing"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
)

// wide returns a scenario of long prompts that need two thirds of 75 engines, one in
// eight of them of twice the usual length, together with short streams that need a
// tenth of the engines.
func wide() emulate.Scenario {
	const end = 12 * time.Second
	return emulate.Scenario{
		Engines: 75,
		Engine:  emulate.NoisyNeighbor(emulate.Rates{}).Engine,
		Wait:    15 * time.Second,
		Loads: []emulate.Load{
			{Name: "long", Until: end, Rate: 11, Prompt: 170_000, Answer: 700, Objective: 3 * time.Second, Gap: time.Second},
			{Name: "longest", Until: end, Rate: 1.5, Prompt: 340_000, Answer: 700, Objective: 3 * time.Second, Gap: time.Second},
			{Name: "short", Until: end, Rate: 40, Prompt: 4_960, Answer: 1_500, Objective: 400 * time.Millisecond, Gap: 250 * time.Millisecond},
		},
	}
}

// TestLongestPromptsAreServed runs a burst of long prompts on many engines. Prompts that
// need the memory of several engines displace the most, but must not be refused much more
// often than the others.
func TestLongestPromptsAreServed(t *testing.T) {
	served := inTime(wide(), emulate.FromPolicy(admission.Default()))
	for name, minimum := range map[string]float64{"long": 0.9, "longest": 0.68, "short": 0.99} {
		if served[name] < minimum {
			t.Errorf("%.3f of the %s requests are in time, want at least %.2f", served[name], name, minimum)
		}
	}
}
