package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/reach"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
)

// TestStoppingHostIsAskedLast has another host refuse a call since it stops, and asks for a host for the next calls.
func TestStoppingHostIsAskedLast(t *testing.T) {
	stopping := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(delegationHeader, report{origin: originHost}.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"error":{"kind":"stopping"}}`))
	}))
	defer stopping.Close()
	first := reach.Peer{Number: 1, Addr: stopping.Listener.Addr().(*net.TCPAddr).String()}
	l := decision.New(t.Output())
	defer l.Close()
	g := New(Dialect{Deadline: "Wait-Ms"}, func() State { return State{} }, upstream.New(), schedule.New(1), limit.NewRetryWindow(time.Second, 0, nil), l, telemetry.NewMetrics(),
		WithDelegation(Delegation{
			Pool: upstream.New(), Alive: func(uint32) bool { return true }, Lost: func(uint32, string) bool { return false }, PathChanged: func() {},
			Peers: func([]string) []reach.Peer { return []reach.Peer{first, {Number: 2}} },
		}))
	g.raiseServedVersion(2) // the configuration below is older, so all calls go to other hosts
	s := State{Config: site.New(1, nil, nil, site.KeysOf(nil), site.Limits{}), Servers: backend.NewRegistry().View(0)}
	newCall := func() *call {
		now := time.Now()
		return &call{
			method: http.MethodPost, target: "/", host: "a", header: http.Header{}, delegations: map[uint32]bool{}, buffer: &bodyBuffer{buffers: g.buffers},
			arrivedAt: now, deadline: now.Add(time.Minute), bootDeadline: time.Minute, progress: g.progresses.add("a", false, now),
		}
	}
	if p, _ := g.pickPeer(newCall(), s); p.Number != 1 {
		t.Fatalf("host %d is asked at first, want 1", p.Number)
	}
	if out := g.sendToPeer(t.Context(), httptest.NewRecorder(), newCall(), s, first); out.result != unsent {
		t.Fatalf("got %s %v, want a refusal", out.reason, out.err)
	}
	c := newCall()
	for _, want := range []uint32{2, 1} {
		p, ok := g.pickPeer(c, s)
		if !ok || p.Number != want {
			t.Errorf("host %d is asked, want %d", p.Number, want)
		}
		c.delegations[p.Number] = true
	}
}
