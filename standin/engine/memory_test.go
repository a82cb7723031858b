package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/standin/engine"
)

// TestExpiredHoldingAdmitsJobs guards against jobs that stay queued although the
// holding whose memory they need has expired. A holding expires if its owner died or
// its release was lost; no request then tells the engine to continue.
func TestExpiredHoldingAdmitsJobs(t *testing.T) {
	for name, report := range map[string]bool{"no request": false, "load report requested": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := engine.DefaultParams()
				p.KVTokens = 4000
				e := engine.New(engine.WithParams(p), engine.WithCopies(protocol.Copy{Model: "m", Version: "1"}))
				go e.Run(t.Context())
				if err := e.Reserve(protocol.Holding{ID: "group", Tokens: 4000, Expires: 2 * time.Second}); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				out, err := e.Submit(engine.Job{Attempt: "a", Model: "m", Prompt: 900, MaxTokens: 10})
				if err != nil {
					t.Fatal(err)
				}
				if report {
					time.AfterFunc(3*time.Second, func() { e.Report() })
				}
				select {
				case <-out:
				case <-time.After(time.Minute):
				}
				if waited := time.Since(start); waited > 2500*time.Millisecond {
					t.Errorf("the first token came after %v, though the memory was free after 2 s", waited)
				}
			})
		})
	}
}
