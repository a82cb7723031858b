package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
)

// TestLostPathCutsNoStreamThatCanNotBeResumed has the path to a server get lost during a stream.
func TestLostPathCutsNoStreamThatCanNotBeResumed(t *testing.T) {
	const heard = time.Second
	for name, tc := range map[string]struct {
		headSent, mayResume bool
		heardAfter          time.Duration // while it was found out whether the stream may be resumed
		canceled            bool
	}{
		"nothing sent to the caller":            {false, false, heard, true},
		"stream that can't be resumed":          {true, false, heard, false},
		"stream that can be resumed":            {true, true, heard, true},
		"stream that goes on before it resumes": {true, true, 2 * heard, false},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			x := newExchange(backend.Server{Service: "engine"}, time.Hour, true, heard, cancel)
			x.mayResume = func() bool {
				x.setHeard(tc.heardAfter)
				return tc.mayResume
			}
			if err := x.beginSending(); err != nil {
				t.Fatal(err)
			}
			if tc.headSent {
				x.setHeadSent()
			}
			open := newExchanges()
			open.add(x)
			open.cancelUnheard("engine", heard)
			for isLeaving(x) {
				<-time.After(time.Millisecond)
			}
			if got := errors.Is(context.Cause(ctx), errPathLost); got != tc.canceled {
				t.Errorf("canceled %v, want %v", got, tc.canceled)
			}
		})
	}
}

func isLeaving(x *exchange) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.leaving
}
