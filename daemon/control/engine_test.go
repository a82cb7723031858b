package control_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/daemon/control"
)

const engineAddr = "127.0.0.1:9000"

// testLoop is a loop whose clock is set by the test.
type testLoop struct {
	t    *testing.T
	now  time.Time
	loop *control.Loop
}

func newTestLoop(t *testing.T, addr string) *testLoop {
	l := &testLoop{t: t, now: time.Unix(1_000_000, 0)}
	self := member.Member{Addr: addr, Hall: "oslo-a", Incarnation: 1}
	l.loop = control.New(self, control.WithClock(func() time.Time { return l.now }))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.loop.Run(ctx)
	return l
}

func (l *testLoop) do(f func(*control.State)) {
	l.t.Helper()
	if !l.loop.Do(context.Background(), f) {
		l.t.Fatal("the loop has ended")
	}
}

// poll applies the same poll result to all due engines and returns their number.
func (l *testLoop) poll(err error) int {
	l.t.Helper()
	polls := 0
	l.do(func(s *control.State) {
		for _, p := range s.DuePolls() {
			polls++
			s.ApplyPoll(control.PollResult{Addr: p.Addr, Err: err, Report: engine.Report{Incarnation: 1, TotalTokens: 1000}})
		}
		s.Tick()
	})
	return polls
}

// TestDownEngineIsRemoved checks that an engine that stays down is removed from
// the directory, and is polled further only while the host list has it.
func TestDownEngineIsRemoved(t *testing.T) {
	errNoAnswer := errors.New("no answer")
	for name, tc := range map[string]struct {
		listed bool // in the host list
		polls  int
	}{
		"not in the host list": {listed: false, polls: 0},
		"in the host list":     {listed: true, polls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLoop(t, "127.0.0.1:7000")
			list := []hosts.Host{{Addr: engineAddr, Hall: "oslo-a", Role: hosts.Engine}}
			l.do(func(s *control.State) { s.SetHosts(list) })
			l.poll(nil)
			if e := l.loop.View().Engines; len(e) != 1 || e[0].Status != directory.Up {
				t.Fatalf("the directory has %v, want one engine that is up", e)
			}
			if !tc.listed {
				l.do(func(s *control.State) { s.SetHosts(nil) })
			}
			l.poll(errNoAnswer)
			l.poll(errNoAnswer)
			var record directory.Engine
			if es := l.loop.View().Engines; len(es) == 1 {
				record = es[0]
			}
			if record.Status != directory.Down {
				t.Fatalf("after two failed polls the engine is %v, want it down", record.Status)
			}
			l.now = l.now.Add(directory.DownRetention)
			l.poll(errNoAnswer)
			// Daemons that remove the engine later still send its record.
			l.do(func(s *control.State) { s.MergeEngines([]directory.Engine{record}) })
			if es := l.loop.View().Engines; len(es) != 0 {
				t.Errorf("after %v down the directory still has %v", directory.DownRetention, es)
			}
			if n := l.poll(errNoAnswer); n != tc.polls {
				t.Errorf("%d engines were polled, want %d", n, tc.polls)
			}
			if es := l.loop.View().Engines; len(es) != 0 {
				t.Errorf("a failed poll added %v to the directory", es)
			}
		})
	}
}

// TestRemovedEngineReturns checks that an engine that comes up again after its
// owner has removed its record is up on all daemons. Another daemon still has
// the engine as down, under a revision above that of the owner's new record.
func TestRemovedEngineReturns(t *testing.T) {
	errNoAnswer := errors.New("no answer")
	owner, other := newTestLoop(t, "127.0.0.1:7000"), newTestLoop(t, "127.0.0.1:7001")
	exchange := func() {
		var a, b control.Gossip
		owner.do(func(s *control.State) { a = s.AllRecords() })
		other.do(func(s *control.State) { b = s.AllRecords() })
		owner.do(func(s *control.State) { s.MergeEngines(b.Engines) })
		other.do(func(s *control.State) { s.MergeEngines(a.Engines) })
	}
	owner.do(func(s *control.State) {
		s.SetHosts([]hosts.Host{{Addr: engineAddr, Hall: "oslo-a", Role: hosts.Engine}})
	})
	owner.poll(nil)
	exchange()
	for range 3 {
		owner.poll(errNoAnswer)
	}
	exchange()
	owner.now = owner.now.Add(directory.DownRetention)
	owner.poll(errNoAnswer)
	owner.poll(nil) // up again, with the same incarnation
	for range 3 {
		exchange()
		owner.poll(nil)
	}
	exchange()
	for name, l := range map[string]*testLoop{"owner": owner, "other": other} {
		if es := l.loop.View().Engines; len(es) != 1 || es[0].Status != directory.Up {
			t.Errorf("the directory of the %s has %v, want one engine that is up", name, es)
		}
	}
}
