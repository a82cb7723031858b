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

const gone = "127.0.0.1:9000"

// clocked is a loop on a clock that the test moves.
type clocked struct {
	t    *testing.T
	now  time.Time
	loop *control.Loop
}

func newClocked(t *testing.T, addr string) *clocked {
	c := &clocked{t: t, now: time.Unix(1_000_000, 0)}
	self := member.Member{Addr: addr, Hall: "oslo-a", Incarnation: 1}
	c.loop = control.New(self, control.WithClock(func() time.Time { return c.now }))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.loop.Run(ctx)
	return c
}

func (c *clocked) do(f func(*control.State)) {
	c.t.Helper()
	if !c.loop.Do(context.Background(), f) {
		c.t.Fatal("the loop has ended")
	}
}

// poll polls all owned engines with one outcome and returns how many there were.
func (c *clocked) poll(err error) int {
	c.t.Helper()
	polls := 0
	c.do(func(s *control.State) {
		for _, p := range s.DuePolls() {
			polls++
			s.ApplyPoll(control.PollResult{Addr: p.Addr, Err: err, Report: engine.Report{Incarnation: 1, TotalTokens: 1000}})
		}
		s.Tick()
	})
	return polls
}

func TestEngineGoneForGoodIsForgotten(t *testing.T) {
	silent := errors.New("no answer")
	for name, tc := range map[string]struct {
		listed bool // whether the host list still has it
		polls  int
	}{
		"gone from the list":           {listed: false, polls: 0},
		"listed, and may come back up": {listed: true, polls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newClocked(t, "127.0.0.1:7000")
			list := []hosts.Host{{Addr: gone, Hall: "oslo-a", Role: hosts.Engine}}
			c.do(func(s *control.State) { s.SetHosts(list) })
			c.poll(nil)
			if e := c.loop.View().Engines; len(e) != 1 || e[0].Status != directory.Up {
				t.Fatalf("the engine is not up: %v", e)
			}
			if !tc.listed {
				c.do(func(s *control.State) { s.SetHosts(nil) })
			}
			c.poll(silent)
			c.poll(silent)
			var record directory.Engine
			if es := c.loop.View().Engines; len(es) == 1 {
				record = es[0]
			}
			if record.Status != directory.Down {
				t.Fatalf("a silent engine is %v", record.Status)
			}
			c.now = c.now.Add(directory.DownLife)
			c.poll(silent)
			// A daemon that forgets later goes on telling of it.
			c.do(func(s *control.State) { s.MergeEngines([]directory.Engine{record}) })
			if es := c.loop.View().Engines; len(es) != 0 {
				t.Errorf("after %v down the directory has %v", directory.DownLife, es)
			}
			if n := c.poll(silent); n != tc.polls {
				t.Errorf("%d engines are polled, want %d", n, tc.polls)
			}
			if es := c.loop.View().Engines; len(es) != 0 {
				t.Errorf("a poll without an answer brought back %v", es)
			}
		})
	}
}

// TestForgottenEngineComesBack lets one daemon forget an engine sooner than
// another, which still has it as down under a higher revision.
func TestForgottenEngineComesBack(t *testing.T) {
	silent := errors.New("no answer")
	owner, other := newClocked(t, "127.0.0.1:7000"), newClocked(t, "127.0.0.1:7001")
	exchange := func() {
		var a, b control.Gossip
		owner.do(func(s *control.State) { a = s.AllRecords() })
		other.do(func(s *control.State) { b = s.AllRecords() })
		owner.do(func(s *control.State) { s.MergeEngines(b.Engines) })
		other.do(func(s *control.State) { s.MergeEngines(a.Engines) })
	}
	owner.do(func(s *control.State) {
		s.SetHosts([]hosts.Host{{Addr: gone, Hall: "oslo-a", Role: hosts.Engine}})
	})
	owner.poll(nil)
	exchange()
	for range 3 {
		owner.poll(silent)
	}
	exchange()
	owner.now = owner.now.Add(directory.DownLife)
	owner.poll(silent)
	owner.poll(nil) // up again, in the same life
	for range 3 {
		exchange()
		owner.poll(nil)
	}
	exchange()
	for name, c := range map[string]*clocked{"owner": owner, "other": other} {
		if es := c.loop.View().Engines; len(es) != 1 || es[0].Status != directory.Up {
			t.Errorf("the %s has %v, want the engine up", name, es)
		}
	}
}
