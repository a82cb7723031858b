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

// TestDelegatedPaymentKeepsItsAge delegates a call some time after its retry was paid.
func TestDelegatedPaymentKeepsItsAge(t *testing.T) {
	const span = 10 * time.Second
	for name, tc := range map[string]struct {
		age  time.Duration
		paid string
	}{
		"paid just now":       {0, "plain"},
		"paid a while ago":    {span / 20, "plain"},
		"paid too long ago":   {span / 5, ""},
		"paid before a delay": {span/10 + time.Millisecond, ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := decision.New(t.Output())
			defer l.Close()
			g := New(Dialect{}, func() State { return State{} }, upstream.New(), schedule.New(1), limit.NewRetryWindow(span, 0, nil), l, telemetry.NewMetrics())
			c := &call{sent: 1, paidService: "plain", paidAt: g.clock.Now() - tc.age, arrivedAt: time.Now()}
			d, err := parseDelegation(g.describe(c, State{Config: site.New(1, nil, nil, site.KeysOf(nil), site.Limits{})}).String())
			if err != nil || d.paid != tc.paid || d.paidAge < tc.age.Truncate(time.Millisecond) && tc.paid != "" {
				t.Errorf("the other host learns of a payment to %q that is %v old (%v), want %q and %v", d.paid, d.paidAge, err, tc.paid, tc.age)
			}
		})
	}
}
