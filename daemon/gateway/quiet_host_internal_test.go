package gateway

import (
	"fmt"
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

// TestQuietHostDoesNotCutStream has the host that serves a delegated stream send nothing else for a while,
// so that it looks gone.
func TestQuietHostDoesNotCutStream(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(delegationHeader, report{origin: originServer, attempts: 1, sent: 1, version: 1}.String())
		w.Header().Set("Content-Type", eventStreamType)
		_, _ = fmt.Fprint(w, events[:len(events)/2])
		_ = http.NewResponseController(w).Flush()
		<-time.After(silentHostTimeout + time.Second)
		_, _ = fmt.Fprint(w, events[len(events)/2:])
	}))
	defer other.Close()
	l := decision.New(t.Output())
	defer l.Close()
	g := New(Dialect{Deadline: "Wait-Ms"}, func() State { return State{} }, upstream.New(), schedule.New(1), limit.NewRetryWindow(time.Second, 0, nil), l, telemetry.NewMetrics(),
		WithDelegation(Delegation{
			Pool: upstream.New(), Alive: func(uint32) bool { return false },
			Peers: func([]string) []reach.Peer { return nil }, Lost: func(uint32, string) bool { return false }, PathChanged: func() {},
		}))
	now := time.Now()
	c := &call{
		method: http.MethodPost, target: "/", host: "a", header: http.Header{}, route: site.Route{Kind: site.Stream, Resume: true},
		arrivedAt: now, deadline: now.Add(time.Minute), bootDeadline: time.Minute, progress: g.progresses.add("a", false, now),
	}
	addr := other.Listener.Addr().(*net.TCPAddr).String()
	s := State{Config: site.New(1, nil, nil, site.KeysOf(nil), site.Limits{}), Servers: backend.NewRegistry().View(0)}
	w := httptest.NewRecorder()
	if out := g.sendToPeer(t.Context(), w, c, s, reach.Peer{Addr: addr}); out.result != answered || w.Body.String() != events {
		t.Errorf("got %q, %s %v, want all events", w.Body, out.reason, out.err)
	}
}
