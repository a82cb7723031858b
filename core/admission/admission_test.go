package admission_test

import (
	"testing"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/demand"
)

const ms = time.Millisecond

// short is an interactive stream with a short prompt, long a stream with a prompt
// of 180,000 tokens, and plain a request to a plain service.
var (
	short = admission.Request{
		Stream: true, TimeLeft: 10 * time.Second, Objective: 300 * ms, FirstToken: 120 * ms, IdleFirstToken: 60 * ms,
	}
	long = admission.Request{
		Stream: true, TimeLeft: 15 * time.Second, Objective: 3 * time.Second, FirstToken: 2 * time.Second, IdleFirstToken: 400 * ms,
	}
	plain = admission.Request{TimeLeft: time.Second, Objective: 150 * ms}
)

func TestDecide(t *testing.T) {
	with := func(r admission.Request, change func(*admission.Request)) admission.Request {
		change(&r)
		return r
	}
	for name, tc := range map[string]struct {
		request admission.Request
		reason  admission.Reason // empty if served
		after   time.Duration
	}{
		"short, in time": {short, "", 0},
		"long, in time":  {long, "", 0},
		"plain":          {plain, "", 0},
		"plain, no time": {with(plain, func(r *admission.Request) { r.FirstToken, r.TimeLeft = ms, 0 }), admission.NoTime, 150 * ms},
		"short, behind a queue": {
			with(short, func(r *admission.Request) { r.FirstToken = 800 * ms }), admission.QueueTooLong, 800 * ms,
		},
		"long, behind a queue": {
			with(long, func(r *admission.Request) { r.FirstToken = 5 * time.Second }), admission.QueueTooLong, 3 * time.Second,
		},
		"long, late even on idle engines": {
			with(long, func(r *admission.Request) { r.FirstToken, r.IdleFirstToken = 5*time.Second, 4*time.Second }), "", 0,
		},
		// A retry after the queue has drained is served.
		"short, retry, no queue": {with(short, func(r *admission.Request) { r.TimeLeft = 9 * time.Second }), "", 0},
		"short, retry, behind a queue": {
			with(short, func(r *admission.Request) { r.TimeLeft, r.FirstToken = 9*time.Second, 500*ms }), admission.QueueTooLong, 500 * ms,
		},
		"short, not before the deadline": {with(short, func(r *admission.Request) { r.TimeLeft = 100 * ms }), admission.NoTime, 150 * ms},
		"short, retry time capped": {
			with(short, func(r *admission.Request) { r.FirstToken = 3 * time.Second }), admission.QueueTooLong, 2 * time.Second,
		},
		"displaces more than its value": {with(long, func(r *admission.Request) { r.DisplacedRatio = 1.1 }), admission.EnginesBusy, 2 * time.Second},
		"memory of two engines, displaces more": {
			with(long, func(r *admission.Request) { r.DisplacedRatio, r.EnginesFilled, r.SpareFraction = 2.6, 2, 1 }), admission.EnginesBusy, 2 * time.Second,
		},
		"memory of two engines, displaces less": {with(long, func(r *admission.Request) { r.DisplacedRatio, r.EnginesFilled, r.SpareFraction = 2.4, 2, 1 }), "", 0},
		"memory of two engines, no other engines": {
			with(long, func(r *admission.Request) { r.DisplacedRatio, r.EnginesFilled = 1.1, 2 }), admission.EnginesBusy, 2 * time.Second,
		},
		"leaves room for larger ones": {
			with(long, func(r *admission.Request) { r.FirstToken, r.EnginesFilled, r.SpareFraction = 2500*ms, 1, 1 }), admission.QueueTooLong, 2500 * ms,
		},
		"leaves no room, no other engines": {with(long, func(r *admission.Request) { r.FirstToken, r.EnginesFilled = 2500*ms, 1 }), "", 0},
		"large, needs the room":            {with(long, func(r *admission.Request) { r.FirstToken, r.EnginesFilled, r.SpareFraction = 2500*ms, 1.3, 1 }), "", 0},
		"short, takes no room": {
			with(short, func(r *admission.Request) { r.FirstToken, r.EnginesFilled, r.SpareFraction = 290*ms, 0.05, 1 }), "", 0,
		},
		"memory of half an engine": {
			with(long, func(r *admission.Request) {
				r.FirstToken, r.DisplacedRatio, r.EnginesFilled, r.SpareFraction = time.Second, 1.1, 0.5, 1
			}),
			admission.EnginesBusy, 1500 * ms,
		},
		"memory of two engines, late": {
			with(long, func(r *admission.Request) {
				r.DisplacedRatio, r.EnginesFilled, r.FirstToken, r.IdleFirstToken = 1.1, 2, 4*time.Second, 3*time.Second
			}),
			admission.EnginesBusy, 3 * time.Second,
		},
		"displaces less than its value": {with(long, func(r *admission.Request) { r.DisplacedRatio = 0.9 }), "", 0},
		"displaces less, over its share": {
			with(long, func(r *admission.Request) { r.DisplacedRatio, r.DisplacedWeight, r.OverShare = 0.9, 1.3, true }), admission.OverShare, 2 * time.Second,
		},
		"displaces more, over its share": {
			with(long, func(r *admission.Request) { r.DisplacedRatio, r.DisplacedWeight, r.OverShare = 1.1, 1.3, true }), admission.EnginesBusy, 2 * time.Second,
		},
		"displaces less, raised weight, not over its share": {
			with(long, func(r *admission.Request) { r.DisplacedRatio, r.DisplacedWeight = 0.9, 1.3 }), admission.EnginesBusy, 2 * time.Second,
		},
		"displaces more, lowered weight": {with(long, func(r *admission.Request) { r.DisplacedRatio, r.DisplacedWeight = 1.9, 0.5 }), "", 0},
		"over its share, slots free":     {with(short, func(r *admission.Request) { r.FirstToken, r.OverShare = 290*ms, true }), "", 0},
		"over its share, slots full": {
			with(short, func(r *admission.Request) { r.FirstToken, r.OverShare, r.SlotScarcity = 160*ms, true, 1 }), admission.OverShare, 160 * ms,
		},
		"over its share, slots full, no queue": {
			with(short, func(r *admission.Request) { r.OverShare, r.SlotScarcity = true, 1 }), "", 0,
		},
		"not over its share, slots full": {with(short, func(r *admission.Request) { r.FirstToken, r.SlotScarcity = 290*ms, 1 }), "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			no, refused := admission.Default().Decide(tc.request)
			if refused != (tc.reason != "") || no.Reason != tc.reason || no.RetryAfter != tc.after {
				t.Errorf("refused %v: %q, after %v; want %q, after %v", refused, no.Reason, no.RetryAfter, tc.reason, tc.after)
			}
		})
	}
}

