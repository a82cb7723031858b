package gateway_test

import (
	"strconv"
	"testing"
	"time"

	"slipcrank.example/core/schedule"
)

// TestAlwaysLateStreamIsServed sends a stream whose objective can't be met even by idle
// engines. It is not late because of the queue, so it must be served.
func TestAlwaysLateStreamIsServed(t *testing.T) {
	f := start(t, streamFrom(eventCount))
	a := f.do("POST", "/late/", "b", "Size", "10000,10", "Wait-Ms", "5000")
	if a.status != 200 || a.body != allEvents() || f.requestCount() != 1 {
		t.Errorf("status %d, body %q after %d runs, want the complete stream after 1", a.status, a.body, f.requestCount())
	}
}

// TestStreamThatDisplacesMoreValueIsRefused lets each engine read long prompts of other
// hosts for 0.5 s. The Retry-After is the time until these are read, plus the time that
// the refused prompt itself needs. The time left for a caller says nothing about
// whether it was refused before, so it affects only the Retry-After.
func TestStreamThatDisplacesMoreValueIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		busy                         bool
		timeLeft                     string // until the caller's deadline, in ms; the route's timeout is 5 s
		status                       int
		minRetryAfter, maxRetryAfter float64 // in seconds
	}{
		"idle engines":            {false, "5000", 200, 0, 0},
		"busy engines":            {true, "5000", 503, 0.6, 1.5},
		"busy engines, less time": {true, "4000", 503, 0.6, 1.2},
		"idle engines, less time": {false, "4000", 200, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, streamFrom(eventCount), streamFrom(eventCount))
			for n, id := range []string{"e0", "e1"} {
				if tc.busy {
					f.scheduler.AddRemote(schedule.Placement{
						ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: "engine", Lead: id,
						Work: schedule.Work{Prompt: 20_000, Answer: 10}, Gap: time.Minute, FirstToken: time.Minute,
					})
					f.scheduler.AddRemote(schedule.Placement{
						ID: schedule.ID{Host: 3, Number: uint32(n)}, Service: "engine", Lead: id,
						Work: schedule.Work{Prompt: 32_000, Answer: 10}, Gap: time.Minute, FirstToken: time.Minute,
					})
				}
			}
			a := f.do("POST", "/late/", "b", "Size", "35000,10", "Wait-Ms", tc.timeLeft)
			if a.status != tc.status {
				t.Fatalf("status %d, want %d", a.status, tc.status)
			}
			if tc.status == 200 {
				return
			}
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			if err != nil || after < tc.minRetryAfter || after > tc.maxRetryAfter {
				t.Errorf("Retry-After is %q s, want %v to %v", a.header.Get("Retry-After"), tc.minRetryAfter, tc.maxRetryAfter)
			}
			if f.requestCount() != 0 {
				t.Error("a refused stream was sent to a server")
			}
		})
	}
}

// TestStreamWithTooLongQueueIsRefused lets the engine read prompts for longer than
// callers wait for a first event.
func TestStreamWithTooLongQueueIsRefused(t *testing.T) {
	f := start(t, streamFrom(eventCount))
	for n := range 2 {
		f.scheduler.AddRemote(schedule.Placement{
			ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: "engine", Lead: "e0",
			Work: schedule.Work{Prompt: 130_000, Answer: 10}, FirstToken: time.Minute,
			MemoryShares: []schedule.MemoryShare{{Server: "elsewhere", Tokens: 130_000}},
		})
	}
	a := f.do("POST", "/late/", "b", "Size", "1000,10", "Wait-Ms", "30000")
	if a.status != 503 || f.requestCount() != 0 {
		t.Fatalf("status %d after %d runs, want 503 after none", a.status, f.requestCount())
	}
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || after <= 0 || after > 1.5 {
		t.Errorf("Retry-After is %q s, want up to a third of the route's 5 s", a.header.Get("Retry-After"))
	}
}

