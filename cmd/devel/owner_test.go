package devel_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/daemon/node"
	"slipcrank.example/daemon/settings"
)

// TestRequestsAreServedWhileEngineOwnerChanges ends the owner of the only engine,
// gracefully or at once, and sends requests to the other daemon until it owns the
// engine. The poll period is so long that the new owner has to use the engine before
// its next regular poll.
func TestRequestsAreServedWhileEngineOwnerChanges(t *testing.T) {
	for name, end := range map[string]func(*node.Node) error{
		"graceful stop": func(n *node.Node) error { return n.Stop(context.Background()) },
		"crash":         func(n *node.Node) error { n.Close(); return nil },
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(1),
				devel.WithSettings(func(s settings.Settings) settings.Settings {
					s.Periods.EnginePoll = 5 * time.Second
					return s
				}))
			owner, other := f.Nodes[0], f.Nodes[1]
			if other.Loop().View().Owner(f.EngineAddrs[0]) == other.Peers() {
				owner, other = other, owner
			}
			if err := end(owner); err != nil {
				t.Fatal(err)
			}
			moved := func() bool { return other.Loop().View().Owner(f.EngineAddrs[0]) == other.Peers() }
			for sent := 0; sent < 5; { // number of requests sent since the other daemon owns the engine
				if moved() {
					sent++
				}
				if status, body := post(t, other.Callers(), "/v1/completions", "till", prompt(t, "go on", 1, false), nil); status != http.StatusOK {
					t.Fatalf("the other daemon answered %d %s; it owns the engine: %v", status, body, moved())
				}
			}
		})
	}
}
