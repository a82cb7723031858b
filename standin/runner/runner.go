// Package runner is a stand-in for an application runner, for tests and the
// development system: a plain service that counts the calls with each idempotency
// key, regardless of the caller.
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
		delay     func(key string) time.Duration
		closeConn func(key string) bool

		mu     sync.Mutex
		counts map[string]int
	}

	// Option configures a [Runner].
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

// WithDelay sets a function that returns the time that a call takes after it has been
// counted.
func WithDelay(f func(key string) time.Duration) Option { return func(r *Runner) { r.delay = f } }

// WithCloseConn sets a function that reports whether the connection of a call is closed
// without a response, after the call has been counted.
func WithCloseConn(f func(key string) bool) Option { return func(r *Runner) { r.closeConn = f } }

// New returns a runner that responds without delay.
func New(os ...Option) *Runner {
	r := &Runner{
		delay:     func(string) time.Duration { return 0 },
		closeConn: func(string) bool { return false },
		counts:    map[string]int{},
	}
	for _, o := range os {
		o(r)
	}
	return r
}

// Count returns the number of calls with a key.
func (r *Runner) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

// Counts returns the number of calls with each key.
func (r *Runner) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.counts))
	for k, n := range r.counts {
		out[k] = n
	}
	return out
}

// Serve starts an HTTP server on addr, which runs until ctx ends, and returns the
// address on which it listens.
func (r *Runner) Serve(ctx context.Context, addr string) (string, error) {
	return listen.Serve(ctx, addr, r.Handle)
}

// Handle counts one call and responds to it. The path /control/counts returns the
// counts instead.
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
	if r.closeConn(k) {
		_ = c.Conn().Close()
		return
	}
	listen.Reply(c, runReply{Key: k, Path: string(c.Path()), Run: n})
}