func TestPromptIsRefusedIfMemoryNeverBecomesFree(t *testing.T) {
	f := start(t, streamFrom(eventCount), streamFrom(eventCount))
	a := f.do("POST", "/late/", "b", "Size", "150000,10", "Wait-Ms", "4500")
	if a.status != 503 || f.requestCount() != 0 {
		t.Errorf("status %d after %d runs, want 503 after none", a.status, f.requestCount())
	}
	if n := f.reserved.Load(); n < 1 || n > 10 {
		t.Errorf("%d attempts to reserve memory, want 1 to 10", n)
	}
}

// TestServerThatRefusedMemoryIsNotAskedAgain lets all engines but two refuse to reserve
// memory, and keeps these two busier than the others.
func TestServerThatRefusedMemoryIsNotAskedAgain(t *testing.T) {
	f := start(t, streamFrom(eventCount), streamFrom(eventCount), streamFrom(eventCount), streamFrom(eventCount))
	f.hasMemory = map[string]bool{}
	for n := range 2 {
		f.hasMemory[f.servers[n].addr] = true
		f.scheduler.AddRemote(schedule.Placement{
			ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: "engine", Lead: "e" + strconv.Itoa(n),
			Work: schedule.Work{Prompt: 5_000, Answer: 10}, Gap: time.Minute, FirstToken: time.Minute,
		})
	}
	a := f.do("POST", "/late/", "b", "Size", "150000,10", "Wait-Ms", "4500")
	if a.status != 200 || f.requestCount() != 1 {
		t.Errorf("status %d after %d runs and %d reservations, want 200 after one run", a.status, f.requestCount(), f.reserved.Load())
	}
}

// TestWorkspaceOverItsShareIsRefused keeps the engines busy with the prompts of one
// workspace. A call of this workspace is refused; the call of a workspace without
// running requests is served.
func TestWorkspaceOverItsShareIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		workspace string // whose prompts the engines are reading
		status    int
		refusals  int64
	}{
		"its own prompts":              {"w1", 503, 1},
		"prompts of another workspace": {"w2", 200, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, streamFrom(eventCount), streamFrom(eventCount))
			for n, id := range []string{"e0", "e1"} {
				for host, p := range map[uint32]schedule.Placement{
					2: {Work: schedule.Work{Prompt: 40_000, Answer: 10}, Workspace: schedule.HashWorkspace(tc.workspace)},
					3: {Work: schedule.Work{Prompt: 12_000, Answer: 10}, Workspace: schedule.HashWorkspace("w3")},
				} {
					p.ID, p.Service, p.Lead = schedule.ID{Host: host, Number: uint32(n)}, "engine", id
					p.Gap, p.FirstToken = time.Minute, time.Minute
					f.scheduler.AddRemote(p)
				}
			}
			a := f.do("POST", "/read/", "b", "Size", "37000,10", "Wait-Ms", "5000")
			if a.status != tc.status {
				t.Errorf("status %d, want %d", a.status, tc.status)
			}
			if n := f.metrics.CounterValue("gateway_over_share", "workspace", "w1"); n != tc.refusals {
				t.Errorf("%d refusals counted, want %d", n, tc.refusals)
			}
		})
	}
}

// TestAdmissionsAreCountedBySize sends a prompt that is served, and one of another size
// that can't be served within its caller's time.
func TestAdmissionsAreCountedBySize(t *testing.T) {
	f := start(t, streamFrom(eventCount), streamFrom(eventCount))
	f.do("POST", "/late/", "b", "Size", "10000,10", "Wait-Ms", "5000")
	f.do("POST", "/late/", "b", "Size", "90000,10", "Wait-Ms", "100")
	for filled, result := range map[string]string{"0-0.5": "admitted", "0.5-1": "no_time"} {
		if n := f.metrics.CounterValue("gateway_admissions", "engines_filled", filled, "result", result); n != 1 {
			t.Errorf("%d decisions %q on prompts that fill %s engines, want 1", n, result, filled)
		}
	}
}
