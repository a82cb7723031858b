package devel_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/changes"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/member"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/node"
	"slipcrank.example/standin/platform"
)

// halls returns which hall each daemon is in.
func halls(f *devel.Fleet) map[string]string {
	out := map[string]string{}
	for _, n := range f.Nodes {
		out[n.Peers()] = n.Loop().View().Self.Hall
	}
	return out
}

func alive(n *node.Node) int {
	count := 0
	for _, m := range n.Loop().View().Members {
		if m.Status == member.Alive {
			count++
		}
	}
	return count
}

func TestHallsCutFromEachOtherServeAndHeal(t *testing.T) {
	var cut atomic.Bool
	var where atomic.Pointer[map[string]string]
	f := start(t, devel.WithDaemons(2), devel.WithEngines(2), devel.WithReach(func(from, to string) bool {
		w := where.Load()
		return !cut.Load() || w == nil || (*w)[from] == (*w)[to]
	}))
	w := halls(f)
	where.Store(&w)
	cut.Store(true)
	eventually(t, "each hall sees the other gone", func() bool {
		for _, n := range f.Nodes {
			if alive(n) != 2 {
				return false
			}
		}
		return true
	})
	for i, n := range f.Nodes {
		if status, body := post(t, n.Callers(), "/v1/completions", "till", prompt(t, "go on", 2, false), nil); status != http.StatusOK {
			t.Errorf("cut off, daemon %d answered %d %s", i, status, body)
		}
	}
	cut.Store(false)
	eventually(t, "all see each other again", func() bool {
		for _, n := range f.Nodes {
			if alive(n) != len(f.Nodes) {
				return false
			}
		}
		return true
	})
}

// TestTemplatesWithoutThePlatform: a hall that can't read the platform gets a
// change from daemons, and a new daemon starts from one.
func TestTemplatesWithoutThePlatform(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(3), devel.WithEngines(1))
	now, _ := f.Nodes[0].Loop().View().Templates.Template("till")
	c, err := changes.New(f.Platform.Raw()).Apply(context.Background(), "x", now.WithUrgency(template.Review), now.Version)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "one daemon has the change", func() bool { return f.Nodes[0].Loop().View().Templates.Number() >= c.Number })
	f.Platform.SetFault(platform.Fault{Down: true})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fresh, err := f.AddDaemon(ctx, "oslo-a")
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "a new daemon and all others have the change while the platform is down", func() bool {
		for _, n := range f.Nodes {
			if n.Loop().View().Templates.Number() < c.Number {
				return false
			}
		}
		return true
	})
	eventually(t, "the new daemon serves", func() bool {
		status, _ := post(t, fresh.Callers(), "/v1/completions", "till", prompt(t, "hello", 2, false), nil)
		return status == http.StatusOK
	})
	_, body := post(t, fresh.Callers(), "/v1/services/issue", "till", "{}",
		map[string]string{"Idempotency-Key": uuid.Must(uuid.NewV7()).String()})
	if kindOf(t, body) != fault.Undecided {
		t.Errorf("an unrepeatable call got %s while the platform is down", body)
	}
}

// TestEngineThatGoesGetsNoWork covers each way in which it can become known
// that an engine leaves or is dead. The bound of the promise is 3 s; the test
// measures it on the run's own clock and leaves room for a busy machine.
func TestEngineThatGoesGetsNoWork(t *testing.T) {
	for name, tc := range map[string]struct {
		down  bool // the platform
		leave func(f *devel.Fleet)
	}{
		"its own word":                {false, func(f *devel.Fleet) { f.Engines[0].Leave() }},
		"its own word, platform down": {true, func(f *devel.Fleet) { f.Engines[0].Leave() }},
		"the host list": {false, func(f *devel.Fleet) {
			hs := append([]hosts.Host(nil), f.Hosts()...)
			for i := range hs {
				if hs[i].Addr == f.EngineAddrs[0] {
					hs[i].Leaving = true
				}
			}
			f.Platform.SetHosts(hs)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(2))
			f.Platform.SetFault(platform.Fault{Down: tc.down})
			tc.leave(f)
			started := time.Now()
			quiet := func() bool { // no daemon would place anything there
				for _, n := range f.Nodes {
					if n.Loop().View().LocalEngines(devel.Model, devel.Version).Len() != 1 {
						return false
					}
				}
				return true
			}
			eventually(t, "no daemon gives the engine work", quiet)
			t.Logf("known to all after %v", time.Since(started).Round(10*time.Millisecond))
			before := f.Engines[0].Totals().Started
			for range 20 {
				for _, n := range f.Nodes {
					if status, body := post(t, n.Callers(), "/v1/completions", "till", prompt(t, "hello", 1, false), nil); status != http.StatusOK {
						t.Fatalf("status %d %s", status, body)
					}
				}
			}
			if after := f.Engines[0].Totals().Started; after != before {
				t.Errorf("the engine got %d more requests", after-before)
			}
		})
	}
}
