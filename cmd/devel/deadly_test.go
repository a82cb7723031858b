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

// TestPromptThatEndsEngines has callers send one deadly prompt to changing daemons
// again and again. Not remembered, it ends all engines, since it is tried on
// another one for each attempt of a daemon and each return of a caller.
func TestPromptThatEndsEngines(t *testing.T) {
	const engines, most = 8, 4
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(3), devel.WithEngines(engines))
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var all sync.WaitGroup
	for n := range f.Nodes {
		all.Go(func() {
			for i := n; ctx.Err() == nil; i++ {
				post(t, f.Nodes[i%len(f.Nodes)].Callers(), "/v1/completions", "till", prompt(t, devel.DeadlyText, 3, true), nil)
				_ = pause.For(ctx, 100*time.Millisecond) // ctx is looked at above
			}
		})
	}
	all.Wait()
	if n := f.EndedEngines(); n < 1 || n > most {
		t.Errorf("%d of %d engines ended under one prompt, want 1 to %d", n, engines, most)
	}
	for i, node := range f.Nodes {
		eventually(t, fmt.Sprintf("daemon %d serves others", i), func() bool {
			status, _ := post(t, node.Callers(), "/v1/completions", "till", prompt(t, "a harmless prompt", 3, true), nil)
			return status == http.StatusOK
		})
	}
}
