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

// TestQuietHostDoesNotCutAnswer has the host that serves a delegated call send nothing else for a while, so that it looks gone.
func TestQuietHostDoesNotCutAnswer(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, tc := range map[string]struct {
		route       site.Route
		contentType string
		before      int // bytes that are sent before the silence
	}{
		"stream that has begun":        {site.Route{Kind: site.Stream, Resume: true}, eventStreamType, len(events) / 2},
		"call that can't be repeated":  {site.Route{Kind: site.Once}, "text/plain", 0},
		"stream that can't be resumed": {site.Route{Kind: site.Stream}, eventStreamType, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(delegationHeader, report{origin: originServer, attempts: 1, sent: 1, version: 1}.String())
				w.Header().Set("Content-Type", tc.contentType)
				if tc.before > 0 {
					_, _ = fmt.Fprint(w, events[:tc.before])
					_ = http.NewResponseController(w).Flush()
				}
				<-time.After(silentHostTimeout + time.Second)
				_, _ = fmt.Fprint(w, events[tc.before:])
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
				method: http.MethodPost, target: "/", host: "a", header: http.Header{}, route: tc.route, buffer: &bodyBuffer{buffers: g.buffers},
				arrivedAt: now, deadline: now.Add(time.Minute), bootDeadline: time.Minute, progress: g.progresses.add("a", false, now),
			}
			addr := other.Listener.Addr().(*net.TCPAddr).String()
			s := State{Config: site.New(1, nil, nil, site.KeysOf(nil), site.Limits{}), Servers: backend.NewRegistry().View(0)}
			w := httptest.NewRecorder()
			if out := g.sendToPeer(t.Context(), w, c, s, reach.Peer{Addr: addr}); out.result != answered || w.Body.String() != events {
				t.Errorf("got %q, %s %v, want the whole answer", w.Body, out.reason, out.err)
			}
		})
	}
}
