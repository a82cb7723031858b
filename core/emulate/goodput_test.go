package emulate_test

import (
	"testing"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

const (
	// goodputShare is the least fraction of the most streams that are served in time at any
	// load that has to be served in time past the capacity.
	goodputShare = 0.9
	// crestCapacity is the number of short streams per second that the slots of 78 engines
	// serve: each of 12 slots ends a stream every 2.4 s.
	crestCapacity = 390
)

// crest returns a crest of short streams at so many times the capacity of 78 engines.
func crest(hosts int, load float64) emulate.Scenario {
	return emulate.Scenario{
		Engines: 78,
		Engine: site.Engine{
			Slots: 12, Memory: 344_250, StepsPerPass: 38, StepTime: 1310 * time.Microsecond, StepTimePerRequest: 917 * time.Nanosecond,
			StepTimePerContext: 2130 * time.Nanosecond, PrefillRate: 154_000, PrefillTimePerPairs: 162 * time.Microsecond, PrefillChunk: 2048,
			UsualPrompt: 12_872, UsualAnswer: 1_307,
		},
		Wait: 10 * time.Second, Hosts: hosts, NewsDelay: 10 * time.Millisecond,
		Policy: schedule.Policy{}.WithSpread(true),
		Loads: []emulate.Load{{
			Name: "short", Until: 5 * time.Second, Rate: load * crestCapacity,
			Prompt: 4_960, Answer: 1_368, Objective: 300 * time.Millisecond, Gap: 250 * time.Millisecond,
		}},
	}
}

// inTimePerSecond returns the number of streams per second that a scenario serves in time.
func inTimePerSecond(s emulate.Scenario, p admission.Policy) float64 {
	c := emulate.Run(s, emulate.FromPolicy(p), 1)["short"]
	return float64(c.InTime) / s.Loads[0].Until.Seconds()
}

// TestGoodputPastTheCapacity checks that overload does not lower the number of streams that
// are served in time. It falls if hosts keep slots empty for placements that don't exist, or
// if slots go to callers who were refused before and can only be late.
func TestGoodputPastTheCapacity(t *testing.T) {
	policy := admission.Default().WithYield(true).WithSlotRisk(true)
	for name, tc := range map[string]struct {
		hosts  int
		change func(*emulate.Scenario)
	}{
		"8 hosts":                   {8, func(*emulate.Scenario) {}},
		"70 hosts":                  {70, func(*emulate.Scenario) {}},
		"139 hosts":                 {139, func(*emulate.Scenario) {}},
		"callers return at once":    {70, func(s *emulate.Scenario) { s.AtOnce = true }},
		"a fifth of engines leaves": {70, func(s *emulate.Scenario) { s.Leaving, s.LeaveAt = 16, 2*time.Second }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			served := map[float64]float64{}
			var most float64
			for _, load := range []float64{0.8, 1, 1.2, 1.5, 2} {
				s := crest(tc.hosts, load)
				tc.change(&s)
				served[load] = inTimePerSecond(s, policy)
				most = max(most, served[load])
			}
			t.Logf("served in time per second, by load: %v", served)
			for _, load := range []float64{1.2, 1.5, 2} {
				if served[load] < goodputShare*most {
					t.Errorf("at %.1f times the capacity %.0f streams per second are in time, want %.1f of %.0f", load, served[load], goodputShare, most)
				}
			}
			if most < goodputShare*0.8*crestCapacity {
				t.Errorf("at most %.0f streams per second are in time, with %d asked for at 0.8 times the capacity", most, int(0.8*crestCapacity))
			}
		})
	}
}
