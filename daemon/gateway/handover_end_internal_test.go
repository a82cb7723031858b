package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
)

// TestHandoverThatHasTheStreamIsAwaited guards against calls that end, since their callers left, while another server's events are
// written, and against streams that are given up although another server may have the only run.
func TestHandoverThatHasTheStreamIsAwaited(t *testing.T) {
	for name, tc := range map[string]struct{ claimed, ended, mayContinue, revoked, hasStream bool }{
		"has the stream":                        {true, false, false, false, true},
		"has the stream, the server failed":     {true, false, true, false, true},
		"may get the stream, the server failed": {false, false, true, false, true},
		"has failed, and so has the server":     {false, true, true, false, false},
		"doesn't get the stream, the call ends": {false, false, false, true, false},
		"has failed already, and the call ends": {false, true, false, true, false},
		"has ended with the stream":             {true, true, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			x := &exchange{}
			x.handover = &handover{from: x, cancel: cancel, done: make(chan struct{})}
			x.handover.claimed.Store(tc.claimed)
			if tc.ended {
				close(x.handover.done)
			}
			h := x.settle(tc.mayContinue)
			if h != x.handover || h.revoked != tc.revoked || (ctx.Err() != nil) != tc.revoked || h.isPending() == tc.hasStream {
				t.Errorf("got %p of %p, canceled: %v, has the stream: %t, want revoked: %t", h, x.handover, ctx.Err(), !h.isPending(), tc.revoked)
			}
		})
	}
}

// TestStreamIsNotOfferedForTheTimeOfWriting guards against servers that are left since a caller reads slowly.
func TestStreamIsNotOfferedForTheTimeOfWriting(t *testing.T) {
	x := &exchange{}
	offer := (&Gateway{}).handoverOf(t.Context(), nil, &call{exchange: x}, schedule.Placement{}, backend.Server{})
	x.work.Lock() // while an event is written
	done := make(chan struct{})
	go func() {
		defer close(done)
		offer(outcome{reason: reasonSilent})
	}()
	<-time.After(20 * time.Millisecond) // it waits for the lock
	x.waitsSince = time.Now()
	x.work.Unlock()
	<-done
	if x.handover != nil {
		t.Error("the stream is offered to other servers")
	}
}

// TestPanicWhileWaitingKeepsTheLock guards against the end of the process by an unlock of a lock that isn't held.
func TestPanicWhileWaitingKeepsTheLock(t *testing.T) {
	x, want := &exchange{}, errors.New("fault")
	x.work.Lock()
	func() {
		defer func() {
			if got := recover(); got != want {
				t.Errorf("recovered %v, want %v", got, want)
			}
		}()
		x.await(func() { panic(want) })
	}()
	if x.work.TryLock() {
		t.Error("the lock is not held")
	}
}
