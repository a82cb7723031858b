package emulate_test

import (
	"testing"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
)

// acceptedLag is by how much more often less urgent requests may be served, as a fraction of all:
// operators accept 5 in 100.
const acceptedLag = 0.05

// TestMoreUrgentRequestsAreServedNoLess guards against serving the kinds that operators rank
// last more often than those that they rank first: prompts of medium length, priority 0, are refused
// since short streams, priority 1, ask for more than all slots.
func TestMoreUrgentRequestsAreServedNoLess(t *testing.T) {
	s := crest(8, 1.5)
	s.Counted, s.Loads[0].Priority = true, 1
	s.Loads = append(s.Loads, emulate.Load{
		Name: "middle", Until: s.Loads[0].Until, Rate: 40, Priority: 0,
		Prompt: 45_000, Answer: 800, Objective: 1500 * time.Millisecond, Gap: 600 * time.Millisecond,
	})
	policy := admission.Default().WithYield(true).WithSlotRisk(true)
	lag := func(p admission.Policy) float64 {
		r := emulate.Run(s, emulate.FromPolicy(p), 1)
		t.Logf("short: %v; middle: %v", r["short"], r["middle"])
		if served := r["short"].ServedFraction(); served < 0.25*r["middle"].ServedFraction() {
			t.Errorf("%.2f of the less urgent requests are served: they are starved", served)
		}
		return r["short"].ServedFraction() - r["middle"].ServedFraction()
	}
	if l := lag(policy); l <= acceptedLag {
		t.Errorf("without regard to urgency, the less urgent are served more by %.2f only: the load doesn't test the rule", l)
	}
	if l := lag(policy.WithUrgency(true)); l > acceptedLag {
		t.Errorf("the less urgent requests are served more often by %.2f, want at most %.2f", l, acceptedLag)
	}
}
