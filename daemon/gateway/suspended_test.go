package gateway_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/boottime"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/gateway"
)

// TestSuspendedPastTheDeadline suspends the machine while a call waits for its
// server. Timers stand still meanwhile: by them the call has 5 s left.
func TestSuspendedPastTheDeadline(t *testing.T) {
	var boot atomic.Int64
	clock := boottime.New(boottime.WithBoot(func() (time.Duration, error) { return time.Duration(boot.Load()), nil }))
	reached := make(chan struct{})
	f := startWith(t, []gateway.Option{gateway.WithClock(clock)}, func(*http.Request, io.Writer) bool {
		close(reached)
		select {}
	})
	got := make(chan answer)
	begun := time.Now()
	go func() { got <- f.ask("POST", "/once/", "b") }()
	<-reached
	boot.Add(int64(20 * time.Second))
	clock.Refresh()
	f.gateway.Maintain(time.Now())
	if a := <-got; a.status != http.StatusGatewayTimeout || time.Since(begun) > 2*time.Second {
		t.Errorf("status %d after %v, want 504 at once", a.status, time.Since(begun))
	}
}

// TestNothingIsSentPastTheDeadline suspends the machine as a call is placed: the
// clock is asked again before the first byte leaves.
func TestNothingIsSentPastTheDeadline(t *testing.T) {
	var boot atomic.Int64
	clock := boottime.New(boottime.WithBoot(func() (time.Duration, error) { return time.Duration(boot.Load()), nil }))
	f := startWith(t, []gateway.Option{
		gateway.WithClock(clock),
		gateway.WithPlacementHooks(func(schedule.Placement) { boot.Add(int64(20 * time.Second)) }, func(schedule.ID) {}, func(schedule.ID) {}),
	}, plain(200, "fine"))
	if a := f.ask("POST", "/once/", "b"); a.status == http.StatusOK || f.runs() > 0 {
		t.Errorf("status %d, and %d requests reached the server", a.status, f.runs())
	}
}
