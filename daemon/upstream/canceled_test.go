package upstream_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/upstream"
)

// TestNothingIsSentForCallerThatHasGone sends requests on idle connections after their callers have gone,
// as if these had gone while the requests waited for something that doesn't notice it.
func TestNothingIsSentForCallerThatHasGone(t *testing.T) {
	var received atomic.Int64
	addr := serve(t, func(int) string { received.Add(1); return okAnswer })
	p := upstream.New()
	const requests = 50
	for n := range requests {
		if _, err := roundTrip(t, p, addr, request()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		a, err := p.Send(ctx, addr, request())
		if err == nil {
			a.Close()
		}
		if !upstream.NotSent(err) {
			t.Errorf("request %d: got %v, want an error of a request that was not sent", n, err)
		}
	}
	_ = pause.For(t.Context(), 50*time.Millisecond)
	if n := received.Load(); n != requests {
		t.Errorf("%d requests reached the server, want the %d of callers that wait", n, requests)
	}
}
