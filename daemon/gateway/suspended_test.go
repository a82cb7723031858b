package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/boottime"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/gateway"
)

// TestCallEndsIfSuspendedPastDeadline suspends the host while a call waits for its
// server. Timers don't advance meanwhile, so by them the call has 5 s left.
func TestCallEndsIfSuspendedPastDeadline(t *testing.T) {
	var bootTime atomic.Int64
	clock := boottime.New(boottime.WithBootTime(func() (time.Duration, error) { return time.Duration(bootTime.Load()), nil }))
	reached := make(chan struct{})
	f := startWith(t, []gateway.Option{gateway.WithClock(clock)}, func(*http.Request, io.Writer) bool {
		close(reached)
		select {}
	})
	got := make(chan answer)
	sentAt := time.Now()
	go func() { got <- f.do("POST", "/once/", "b") }()
	<-reached
	bootTime.Add(int64(20 * time.Second))
	clock.Refresh()
	f.gateway.Maintain(time.Now())
	if a := <-got; a.status != http.StatusGatewayTimeout || time.Since(sentAt) > 2*time.Second {
		t.Errorf("status %d after %v, want 504 at once", a.status, time.Since(sentAt))
	}
}

// TestNothingIsSentAfterDeadline suspends the host while a call is placed. The clock
// must be read again before the first byte is sent.
func TestNothingIsSentAfterDeadline(t *testing.T) {
	var bootTime atomic.Int64
	clock := boottime.New(boottime.WithBootTime(func() (time.Duration, error) { return time.Duration(bootTime.Load()), nil }))
	f := startWith(t, []gateway.Option{
		gateway.WithClock(clock),
		gateway.WithPlacementHooks(func(schedule.Placement) { bootTime.Add(int64(20 * time.Second)) }, func(schedule.ID) {}, func(schedule.ID) {}),
	}, plainReply(200, "fine"))
	if a := f.do("POST", "/once/", "b"); a.status == http.StatusOK || f.requestCount() > 0 {
		t.Errorf("status %d after %d requests reached the server, want none", a.status, f.requestCount())
	}
}

// TestServerGetsNoTimeThatWasSpentSuspended suspends the host for 2 s of a call's 5 s.
func TestServerGetsNoTimeThatWasSpentSuspended(t *testing.T) {
	var bootTime atomic.Int64
	clock := boottime.New(boottime.WithBootTime(func() (time.Duration, error) { return time.Duration(bootTime.Load()), nil }))
	f := startWith(t, []gateway.Option{
		gateway.WithClock(clock),
		gateway.WithPlacementHooks(func(schedule.Placement) { bootTime.Add(int64(2 * time.Second)) }, func(schedule.ID) {}, func(schedule.ID) {}),
	}, plainReply(200, "fine"))
	if a := f.do("POST", "/once/", "b"); a.status != http.StatusOK {
		t.Fatalf("got %+v", a)
	}
	text := f.servers[0].received()[0].request.Header.Get("Wait-Ms")
	if ms, err := strconv.Atoi(text); err != nil || ms > 3500 {
		t.Errorf("the server may take %q ms, want at most 3500", text)
	}
}
