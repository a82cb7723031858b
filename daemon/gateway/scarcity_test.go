package gateway_test

import (
	"sync"
	"testing"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/demand"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/gateway"
)

// refusals records the refusals that a gateway reports. It is safe for concurrent use.
type refusals struct {
	mu   sync.Mutex
	list []demand.Refusal
}

func (r *refusals) add(d demand.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, d)
}

// counting is a gateway that counts demand.
type counting struct {
	*fixture
	clock    *boottime.Clock
	ledger   *demand.Ledger
	reported *refusals
}

func startCounting(t *testing.T, p admission.Policy) counting {
	t.Helper()
	c := counting{clock: boottime.New(), ledger: demand.NewLedger(), reported: &refusals{}}
	c.fixture = startWith(t, []gateway.Option{gateway.WithClock(c.clock), gateway.WithScarcity(gateway.Scarcity{
		Policy: func() admission.Policy { return p }, Ledger: c.ledger, SendRefusal: c.reported.add, Counts: func() bool { return true },
	})}, streamFrom(eventCount), streamFrom(eventCount), streamFrom(eventCount))
	return c
}

// read sends the request that the tests are about and returns the status of its answer.
func (c counting) read() int {
	return c.do("POST", "/read/", "b", "Size", "100,10", "Wait-Ms", "5000").status
}

// refuseOnce returns the refusal of the request on a gateway all of whose slots are taken.
func refuseOnce(t *testing.T) demand.Refusal {
	t.Helper()
	f := startCounting(t, admission.Default().WithYield(true))
	fillSlots(f.fixture)
	if status := f.read(); status != 503 || len(f.reported.list) != 1 {
		t.Fatalf("status %d with all slots taken, and refusals %+v reported", status, f.reported.list)
	}
	return f.reported.list[0]
}

// fillSlots has another host run streams in all slots of the engines, which last long.
func fillSlots(f *fixture) {
	var n uint32
	for _, id := range []string{"e0", "e1", "e2"} {
		for range 4 {
			n++
			p := schedule.Placement{
				ID: schedule.ID{Host: 2, Number: n}, Service: "engine", Lead: id,
				Work: schedule.Work{Prompt: 100, Answer: 11_000}, Gap: time.Minute,
			}
			f.scheduler.AddRunning(p)
			f.scheduler.RecordStart(p.ID, 0)
		}
	}
}

// TestRefusalsAreReported guards against refusals that other hosts don't learn of, or can't use
// to recognize the caller.
func TestRefusalsAreReported(t *testing.T) {
	r := refuseOnce(t)
	if r.Service != "engine" || r.Identity == 0 || r.Work.Value <= 0 || r.Work.EngineTime <= 0 || r.TimeLeft <= 4*time.Second {
		t.Errorf("reported %+v", r)
	}
}

// TestLateCallersYieldWhileSlotsAreScarce has a caller return whose objective has passed. The
// last free slot must be left to a caller who can be served in time.
func TestLateCallersYieldWhileSlotsAreScarce(t *testing.T) {
	refusal := refuseOnce(t)
	refusal.TimeLeft = 5 * time.Second
	for name, tc := range map[string]struct {
		waited time.Duration // before this attempt, as another host has reported
		ended  uint32        // of the streams that take the twelve slots
		status int
	}{
		"returns late, no slot taken":   {3 * time.Second, 12, 200},
		"returns late, one slot free":   {3 * time.Second, 1, 503},
		"new caller, one slot free":     {0, 1, 200},
		"returns early, one slot free":  {100 * time.Millisecond, 1, 200},
		"returns late, most slots free": {3 * time.Second, 9, 200},
	} {
		t.Run(name, func(t *testing.T) {
			f := startCounting(t, admission.Default().WithYield(true))
			fillSlots(f.fixture)
			for n := range tc.ended {
				f.scheduler.RecordEnd(schedule.ID{Host: 2, Number: n + 1})
			}
			if refusal.Waited = tc.waited; tc.waited > 0 {
				f.ledger.Refuse(refusal, f.clock.Now())
			}
			if status := f.read(); status != tc.status {
				t.Errorf("status %d, want %d", status, tc.status)
			}
		})
	}
}
