package admission_test

import (
	"testing"
	"time"

	"slipcrank.example/core/admission"
)

const ms = time.Millisecond

// short is a stream for a caller at a counter, long a prompt of 180,000 tokens.
var (
	short = admission.Request{
		Stream: true, Left: 10 * time.Second, Objective: 300 * ms, First: 120 * ms, Idle: 60 * ms,
	}
	long = admission.Request{
		Stream: true, Left: 15 * time.Second, Objective: 3 * time.Second, First: 2 * time.Second, Idle: 400 * ms,
	}
	plain = admission.Request{Left: time.Second, Objective: 150 * ms}
)

func TestJudge(t *testing.T) {
	with := func(r admission.Request, change func(*admission.Request)) admission.Request {
		change(&r)
		return r
	}
	for name, tc := range map[string]struct {
		request admission.Request
		why     admission.Reason // empty for served
		after   time.Duration
	}{
		"short, in time": {short, "", 0},
		"long, in time":  {long, "", 0},
		"plain":          {plain, "", 0},
		"plain, no time": {with(plain, func(r *admission.Request) { r.First, r.Left = ms, 0 }), admission.NoTime, 150 * ms},
		"short, behind a queue": {
			with(short, func(r *admission.Request) { r.First = 800 * ms }), admission.QueueTooLong, 800 * ms,
		},
		"long, behind a queue": {
			with(long, func(r *admission.Request) { r.First = 5 * time.Second }), admission.QueueTooLong, 3 * time.Second,
		},
		"long, late by itself": {
			with(long, func(r *admission.Request) { r.First, r.Idle = 5*time.Second, 4*time.Second }), "", 0,
		},
		// A caller that comes back when the queue has gone is served late.
		"short, back, no queue": {with(short, func(r *admission.Request) { r.Left = 9 * time.Second }), "", 0},
		"short, back, a queue": {
			with(short, func(r *admission.Request) { r.Left, r.First = 9*time.Second, 500*ms }), admission.QueueTooLong, 500 * ms,
		},
		"no time left": {with(short, func(r *admission.Request) { r.Left = 100 * ms }), admission.NoTime, 150 * ms},
		"caller leaves": {
			with(short, func(r *admission.Request) { r.First = 3 * time.Second }), admission.QueueTooLong, 2 * time.Second,
		},
		"displaces more": {with(long, func(r *admission.Request) { r.Displaces = 1.1 }), admission.EnginesBusy, 2 * time.Second},
		"of two engines' memory, displaces more": {
			with(long, func(r *admission.Request) { r.Displaces, r.Engines, r.Spare = 2.1, 2, 1 }), admission.EnginesBusy, 2 * time.Second,
		},
		"of two engines' memory, displaces less": {with(long, func(r *admission.Request) { r.Displaces, r.Engines, r.Spare = 1.9, 2, 1 }), "", 0},
		"of two engines' memory, none to spare": {
			with(long, func(r *admission.Request) { r.Displaces, r.Engines = 1.1, 2 }), admission.EnginesBusy, 2 * time.Second,
		},
		"of half of one's": {
			with(long, func(r *admission.Request) { r.Displaces, r.Engines, r.Spare = 1.1, 0.5, 1 }), admission.EnginesBusy, 2 * time.Second,
		},
		"of two engines' memory, late": {
			with(long, func(r *admission.Request) {
				r.Displaces, r.Engines, r.First, r.Idle = 1.1, 2, 4*time.Second, 3*time.Second
			}),
			admission.EnginesBusy, 3 * time.Second,
		},
		"displaces less": {with(long, func(r *admission.Request) { r.Displaces = 0.9 }), "", 0},
		"displaces less, over its share": {
			with(long, func(r *admission.Request) { r.Displaces, r.Price, r.Over = 0.9, 1.3, true }), admission.OverShare, 2 * time.Second,
		},
		"displaces more, over its share": {
			with(long, func(r *admission.Request) { r.Displaces, r.Price, r.Over = 1.1, 1.3, true }), admission.EnginesBusy, 2 * time.Second,
		},
		"displaces less, above the mean only": {
			with(long, func(r *admission.Request) { r.Displaces, r.Price = 0.9, 1.3 }), admission.EnginesBusy, 2 * time.Second,
		},
		"displaces more, crowded out": {with(long, func(r *admission.Request) { r.Displaces, r.Price = 1.9, 0.5 }), "", 0},
		"over its share, free slots":  {with(short, func(r *admission.Request) { r.First, r.Over = 290*ms, true }), "", 0},
		"over its share, full slots": {
			with(short, func(r *admission.Request) { r.First, r.Over, r.Full = 160*ms, true, 1 }), admission.OverShare, 160 * ms,
		},
		"over its share, full slots, no queue": {
			with(short, func(r *admission.Request) { r.Over, r.Full = true, 1 }), "", 0,
		},
		"not over its share, full slots": {with(short, func(r *admission.Request) { r.First, r.Full = 290*ms, 1 }), "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			no, refused := admission.Default().Judge(tc.request)
			if refused != (tc.why != "") || no.Why != tc.why || no.After != tc.after {
				t.Errorf("refused %v: %q, after %v; want %q, after %v", refused, no.Why, no.After, tc.why, tc.after)
			}
		})
	}
}

func TestRulesCanBeSwitchedOff(t *testing.T) {
	for name, tc := range map[string]struct {
		policy  admission.Policy
		request func(*admission.Request)
	}{
		"late":      {admission.Default().WithLate(false), func(r *admission.Request) { r.First = time.Second }},
		"displaced": {admission.Default().WithDisplaced(false), func(r *admission.Request) { r.Displaces = 2 }},
		"shares":    {admission.Default().WithShares(false), func(r *admission.Request) { r.Displaces, r.Price, r.Over = 0.9, 2, true }},
	} {
		t.Run(name, func(t *testing.T) {
			r := short
			tc.request(&r)
			if no, refused := tc.policy.Judge(r); refused {
				t.Errorf("refused as %q", no.Why)
			}
			if _, refused := admission.Default().Judge(r); !refused {
				t.Error("not refused with all rules")
			}
		})
	}
}
