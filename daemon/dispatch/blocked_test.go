package dispatch

import (
	"context"
	"testing"
	"time"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/member"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/control"
)

// TestRequestThatIsBlockedWhileItWaitsIsRefused has a request wait to be placed under which engines have crashed.
func TestRequestThatIsBlockedWhileItWaitsIsRefused(t *testing.T) {
	for name, wait := range map[string]func(*run, context.Context) error{
		"for an engine without suspects": func(x *run, ctx context.Context) error { _, err := x.placeIsolated(ctx, "a"); return err },
		"for a group of engines":         func(x *run, ctx context.Context) error { _, err := x.reserveGroup(ctx, "a"); return err },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			l := control.New(member.Member{Addr: "self", Hall: "h", Incarnation: 1})
			go l.Run(ctx)
			x := &run{Dispatcher: New(l, nil, nil), request: Request{Path: "/deadly"}, excluded: map[string]bool{}}
			for n := range uint32(9) {
				crash := quarantine.Crash{Server: n, Reporter: 1, Isolated: true, Confirmed: true}
				x.suspects.registry.AddCrash(x.request.quarantineRequest().Identity(), crash, x.suspects.clock.Now())
			}
			if err := wait(x, ctx); !fault.Is(err, fault.EndsEngines) {
				t.Errorf("got %v, want a fault of kind %s", err, fault.EndsEngines)
			}
		})
	}
}
