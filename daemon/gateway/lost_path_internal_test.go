package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
)

// TestLostPathEndsNoStreamThatMayGoOn has the path to a server get lost, or seem so, during a stream.
func TestLostPathEndsNoStreamThatMayGoOn(t *testing.T) {
	const heard = time.Second
	pending, alone := &handover{from: &exchange{}}, &handover{from: &exchange{}}
	alone.from.ended.Store(true)
	for name, tc := range map[string]struct {
		headSent          bool
		pending           *handover
		heardAfter        time.Duration
		reached           bool
		canceled, offered bool
	}{
		"nothing sent to the caller":         {false, nil, heard, false, true, false},
		"stream that has begun":              {true, nil, heard, false, false, true},
		"stream that goes on":                {true, nil, 2 * heard, false, false, false},
		"server to which a stream may move":  {true, pending, heard, false, true, false},
		"server that alone has the stream":   {true, alone, heard, false, false, true},
		"server that is reached":             {false, nil, heard, true, false, false},
		"stream of a server that is reached": {true, nil, heard, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			x := newExchange(backend.Server{Service: "engine"}, time.Hour, true, heard, cancel)
			offered := make(chan outcome, 1)
			x.handOver, x.pending = func(why outcome) { offered <- why }, tc.pending
			if err := x.beginSending(); err != nil {
				t.Fatal(err)
			}
			if tc.headSent {
				x.setHeadSent()
			}
			x.setHeard(tc.heardAfter)
			open := newExchanges()
			open.add(x)
			unreached := func(_ backend.Server, since time.Duration) bool { return !tc.reached && since == tc.heardAfter }
			if unknown := open.leaveUnreached("engine", heard, unreached); (len(unknown) == 1) != tc.reached {
				t.Errorf("servers to probe: %v", unknown)
			}
			if tc.offered {
				if why := <-offered; why.reason != reasonPathLost {
					t.Errorf("offered to other servers since %s", why.reason)
				}
			}
			if got := errors.Is(context.Cause(ctx), errPathLost); got != tc.canceled || len(offered) > 0 {
				t.Errorf("canceled %v, want %v; offered again: %v", got, tc.canceled, len(offered) > 0)
			}
		})
	}
}

// TestLostPathWaitsForNoSlowCaller has a caller read slowly, whose stream is offered to another server, when the path seems lost.
func TestLostPathWaitsForNoSlowCaller(t *testing.T) {
	from := &exchange{}
	from.work.Lock() // while an event is written to the caller
	defer from.work.Unlock()
	ctx, cancel := context.WithCancelCause(t.Context())
	x := newExchange(backend.Server{Service: "engine"}, time.Hour, true, 0, cancel)
	x.pending = &handover{from: from}
	if err := x.beginSending(); err != nil {
		t.Fatal(err)
	}
	x.setHeadSent()
	open := newExchanges()
	open.add(x)
	go open.leaveUnreached("engine", 0, func(backend.Server, time.Duration) bool { return true })
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
		t.Error("the calls of all servers wait for a slow caller")
	}
}
