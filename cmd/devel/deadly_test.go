package devel_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/pause"
)

// TestPromptThatEndsEngines has callers repeat one deadly prompt at alternating
// daemons. Without a record of the prompt it ends all engines, since each attempt of
// a daemon and each repeat of a caller runs it on another engine.
func TestPromptThatEndsEngines(t *testing.T) {
	const engines, maxEnded = 8, 4
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(3), devel.WithEngines(engines))
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for n := range f.Nodes {
		wg.Go(func() {
			for i := n; ctx.Err() == nil; i++ {
				post(t, f.Nodes[i%len(f.Nodes)].Callers(), "/v1/completions", "till", prompt(t, devel.DeadlyText, 3, true), nil)
				_ = pause.For(ctx, 100*time.Millisecond) // the loop condition checks ctx
			}
		})
	}
	wg.Wait()
	if n := f.EndedEngines(); n < 1 || n > maxEnded {
		t.Errorf("one prompt ended %d of %d engines, want 1 to %d", n, engines, maxEnded)
	}
	for i, node := range f.Nodes {
		eventually(t, fmt.Sprintf("daemon %d serves other prompts", i), func() bool {
			status, _ := post(t, node.Callers(), "/v1/completions", "till", prompt(t, "a harmless prompt", 3, true), nil)
			return status == http.StatusOK
		})
	}
}
