package gateway_test

import (
	"strconv"
	"testing"
	"time"

	"slipcrank.example/core/schedule"
)

// TestLateStreamIsTakenAtOnce has a route whose objective nothing can meet.
func TestLateStreamIsTakenAtOnce(t *testing.T) {
	f := start(t, streamFrom(events))
	a := f.ask("POST", "/late/", "b", "Size", "10000,10", "Wait-Ms", "5000")
	if a.status != 200 || a.body != allEvents() || f.runs() != 1 {
		t.Errorf("status %d, body %q after %d runs, want the whole stream after 1", a.status, a.body, f.runs())
	}
}

// TestStreamThatDisplacesMoreIsRefused has each engine read long prompts of
// another host, for 0.5 s: its caller may come back after that, and what its own
// prompt needs. How much time a caller has left tells nothing of whether it was
// here before, and changes nothing but when it may come back.
func TestStreamThatDisplacesMoreIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		busy        bool
		wait        string // that the caller has left, of 5 s
		status      int
		least, most float64 // seconds until it may come back
	}{
		"idle engines":            {false, "5000", 200, 0, 0},
		"busy ones":               {true, "5000", 503, 0.6, 1.5},
		"busy ones, less time":    {true, "4000", 503, 0.6, 1.2},
		"idle engines, less time": {false, "4000", 200, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, streamFrom(events), streamFrom(events))
			for n, id := range []string{"e0", "e1"} {
				if tc.busy {
					f.board.AddRemote(schedule.Placement{
						ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: "engine", Lead: id,
						Work: schedule.Work{Prompt: 20_000, Answer: 10}, Gap: time.Minute, FirstToken: time.Minute,
					})
					f.board.AddRemote(schedule.Placement{
						ID: schedule.ID{Host: 3, Number: uint32(n)}, Service: "engine", Lead: id,
						Work: schedule.Work{Prompt: 32_000, Answer: 10}, Gap: time.Minute, FirstToken: time.Minute,
					})
				}
			}
			a := f.ask("POST", "/late/", "b", "Size", "35000,10", "Wait-Ms", tc.wait)
			if a.status != tc.status {
				t.Fatalf("status %d, want %d", a.status, tc.status)
			}
			if tc.status == 200 {
				return
			}
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			if err != nil || after < tc.least || after > tc.most {
				t.Errorf("come back after %q s, want %v to %v", a.header.Get("Retry-After"), tc.least, tc.most)
			}
			if f.runs() != 0 {
				t.Error("a refused stream has run")
			}
		})
	}
}

// TestStreamThatCallersWouldLeaveIsRefused has engines that read for others
// for longer than callers wait for a first event.
func TestStreamThatCallersWouldLeaveIsRefused(t *testing.T) {
	f := start(t, streamFrom(events))
	for n := range 2 {
		f.board.AddRemote(schedule.Placement{
			ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: "engine", Lead: "e0",
			Work: schedule.Work{Prompt: 130_000, Answer: 10}, FirstToken: time.Minute,
			MemoryShares: []schedule.MemoryShare{{Server: "elsewhere", Tokens: 130_000}},
		})
	}
	a := f.ask("POST", "/late/", "b", "Size", "1000,10", "Wait-Ms", "30000")
	if a.status != 503 || f.runs() != 0 {
		t.Fatalf("status %d after %d runs, want 503 after none", a.status, f.runs())
	}
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || after <= 0 || after > 1.5 {
		t.Errorf("come back after %q s, want up to a third of the route's 5 s", a.header.Get("Retry-After"))
	}
}

func TestMemoryThatIsNeverThereEndsInARefusal(t *testing.T) {
	f := start(t, streamFrom(events), streamFrom(events))
	a := f.ask("POST", "/late/", "b", "Size", "150000,10", "Wait-Ms", "4500")
	if a.status != 503 || f.runs() != 0 {
		t.Errorf("status %d after %d runs, want 503 after none", a.status, f.runs())
	}
	if n := f.reserved.Load(); n < 1 || n > 10 {
		t.Errorf("memory was asked for %d times", n)
	}
}

// TestWorkspaceIsHeldToItsShare has engines that are busy for one workspace: its
// own caller is refused, where one of a workspace that has nothing there is not.
func TestWorkspaceIsHeldToItsShare(t *testing.T) {
	for name, tc := range map[string]struct {
		holder string // whose prompts the engines read
		status int
		counts int64
	}{
		"its own prompts": {"w1", 503, 1},
		"of another one":  {"w2", 200, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, streamFrom(events), streamFrom(events))
			for n, id := range []string{"e0", "e1"} {
				for host, p := range map[uint32]schedule.Placement{
					2: {Work: schedule.Work{Prompt: 40_000, Answer: 10}, Workspace: schedule.HashWorkspace(tc.holder)},
					3: {Work: schedule.Work{Prompt: 12_000, Answer: 10}, Workspace: schedule.HashWorkspace("w3")},
				} {
					p.ID, p.Service, p.Lead = schedule.ID{Host: host, Number: uint32(n)}, "engine", id
					p.Gap, p.FirstToken = time.Minute, time.Minute
					f.board.AddRemote(p)
				}
			}
			a := f.ask("POST", "/read/", "b", "Size", "37000,10", "Wait-Ms", "5000")
			if a.status != tc.status {
				t.Errorf("status %d, want %d", a.status, tc.status)
			}
			if n := f.metrics.Counted("gateway_over_share", "workspace", "w1"); n != tc.counts {
				t.Errorf("counted %d times, want %d", n, tc.counts)
			}
		})
	}
}
