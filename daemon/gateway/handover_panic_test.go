package gateway_test

import (
	"context"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/daemon/gateway"
)

// TestPanicInHandoverEndsNoProcess guards against a fault in one call that ends all: net/http recovers in the handler's goroutine only.
func TestPanicInHandoverEndsNoProcess(t *testing.T) {
	pay := gateway.WithRetryPayment(func(context.Context, string, time.Time) (limit.Balance, bool) { panic("while paying") })
	f := startWith(t, []gateway.Option{pay}, streamWithSilence, streamWithSilence)
	if a := f.do("POST", "/wait/", "b", "Size", "1000,10"); a.err != nil || a.body != allEvents() || f.requestCount() != 1 {
		t.Errorf("error %v, got %q after %d runs, want all events after 1", a.err, a.body, f.requestCount())
	}
}
