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
			g, c, s := newDelegating(t)
			c.route = tc.route
			addr := other.Listener.Addr().(*net.TCPAddr).String()
			w := httptest.NewRecorder()
			if out := g.sendToPeer(t.Context(), w, c, s, reach.Peer{Addr: addr}); out.result != answered || w.Body.String() != events {
				t.Errorf("got %q, %s %v, want the whole answer", w.Body, out.reason, out.err)
			}
		})
	}
}

// newDelegating returns a gateway that delegates to hosts that aren't alive, and a call of it.
func newDelegating(t *testing.T) (*Gateway, *call, State) {
	t.Helper()
	l := decision.New(t.Output())
	t.Cleanup(l.Close)
	s := State{Config: site.New(1, nil, nil, site.KeysOf(nil), site.Limits{}), Servers: backend.NewRegistry().View(0)}
	g := New(Dialect{Deadline: "Wait-Ms"}, func() State { return s }, upstream.New(), schedule.New(1), limit.NewRetryWindow(time.Second, 0, nil), l, telemetry.NewMetrics(),
		WithDelegation(Delegation{
			Pool: upstream.New(), Alive: func(uint32) bool { return false },
			Peers: func([]string) []reach.Peer { return nil }, Lost: func(uint32, string) bool { return false }, PathChanged: func() {},
		}))
	now := time.Now()
	return g, &call{
		method: http.MethodPost, target: "/", host: "a", header: http.Header{}, buffer: &bodyBuffer{buffers: g.buffers},
		arrivedAt: now, deadline: now.Add(time.Minute), bootDeadline: g.clock.Now() + time.Minute, progress: g.progresses.add("a", false, now),
	}, s
}

// TestRefusalOfOtherHostClaimsNothingOfEarlierRuns: a host knows only whether it has sent a call itself.
func TestRefusalOfOtherHostClaimsNothingOfEarlierRuns(t *testing.T) {
	for name, tc := range map[string]struct {
		origin  origin
		status  int
		ran     bool
		want    int
		wantRan bool
	}{
		"not run":                     {originFleet, 503, false, 503, false},
		"not run, for other reasons":  {originHost, 503, false, 503, false},
		"ran before":                  {originFleet, 503, true, 502, true},
		"ran before, too many":        {originFleet, 429, true, 502, true},
		"ran before, for other hosts": {originHost, 503, true, 502, true},
		"ran at the other host":       {originFleet, 502, false, 502, true},
	} {
		t.Run(name, func(t *testing.T) {
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(delegationHeader, report{origin: tc.origin, sent: 1, version: 1}.String())
				w.WriteHeader(tc.status)
				_, _ = fmt.Fprint(w, `{"error":{"kind":"queue_too_long"}}`)
			}))
			defer other.Close()
			g, c, s := newDelegating(t)
			c.mayHaveRun, c.sent = tc.ran, 1
			out := g.sendToPeer(t.Context(), httptest.NewRecorder(), c, s, reach.Peer{Addr: other.Listener.Addr().(*net.TCPAddr).String()})
			w := httptest.NewRecorder()
			g.finishFailed(w, c, out)
			if w.Code != tc.want || c.mayHaveRun != tc.wantRan {
				t.Errorf("the caller got %d, may have run %t, want %d, %t", w.Code, c.mayHaveRun, tc.want, tc.wantRan)
			}
		})
	}
}

// TestHostThatHearsNoServerDelegatesAtOnce guards against calls that wait or are refused at a host without a path, whose own service has not failed yet.
func TestHostThatHearsNoServerDelegatesAtOnce(t *testing.T) {
	servers := backend.NewRegistry()
	for n := range int64(3) {
		servers.Put(backend.Server{ID: fmt.Sprint("down", n), Service: "engine", Hall: "hall-a", Addr: "a", Slots: 1}, n+1)
	}
	servers.Put(backend.Server{ID: "quiet", Service: "plain", Hall: "hall-b", Addr: "b", Slots: 1}, 9)
	view := servers.View(0)
	for name, tc := range map[string]struct {
		failing int // servers of the other service
		heard   bool
		want    bool
	}{
		"no evidence":                           {0, false, false},
		"two servers of another service fail":   {2, false, false},
		"all servers of another service fail":   {3, false, true},
		"the same, and its own server is heard": {3, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			g, c, s := newDelegating(t)
			s.Servers = view
			g.state = func() State { return s }
			c.route = site.Route{Kind: site.Repeatable, Targets: []site.Target{{Service: "plain", Weight: 1}}}
			for n := range tc.failing {
				g.reach.NotOpened("engine@hall-a", fmt.Sprint("down", n), reach.Listed{Group: 3, All: 4}, g.clock.Now())
			}
			<-time.After(150 * time.Millisecond) // none is heard meanwhile
			if tc.heard {
				g.reach.Heard("plain@hall-b", "quiet", g.clock.Now())
			}
			if got := g.needsPeer(c, s); got != tc.want {
				t.Errorf("needs another host: %v, want %v", got, tc.want)
			}
		})
	}
}
