package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/gateway"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
)

// startWithDial starts a gateway that calls dialing before it opens a connection to a server.
func startWithDial(t *testing.T, dialing func(*fixture), answer reply) *fixture {
	t.Helper()
	f := start(t, answer)
	l := decision.New(io.Discard)
	t.Cleanup(l.Close)
	pool := upstream.New(upstream.WithDial(func(ctx context.Context, addr string) (net.Conn, error) {
		dialing(f)
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}))
	f.gateway = gateway.New(dialect, func() gateway.State { return gateway.State{Config: f.config, Servers: f.view} },
		pool, schedule.New(2), limit.NewRetryWindow(time.Second, 0, func() float64 { return 10 }), l, telemetry.NewMetrics())
	return f
}

// TestServerGetsNoMoreTimeThanIsLeft takes a part of a call's time to open the connection.
func TestServerGetsNoMoreTimeThanIsLeft(t *testing.T) {
	const wait = 300 * time.Millisecond
	f := startWithDial(t, func(*fixture) { _ = pause.For(t.Context(), wait) }, plainReply(200, "fine"))
	a := f.serveWithBody("/once/", func() {}, "Wait-Ms", "1000")
	if a.Code != http.StatusOK {
		t.Fatalf("status %d %s", a.Code, a.Body)
	}
	text := f.servers[0].received()[0].request.Header.Get("Wait-Ms")
	if ms, err := strconv.Atoi(text); err != nil || ms > 700 {
		t.Errorf("the server may take %q ms, want at most 700", text)
	}
}

// TestServerLearnsTheWorkspaceThatHoldsTheKey gives a key to another workspace while the connection is
// opened.
func TestServerLearnsTheWorkspaceThatHoldsTheKey(t *testing.T) {
	f := startWithDial(t, func(f *fixture) {
		route, _ := f.config.Route("shop.example", "/once/")
		f.config = site.New(2, []site.Route{route}, []site.Service{{Name: "plain"}}, site.KeysOf(map[string]site.Workspace{"k1": {Name: "w2"}}), f.config.Limits())
	}, plainReply(200, "fine"))
	if a := f.serveWithBody("/once/", func() {}); a.Code != http.StatusOK {
		t.Fatalf("status %d %s", a.Code, a.Body)
	}
	if w := f.servers[0].received()[0].request.Header.Get("Workspace"); w != "w2" {
		t.Errorf("the server was told the workspace %q, want w2", w)
	}
}
