package main_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"slipcrank.example/core/pause"
)

// TestRestartedHostAnswersItsFirstRequests guards against requests that are cut in the first moments of a process, also if it is stopped at once.
func TestRestartedHostAnswersItsFirstRequests(t *testing.T) {
	const callers = 20
	w := startStopWorld(t, stopKind{hosts: 3, grace: shortGrace})
	var hosts sync.WaitGroup
	for n, h := range w.hosts {
		rnd := rand.New(rand.NewPCG(*stopSeed, uint64(n)))
		hosts.Go(func() {
			for range *stopCount {
				h.stopTwice(t, rnd, callers)
			}
		})
	}
	hosts.Wait()
	total, statuses := 0, map[int]int{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		total++
		statuses[r.status]++
		runs := w.runsOf(r.id)
		unread := len(runs) == 0 && (r.lastByte.IsZero() || r.end.Sub(r.lastByte) <= unreadSlack)
		if !r.whole && !unread {
			t.Errorf("%s got status %d and no whole answer %v after its last byte, runs %v: %v", r.id, r.status, r.end.Sub(r.lastByte), runs, r.err)
		}
	}
	t.Log(total, "requests by status", statuses)
	if statuses[200] == 0 || statuses[503] == 0 {
		t.Error("want requests that are served, and others that come before the first configuration")
	}
}

// stopTwice stops a host, starts it, and stops it again right after its port has been opened, while
// callers send requests as soon as they can.
func (h *stopHost) stopTwice(t *testing.T, rnd *rand.Rand, callers int) {
	if s := h.stop(nil, 0); s.err != nil {
		t.Errorf("the daemon exited with %v", s.err)
	}
	ctx, cancel := context.WithCancel(h.w.ctx)
	var sending sync.WaitGroup
	for n := range callers {
		r, name := rand.New(rand.NewPCG(rnd.Uint64(), 0)), fmt.Sprintf("%s-%d-%d", h.name, n, rnd.Uint32())
		sending.Go(func() { h.sendUntil(ctx, r, name) })
	}
	if err := h.start(); err != nil {
		t.Error(err)
	}
	h.waitUntilOpen()
	_ = pause.For(h.w.ctx, between(rnd, 0, 500*time.Millisecond))
	if s := h.stop(nil, 0); s.err != nil || s.exited.After(s.signalled.Add(h.w.grace)) {
		t.Errorf("the daemon exited %v after SIGTERM with %v", s.exited.Sub(s.signalled), s.err)
	}
	cancel()
	sending.Wait()
	if err := h.start(); err != nil {
		t.Error(err)
		return
	}
	if err := h.waitUntilServing(); err != nil {
		t.Error(err)
	}
}

// sendUntil sends requests to the host, one after the other, until ctx ends.
func (h *stopHost) sendUntil(ctx context.Context, r *rand.Rand, name string) {
	c := &stopCaller{w: h.w, name: name}
	defer c.close()
	for ctx.Err() == nil {
		kind := []string{"stream", "once", "call"}[r.IntN(3)]
		c.send(h, stopWork{path: fmt.Sprintf("/%s/%d/20/", kind, between(r, 10*time.Millisecond, 600*time.Millisecond).Milliseconds())})
		_ = pause.For(ctx, between(r, time.Millisecond, 10*time.Millisecond)) // also while nothing listens
	}
}
