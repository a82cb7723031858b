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

// auditWave returns a wave of long prompts of very unlike sizes that alone needs nearly
// all of the prefill time of 75 engines, together with shorter ones.
func auditWave() emulate.Scenario {
	s := wide()
	const end = 10 * time.Second
	s.Loads = []emulate.Load{
		{Name: "long", Until: end, Rate: 16.5, Prompt: 190_000, Spread: 0.55, MaxPrompt: 600_000, Answer: 750, Objective: 3 * time.Second, Gap: time.Second},
		{Name: "middle", Until: end, Rate: 16, Prompt: 45_000, Answer: 900, Objective: 1500 * time.Millisecond, Gap: 600 * time.Millisecond},
		{Name: "short", Until: end, Rate: 60, Prompt: 4_960, Answer: 1_500, Objective: 400 * time.Millisecond, Gap: 250 * time.Millisecond},
	}
	return s
}

func TestLargestPromptsAreServedHalfAsOftenAsAll(t *testing.T) {
	const runs = 8
	var sum emulate.BySize
	for seed := range uint64(runs) {
		c := emulate.RunBySize(auditWave(), emulate.FromPolicy(admission.Default()), seed, "long")
		sum = emulate.BySize{
			All: sum.All.Add(c.All), LargestTenth: sum.LargestTenth.Add(c.LargestTenth), NextFifth: sum.NextFifth.Add(c.NextFifth),
		}
	}
	t.Logf("all: %v; largest tenth: %v; next fifth: %v", sum.All, sum.LargestTenth, sum.NextFifth)
	for name, part := range map[string]emulate.Count{"largest tenth": sum.LargestTenth, "next fifth": sum.NextFifth} {
		if part.ServedFraction() < sum.All.ServedFraction()/2 {
			t.Errorf("of the %s %.2f were served, of all %.2f", name, part.ServedFraction(), sum.All.ServedFraction())
		}
	}
}
