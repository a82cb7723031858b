package gateway

import (
	"context"
	"testing"
	"time"

	"slipcrank.example/core/backend"
)

// TestLostPathWaitsForNoCall guards against a host that hangs: a call ends its exchange, or writes to a slow caller, while a path is lost.
func TestLostPathWaitsForNoCall(t *testing.T) {
	_, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	open := newExchanges()
	present := newExchange(backend.Server{Service: "engine"}, time.Hour, true, 0, cancel)
	next := newExchange(backend.Server{Service: "engine"}, time.Hour, true, 0, cancel)
	next.pending = &handover{from: present, cancel: cancel}
	next.sent, next.headSent = true, true
	open.add(present)
	open.add(next)
	present.work.Lock() // as sendWatched, until it has removed the exchange
	defer present.work.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		open.leaveUnreached("engine", time.Second, func(backend.Server, time.Duration) bool { return true })
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the lost path waits for a call, and holds up all others")
	}
	open.remove(present)
}
