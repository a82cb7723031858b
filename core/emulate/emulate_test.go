package emulate_test

import (
	"reflect"
	"testing"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
)

// inTime runs a scenario under a rule with several seeds, and returns the mean fraction
// of each load's requests that were served in time.
func inTime(s emulate.Scenario, r emulate.Rule) map[string]float64 {
	const runs = 8
	out := map[string]float64{}
	for seed := range uint64(runs) {
		for name, c := range emulate.Run(s, r, seed) {
			out[name] += c.InTimeFraction() / runs
		}
	}
	return out
}

// TestTreatingRetriesAlikeServesMoreInTime runs long prompts that need most of the
// engines, followed by many short streams. Favoring retries, and admitting streams that
// the queue makes late, keeps engines busy with prompts that are late already. So more
// requests of both kinds have to be in time if retries are treated like first attempts.
func TestTreatingRetriesAlikeServesMoreInTime(t *testing.T) {
	alike := inTime(emulate.Surge(), emulate.FromPolicy(admission.Default()))
	favored := inTime(emulate.Surge(), emulate.FavorRetries(admission.Default().WithLate(false), 8))
	t.Logf("fractions in time: retries treated alike %v, retries favored %v", alike, favored)
	if alike["short"] < favored["short"]+0.1 || alike["long"] < favored["long"]+0.05 {
		t.Error("treating retries alike gains less than 0.1 of the short requests, or less than 0.05 of the long ones")
	}
}

// TestSlotsStayInUseUnderOverload sends nearly three times the short streams that 30
// engines have slots for. Refusing the excess must not keep slots empty: at best, each
// of 300 slots ends a stream every 1.9 s, which serves 0.36 of the streams.
func TestSlotsStayInUseUnderOverload(t *testing.T) {
	s := wide()
	s.Engines = 30
	s.Loads = []emulate.Load{{
		Name: "short", Until: 5 * time.Second, Rate: 440,
		Prompt: 4_960, Answer: 1_500, Objective: 400 * time.Millisecond, Gap: 250 * time.Millisecond,
	}}
	c := emulate.Run(s, emulate.FromPolicy(admission.Default()), 1)["short"]
	if t.Log(c); c.InTimeFraction() < 0.28 {
		t.Errorf("%.3f of the streams are in time, want at least 0.28", c.InTimeFraction())
	}
}

func TestSameSeedGivesSameResults(t *testing.T) {
	rule := emulate.FromPolicy(admission.Default())
	if a, b := emulate.Run(emulate.Surge(), rule, 3), emulate.Run(emulate.Surge(), rule, 3); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed gave %v and %v", a, b)
	}
}

// TestEveryRequestIsCounted checks that each request has exactly one outcome.
func TestEveryRequestIsCounted(t *testing.T) {
	for name, c := range emulate.Run(emulate.Surge(), emulate.FromPolicy(admission.Default()), 1) {
		if c.Asked == 0 || c.Asked != c.InTime+c.Late+c.Refused {
			t.Errorf("%s: %v", name, c)
		}
	}
}