func TestRulesCanBeDisabled(t *testing.T) {
	for name, tc := range map[string]struct {
		policy  admission.Policy
		request func(*admission.Request)
	}{
		"late":      {admission.Default().WithLate(false), func(r *admission.Request) { r.FirstToken = time.Second }},
		"displaced": {admission.Default().WithDisplaced(false), func(r *admission.Request) { r.DisplacedRatio = 2 }},
		"shares":    {admission.Default().WithShares(false), func(r *admission.Request) { r.DisplacedRatio, r.DisplacedWeight, r.OverShare = 0.9, 2, true }},
	} {
		t.Run(name, func(t *testing.T) {
			r := short
			tc.request(&r)
			if no, refused := tc.policy.Decide(r); refused {
				t.Errorf("refused as %q", no.Reason)
			}
			if _, refused := admission.Default().Decide(r); !refused {
				t.Error("not refused with all rules enabled")
			}
		})
	}
}

// TestScarcityRules checks the rules that apply while callers ask for more than there is room
// for. Each guards against the loss that its name says.
func TestScarcityRules(t *testing.T) {
	all := admission.Default().WithYield(true).WithSlotRisk(true).WithUrgency(true)
	for name, tc := range map[string]struct {
		change func(*admission.Request)
		reason admission.Reason // empty if served
	}{
		"in time":                                  {func(*admission.Request) {}, ""},
		"late caller, slots free":                  {func(r *admission.Request) { r.Waited = time.Second }, ""},
		"late caller takes a scarce slot":          {func(r *admission.Request) { r.Waited, r.SlotsUsed = time.Second, 0.95 }, admission.LateCaller},
		"new caller, slots scarce":                 {func(r *admission.Request) { r.SlotsUsed = 0.95 }, ""},
		"long prompt of a late caller":             {func(r *admission.Request) { r.Waited, r.SlotsUsed, r.EnginesFilled = time.Second, 0.95, 0.6 }, ""},
		"returns too late for the queue":           {func(r *admission.Request) { r.Waited, r.FirstToken = 200*ms, 150*ms }, admission.QueueTooLong},
		"others take the slot first":               {func(r *admission.Request) { r.LateRisk = 0.2 }, admission.QueueTooLong},
		"others may take the slot first":           {func(r *admission.Request) { r.LateRisk = 0.05 }, ""},
		"more urgent ones are refused":             {func(r *admission.Request) { r.SlotsUsed, r.Served = 0.8, demand.Shares{Own: 1, Urgent: 0.8, All: 0.9} }, admission.MoreUrgent},
		"more urgent ones are refused, slots free": {func(r *admission.Request) { r.Served = demand.Shares{Own: 1, Urgent: 0.8, All: 0.9} }, ""},
		"prompt too long to be in time":            {func(r *admission.Request) { r.LateRisk, r.EnginesFilled = 0.2, 2 }, ""},
		"more urgent ones are served": {func(r *admission.Request) {
			r.SlotsUsed, r.Served = 0.8, demand.Shares{Own: 0.9, Urgent: 0.9, All: 0.9}
		}, ""},
		"less urgent ones would be starved": {func(r *admission.Request) {
			r.SlotsUsed, r.Served = 0.8, demand.Shares{Own: 0.2, Urgent: 0.1, All: 0.7}
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := short
			tc.change(&r)
			no, refused := all.Decide(r)
			if refused != (tc.reason != "") || no.Reason != tc.reason {
				t.Errorf("refused %v: %q, want %q", refused, no.Reason, tc.reason)
			}
			if tc.reason != "" && (no.RetryAfter <= 0 || no.RetryAfter > r.TimeLeft/3) {
				t.Errorf("Retry-After %v of %v, want up to a third", no.RetryAfter, r.TimeLeft)
			}
			if _, refused := admission.Default().Decide(r); refused && tc.reason != admission.QueueTooLong {
				t.Error("refused although the rules are off")
			}
		})
	}
}
