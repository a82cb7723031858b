package gateway

import (
	"context"
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
			x.handover = &handover{from: x, cancel: cancel, claimed: tc.claimed}
			if h := x.end(tc.mayContinue); h != x.handover || h.revoked != tc.revoked || (ctx.Err() != nil) != tc.revoked {
				t.Errorf("got %p of %p, canceled: %v, want revoked: %t", h, x.handover, ctx.Err(), tc.revoked)
			}
		})
	}
}
