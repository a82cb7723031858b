package demand_test

import (
	"math"
	"testing"
	"time"

	"slipcrank.example/core/demand"
)

const (
	service = "model"
	start   = time.Minute
)

var (
	short = demand.Work{Value: 1, EngineTime: 100 * time.Millisecond}
	long  = demand.Work{Value: 8, EngineTime: 8 * time.Second}
)

// TestPriceIsTheValueOfTheLastWorkThatFits guards against a price that refuses long prompts
// while engines have time for them, or that admits them in place of more valuable work.
func TestPriceIsTheValueOfTheLastWorkThatFits(t *testing.T) {
	for name, tc := range map[string]struct {
		shorts, longs, engines int
		price                  float64
	}{
		"no demand":                     {0, 0, 10, 0},
		"all fits":                      {50, 1, 10, 0},
		"long prompts don't fit":        {50, 3, 10, 1},
		"not even short prompts fit":    {300, 3, 10, 10},
		"twice the engines, long fit":   {50, 3, 20, 0},
		"short prompts leave no time":   {200, 1, 10, 1},
		"half of the long prompts fits": {0, 4, 8, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := demand.NewLedger()
			l.Admit(service, 0, demand.Work{}, start)
			for range tc.shorts {
				l.Admit(service, 1, short, start+time.Second)
			}
			for range tc.longs {
				l.Refuse(demand.Refusal{Service: service, Priority: 1, Work: long}, start+time.Second)
			}
			price, ok := l.Price(service, tc.engines, start+2*time.Second)
			if !ok || math.Abs(price-tc.price) > 1e-9 {
				t.Errorf("price %.2f, known %v; want %.2f", price, ok, tc.price)
			}
		})
	}
}

// TestPriceIsUnknownAtFirst guards against a price of zero on a host that has just started.
func TestPriceIsUnknownAtFirst(t *testing.T) {
	l := demand.NewLedger()
	if _, ok := l.Price(service, 1, start); ok {
		t.Error("the price is known without any demand")
	}
	l.Admit(service, 0, short, start)
	if _, ok := l.Price(service, 1, start+500*time.Millisecond); ok {
		t.Error("the price is known after half a second")
	}
}

// TestReturningCallersAreRecognized guards against taking another caller with the same content
// for one that was refused, and the other way round.
func TestReturningCallersAreRecognized(t *testing.T) {
	for name, tc := range map[string]struct {
		identity uint64
		left     time.Duration
		after    time.Duration
		waited   time.Duration // zero: not recognized
	}{
		"returns":                           {7, 9 * time.Second, time.Second, time.Second},
		"returns after some network delay":  {7, 8970 * time.Millisecond, time.Second, time.Second},
		"same content, whole time left":     {7, 10 * time.Second, time.Second, 0},
		"other content":                     {8, 9 * time.Second, time.Second, 0},
		"refused too long ago to be known":  {7, -2 * time.Second, 12 * time.Second, 0},
		"same content, less time than left": {7, 5 * time.Second, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := demand.NewLedger()
			l.Refuse(demand.Refusal{Service: service, Work: short, Identity: 7, TimeLeft: 10 * time.Second}, start)
			waited, ok := l.Returning(tc.identity, tc.left, start+tc.after)
			if ok != (tc.waited > 0) || waited != tc.waited {
				t.Errorf("recognized %v, waited %v; want %v", ok, waited, tc.waited)
			}
		})
	}
}

// TestWaitingTimeAddsUp guards against counting the time only from the last of several refusals.
func TestWaitingTimeAddsUp(t *testing.T) {
	l := demand.NewLedger()
	l.Refuse(demand.Refusal{Service: service, Identity: 7, TimeLeft: 10 * time.Second}, start)
	again, _ := l.Returning(7, 9*time.Second, start+time.Second)
	l.Refuse(demand.Refusal{Service: service, Identity: 7, TimeLeft: 9 * time.Second, Waited: again}, start+time.Second)
	if waited, ok := l.Returning(7, 7*time.Second, start+3*time.Second); !ok || waited != 3*time.Second {
		t.Errorf("recognized %v, waited %v; want 3s", ok, waited)
	}
}

// TestSharesCountEachRequestOnce guards against callers that return making their priority look
// more refused than it is.
func TestSharesCountEachRequestOnce(t *testing.T) {
	l := demand.NewLedger()
	for range 20 {
		l.Admit(service, 1, short, start)
		l.Admit(service, 0, short, start)
	}
	for id := range uint64(20) {
		r := demand.Refusal{Service: service, Priority: 0, Identity: id + 1, TimeLeft: 10 * time.Second}
		l.Refuse(r, start)
		r.TimeLeft = 9500 * time.Millisecond
		l.Refuse(r, start+500*time.Millisecond)
	}
	l.AdmitReturning(service, 0, short, start+time.Second)
	got, ok := l.Shares(service, 1, start+time.Second)
	for name, f := range map[string]struct{ got, want float64 }{
		"own": {got.Own, 1}, "urgent": {got.Urgent, 21.0 / 40}, "all": {got.All, 41.0 / 60},
	} {
		if !ok || math.Abs(f.got-f.want) > 0.01 {
			t.Errorf("%s share %.3f, known %v; want %.3f", name, f.got, ok, f.want)
		}
	}
}

// TestSharesOfFewRequestsAreUnknown guards against taking a kind of request that is seldom asked
// for as served better than others.
func TestSharesOfFewRequestsAreUnknown(t *testing.T) {
	for name, tc := range map[string]struct {
		urgent, own int
		after       time.Duration
		known       bool
	}{
		"enough of both":                 {20, 20, time.Second, true},
		"few of its own":                 {20, 5, time.Second, false},
		"few more urgent ones":           {5, 20, time.Second, false},
		"all a long time ago":            {20, 20, time.Minute, false},
		"no more urgent ones whatsoever": {0, 20, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := demand.NewLedger()
			for range tc.urgent {
				l.Refuse(demand.Refusal{Service: service, Priority: 0, Work: short}, start)
			}
			for range tc.own {
				l.Admit(service, 1, short, start)
			}
			if _, ok := l.Shares(service, 1, start+tc.after); ok != tc.known {
				t.Errorf("known %v, want %v", ok, tc.known)
			}
		})
	}
}
