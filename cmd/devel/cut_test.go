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

// hallsByDaemon returns the hall of each daemon by its peer address.
func hallsByDaemon(f *devel.Fleet) map[string]string {
	out := map[string]string{}
	for _, n := range f.Nodes {
		out[n.Peers()] = n.Loop().View().Self.Hall
	}
	return out
}

// aliveCount returns the number of daemons that n sees alive, itself included.
func aliveCount(n *node.Node) int {
	count := 0
	for _, m := range n.Loop().View().Members {
		if m.Status == member.Alive {
			count++
		}
	}
	return count
}

func TestDisconnectedHallsServeAndReconnect(t *testing.T) {
	var disconnected atomic.Bool
	var hallOf atomic.Pointer[map[string]string]
	f := start(t, devel.WithDaemons(2), devel.WithEngines(2), devel.WithReach(func(from, to string) bool {
		w := hallOf.Load()
		return !disconnected.Load() || w == nil || (*w)[from] == (*w)[to]
	}))
	w := hallsByDaemon(f)
	hallOf.Store(&w)
	disconnected.Store(true)
	eventually(t, "no daemon sees those of the other hall alive", func() bool {
		for _, n := range f.Nodes {
			if aliveCount(n) != 2 {
				return false
			}
		}
		return true
	})
	for i, n := range f.Nodes {
		if status, body := post(t, n.Callers(), "/v1/completions", "till", prompt(t, "go on", 2, false), nil); status != http.StatusOK {
			t.Errorf("while the halls are disconnected, daemon %d answered %d %s", i, status, body)
		}
	}
	disconnected.Store(false)
	eventually(t, "all daemons see each other again", func() bool {
		for _, n := range f.Nodes {
			if aliveCount(n) != len(f.Nodes) {
				return false
			}
		}
		return true
	})
}

// TestTemplateChangeSpreadsWhilePlatformIsDown checks that daemons which can't read
// the platform get a template change from other daemons, and that a new daemon
// starts with the templates of another one.
func TestTemplateChangeSpreadsWhilePlatformIsDown(t *testing.T) {
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
	eventually(t, "all daemons, the new one included, have the change while the platform is down", func() bool {
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
	if errorKind(t, body) != fault.Undecided {
		t.Errorf("an unrepeatable call got %s while the platform is down", body)
	}
}

// TestLeavingEngineGetsNoRequests covers each way in which daemons can learn that
// an engine leaves. The guaranteed bound is 3 s. The test logs the measured time
// and waits longer, since the host may be under load.
func TestLeavingEngineGetsNoRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		down  bool // the platform
		leave func(f *devel.Fleet)
	}{
		"engine reports it":                {false, func(f *devel.Fleet) { f.Engines[0].Leave() }},
		"engine reports it, platform down": {true, func(f *devel.Fleet) { f.Engines[0].Leave() }},
		"host list says so": {false, func(f *devel.Fleet) {
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
			removed := func() bool { // no daemon would place a request on the engine
				for _, n := range f.Nodes {
					if n.Loop().View().LocalEngines(devel.Model, devel.Version).Len() != 1 {
						return false
					}
				}
				return true
			}
			eventually(t, "no daemon places requests on the engine", removed)
			t.Logf("known to all daemons after %v", time.Since(started).Round(10*time.Millisecond))
			before := f.Engines[0].Totals().Started
			for range 20 {
				for _, n := range f.Nodes {
					if status, body := post(t, n.Callers(), "/v1/completions", "till", prompt(t, "hello", 1, false), nil); status != http.StatusOK {
						t.Fatalf("status %d %s", status, body)
					}
				}
			}
			if after := f.Engines[0].Totals().Started; after != before {
				t.Errorf("the leaving engine got %d more requests", after-before)
			}
		})
	}
}
