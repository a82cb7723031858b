package gateway

import (
	"context"
	"errors"
	"testing"
)

// TestHandoverThatHasTheStreamIsAwaited guards against calls that end, since their callers left, while another server's events are written.
func TestHandoverThatHasTheStreamIsAwaited(t *testing.T) {
	for name, tc := range map[string]struct{ claimed, mayContinue, revoked bool }{
		"has the stream":                        {true, false, false},
		"has the stream, the server failed":     {true, true, false},
		"may get the stream":                    {false, true, false},
		"doesn't get the stream, the call ends": {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			x := &exchange{}
			x.handover = &handover{from: x, cancel: cancel}
			x.handover.claimed.Store(tc.claimed)
			if h := x.end(tc.mayContinue); h != x.handover || h.revoked != tc.revoked || (ctx.Err() != nil) != tc.revoked {
				t.Errorf("got %p of %p, canceled: %v, want revoked: %t", h, x.handover, ctx.Err(), tc.revoked)
			}
		})
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
