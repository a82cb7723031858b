package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/reach"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
)

// TestDelegatedCallCountsTheTimeToConnect has the connection to another host take 0.2 s of 1 s.
func TestDelegatedCallCountsTheTimeToConnect(t *testing.T) {
	const wait = 200 * time.Millisecond
	l := decision.New(t.Output())
	defer l.Close()
	g := New(Dialect{Deadline: "Wait-Ms"}, func() State { return State{} }, upstream.New(), schedule.New(1), limit.NewRetryWindow(time.Second, 0, nil), l, telemetry.NewMetrics())
	now := time.Now()
	c := &call{
		header: http.Header{}, arrivedAt: now, deadline: now.Add(time.Second), bootDeadline: g.clock.Now() + time.Second,
		progress: g.progresses.add("a", false, now),
	}
	r := g.delegatedRequest(c, State{Config: site.New(1, nil, nil, site.KeysOf(nil), site.Limits{})}, reach.Peer{})
	_ = pause.For(t.Context(), wait)
	if err := r.BeforeSend(); err != nil {
		t.Fatal(err)
	}
	if ms, err := strconv.Atoi(r.Header.Get("Wait-Ms")); err != nil || ms > 800 {
		t.Errorf("the other host may take %q ms, want at most 800", r.Header.Get("Wait-Ms"))
	}
	if d, err := parseDelegation(r.Header.Get(delegationHeader)); err != nil || d.elapsed < wait {
		t.Errorf("the other host learns that %v of the call's time are over, want at least %v (%v)", d.elapsed, wait, err)
	}
}
