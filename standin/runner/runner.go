// Package runner is a small stand-in for an application runner: a plain
// service that counts how often each key was run, whoever asks.
//
// # Usage
//
//	r := runner.New(runner.WithDelay(func(key string) time.Duration { return 0 }))
//	addr, err := r.Serve(ctx, "127.0.0.1:0")
//	n := r.Count("key-1")
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"slipcrank.example/standin/listen"
)

type (
	// Runner is the stand-in. Use [New].
	Runner struct {
		delay func(key string) time.Duration
		close func(key string) bool

		mu     sync.Mutex
		counts map[string]int
	}

	// Option changes a runner under construction.
	Option func(*Runner)

	countsReply struct {
		Counts map[string]int `json:"counts"`
	}

	runReply struct {
		Key  string `json:"key"`
		Path string `json:"path"`
		Run  int    `json:"run"`
	}
)

// WithDelay sets a seam for the time that a call takes after it was counted.
func WithDelay(f func(key string) time.Duration) Option { return func(r *Runner) { r.delay = f } }

// WithCloseConn sets a seam that says whether a call is counted and then its
// connection closed with no answer.
func WithCloseConn(f func(key string) bool) Option { return func(r *Runner) { r.close = f } }

// New returns a runner that answers at once.
func New(os ...Option) *Runner {
	r := &Runner{
		delay:  func(string) time.Duration { return 0 },
		close:  func(string) bool { return false },
		counts: map[string]int{},
	}
	for _, o := range os {
		o(r)
	}
	return r
}

// Count returns how often a key was run.
func (r *Runner) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

// Counts returns how often each key was run.
func (r *Runner) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.counts))
	for k, n := range r.counts {
		out[k] = n
	}
	return out
}

// Serve answers HTTP on addr until ctx ends and returns the address it got.
func (r *Runner) Serve(ctx context.Context, addr string) (string, error) {
	return listen.Serve(ctx, addr, r.Handle)
}

// Handle runs one call.
func (r *Runner) Handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == "/control/counts" {
		listen.Reply(c, countsReply{Counts: r.Counts()})
		return
	}
	k := string(c.Request.Header.Peek("Idempotency-Key"))
	r.mu.Lock()
	r.counts[k]++
	n := r.counts[k]
	r.mu.Unlock()
	time.Sleep(r.delay(k))
	if r.close(k) {
		_ = c.Conn().Close()
		return
	}
	listen.Reply(c, runReply{Key: k, Path: string(c.Path()), Run: n})
}
