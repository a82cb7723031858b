package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
)

// TestPaymentCountsFromWhenItWasAskedFor has a payment take time, as it does while other hosts lend.
func TestPaymentCountsFromWhenItWasAskedFor(t *testing.T) {
	l := decision.New(io.Discard)
	defer l.Close()
	var g *Gateway
	var asked time.Duration
	g = New(Dialect{}, func() State { return State{} }, upstream.New(), schedule.New(1), limit.NewRetryWindow(time.Second, 0, nil), l, telemetry.NewMetrics(),
		WithRetryPayment(func(ctx context.Context, _ string, _ time.Time) (limit.Balance, bool) {
			asked = g.clock.Now()
			return limit.Balance{}, pause.For(ctx, 10*time.Millisecond) == nil
		}))
	c := &call{sent: 1, route: site.Route{Targets: []site.Target{{Service: "plain", Weight: 1}}}}
	if !g.pay(t.Context(), c) || c.paidAt > asked {
		t.Errorf("paid %q at %v, want a payment of %v or before", c.paidService, c.paidAt, asked)
	}
}
