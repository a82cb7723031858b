package devel_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/prefix"
	"slipcrank.example/core/route"
	"slipcrank.example/standin/engine"
)

// smallEngines returns parameters of engines with so little memory that short
// prompts exceed one engine.
func smallEngines() engine.Params {
	p := engine.DefaultParams()
	p.KVTokens = 4000
	p.ReportLag = 0
	return p
}

// textOfTokens returns a text of n tokens.
func textOfTokens(n int) string { return strings.Repeat("a", n*prefix.BytesPerToken) }

func TestPromptLargerThanOneEngine(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens, status int
	}{
		"fits one engine":                  {1000, http.StatusOK},
		"needs two and a half engines":     {10_000, http.StatusOK},
		"needs nearly all engines":         {14_000, http.StatusOK},
		"needs memory that is kept free":   {15_500, http.StatusRequestEntityTooLarge},
		"needs more than all engines have": {20_000, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(4), devel.WithParams(smallEngines()))
			status, body := post(t, f.Nodes[0].Callers(), "/v1/completions", "ledgers", prompt(t, textOfTokens(tc.tokens), 3, true), nil)
			if status != tc.status {
				t.Fatalf("status %d, want %d: %.200s", status, tc.status, body)
			}
			if tc.status == http.StatusOK && !strings.HasSuffix(body, "data: [DONE]\n\n") {
				t.Errorf("the answer has no end marker: %q", body)
			}
			eventually(t, "all memory is free again", func() bool { return usedTokens(f) == 0 })
		})
	}
}

func TestConcurrentLargePromptsAreServedAndFreeMemory(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(3), devel.WithEngines(4), devel.WithParams(smallEngines()))
	const each = 4
	results := make(chan int, len(f.Nodes)*each)
	for _, n := range f.Nodes {
		for range each {
			go func() {
				status, _ := post(t, n.Callers(), "/v1/completions", "ledgers", prompt(t, textOfTokens(9000), 3, false), nil)
				results <- status
			}()
		}
	}
	for range len(f.Nodes) * each {
		if s := <-results; s != http.StatusOK {
			t.Errorf("a large prompt with time left got status %d", s)
		}
	}
	eventually(t, "all memory is free again", func() bool { return usedTokens(f) == 0 })
}

// TestGroupGetsItsMemoryBesideSteadyTraffic sends a prompt that needs a group while
// requests that fit one engine use all memory again as soon as any is freed.
func TestGroupGetsItsMemoryBesideSteadyTraffic(t *testing.T) {
	p := smallEngines()
	p.StepBase = 20 * time.Millisecond
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(4), devel.WithParams(p))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served atomic.Int64
	for i := range 24 { // together they would use 22,000 of 16,000 tokens
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				status, body := post(t, f.Nodes[i%2].Callers(), "/v1/completions", "captions", prompt(t, textOfTokens(900), 40, false), nil)
				if status != http.StatusOK {
					t.Errorf("a request that fits an engine got %d %.200s", status, body)
				}
				served.Add(1)
			}
		})
	}
	eventually(t, "most memory is in use", func() bool { return usedTokens(f) > 13_000 })
	started := time.Now()
	status, body := post(t, f.Nodes[0].Callers(), "/v1/completions", "ledgers", prompt(t, textOfTokens(9000), 3, false),
		map[string]string{"X-Deadline-Ms": "30000"})
	if status != http.StatusOK {
		t.Errorf("the large prompt got %d %.200s", status, body)
	}
	t.Logf("the large prompt took %v of its 30 s; %d small requests were served meanwhile", time.Since(started).Round(100*time.Millisecond), served.Load())
	close(stop)
	wg.Wait()
	eventually(t, "all memory is free again", func() bool { return usedTokens(f) == 0 })
}

// TestRequestIsNotBlockedByGroupUntilItsDeadline has a group wait for memory that
// long streams use. The free memory, which is reserved for the group, suffices for
// a small request. That request may be delayed by the group, but must be served
// before its deadline.
func TestRequestIsNotBlockedByGroupUntilItsDeadline(t *testing.T) {
	p := smallEngines()
	p.StepBase = 50 * time.Millisecond
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(1), devel.WithEngines(4), devel.WithParams(p))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for range 4 {
		openStream(t, ctx, f.Nodes[0].Callers(), "captions", prompt(t, textOfTokens(800), 1100, true))
	}
	eventually(t, "the streams run", func() bool { return usedTokens(f) >= 4*1900 })
	done := make(chan struct{})
	go func() {
		defer close(done)
		post(t, f.Nodes[0].Callers(), "/v1/completions", "ledgers", prompt(t, textOfTokens(13_000), 3, false), map[string]string{"X-Deadline-Ms": "12000"})
	}()
	small := route.Prompt{Model: devel.Model, Version: devel.Version, Tokens: 900, MaxTokens: 3}
	eventually(t, "all engines are blocked by the group", func() bool {
		small.Deadline = time.Now().Add(4 * time.Second)
		small.Priority = small.Deadline.UnixMilli()
		os := f.Nodes[0].Loop().Offers(ctx, small)
		return len(os) == 4 && !slices.ContainsFunc(os, func(o route.Offer) bool { return !o.BlockedByGroup })
	})
	status, body := post(t, f.Nodes[0].Callers(), "/v1/completions", "manuscripts", prompt(t, textOfTokens(900), 3, false), map[string]string{"X-Deadline-Ms": "4000"})
	if status != http.StatusOK {
		t.Errorf("a request that fits the free memory got %d %.200s", status, body)
	}
	<-done
}

func TestDisconnectedCallerFreesGroupMemory(t *testing.T) {
	p := smallEngines()
	p.StepBase = 50 * time.Millisecond
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(1), devel.WithEngines(4), devel.WithParams(p))
	ctx, cancel := context.WithCancel(context.Background())
	openStream(t, ctx, f.Nodes[0].Callers(), "ledgers", prompt(t, textOfTokens(9000), 500, true))
	eventually(t, "a group uses memory", func() bool { return usedTokens(f) >= 9000 })
	cancel()
	eventually(t, "the group's memory is free again", func() bool { return usedTokens(f) == 0 })
}
