package emulate_test

import (
	"reflect"
	"testing"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
)

// average plays several days of a scenario by a rule, and returns the parts that
// were served in time.
func average(s emulate.Scenario, r emulate.Rule) map[string]float64 {
	const days = 8
	out := map[string]float64{}
	for seed := range uint64(days) {
		for name, c := range emulate.Run(s, r, seed) {
			out[name] += c.InTimeFraction() / days
		}
	}
	return out
}

// TestBurstOfLongPromptsLeavesRoom plays long prompts that ask for most of the
// engines, and then many short streams. It serves more of both in time to judge
// callers that come back as those that come first than to let them in.
func TestBurstOfLongPromptsLeavesRoom(t *testing.T) {
	ours := average(emulate.Surge(), emulate.FromPolicy(admission.Default()))
	other := average(emulate.Surge(), emulate.FavorRetries(admission.Default().WithLate(false), 8))
	t.Logf("in time: %v; with callers let in that come back %v", ours, other)
	if ours["short"] < other["short"]+0.1 || ours["long"] < other["long"]+0.05 {
		t.Error("the gain is below 0.1 of the short requests, or 0.05 of the long ones")
	}
}

// TestSlotsStayInUseUnderOverload asks for nearly three times the short streams
// that 30 engines have slots for. Refusing the others must not keep slots empty:
// at best, each of 300 slots ends a stream in 1.9 s, 0.36 of those asked for.
func TestSlotsStayInUseUnderOverload(t *testing.T) {
	s := wide()
	s.Engines = 30
	s.Loads = []emulate.Load{{
		Name: "short", Until: 5 * time.Second, Rate: 440,
		Prompt: 4_960, Answer: 1_500, Objective: 400 * time.Millisecond, Gap: 250 * time.Millisecond,
	}}
	c := emulate.Run(s, emulate.FromPolicy(admission.Default()), 1)["short"]
	if t.Log(c); c.InTimeFraction() < 0.28 {
		t.Errorf("%.3f of the streams are in time, want 0.28", c.InTimeFraction())
	}
}

func TestSameSeedSameDay(t *testing.T) {
	rule := emulate.FromPolicy(admission.Default())
	if a, b := emulate.Run(emulate.Surge(), rule, 3), emulate.Run(emulate.Surge(), rule, 3); !reflect.DeepEqual(a, b) {
		t.Errorf("one seed gave %v and %v", a, b)
	}
}

// TestEveryRequestIsCounted has each request end in one way.
func TestEveryRequestIsCounted(t *testing.T) {
	for name, c := range emulate.Run(emulate.Surge(), emulate.FromPolicy(admission.Default()), 1) {
		if c.Asked == 0 || c.Asked != c.InTime+c.Late+c.Refused {
			t.Errorf("%s: %v", name, c)
		}
	}
}
