package gateway

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/reach"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
)

// startCheck returns a gateway with two servers of one service, to which it connects with dial.
func startCheck(t *testing.T, dial func(ctx context.Context, addr string) (net.Conn, error)) *Gateway {
	t.Helper()
	l := decision.New(t.Output())
	t.Cleanup(l.Close)
	servers := backend.NewRegistry()
	for n, id := range []string{"server", "other"} {
		servers.Put(backend.Server{ID: id, Service: "engine", Addr: id, Slots: 1}, int64(n+1))
	}
	v := servers.View(0)
	return New(Dialect{}, func() State { return State{Servers: v} }, upstream.New(upstream.WithDial(dial)), schedule.New(1),
		limit.NewRetryWindow(time.Second, 0, nil), l, telemetry.NewMetrics())
}

// TestAnswerBeforeRefusalIsNoPath loses the path while a probe runs, after another server was heard.
func TestAnswerBeforeRefusalIsNoPath(t *testing.T) {
	var g *Gateway
	other := backend.Server{ID: "other", Service: "engine"}
	probes := 0
	g = startCheck(t, func(context.Context, string) (net.Conn, error) {
		if probes++; probes == 1 {
			g.recordHeard(other)
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	})
	if server, _ := g.state().Servers.Get("server"); g.foundDown(server) {
		t.Error("a server is found down, of which no other was reached after the path was lost")
	}
}

// TestSharedProbeIsNotOlderThanItsUse loses the path while a goroutine probes other servers, and has another one check a server.
func TestSharedProbeIsNotOlderThanItsUse(t *testing.T) {
	reached, lost := make(chan struct{}), make(chan struct{})
	g := startCheck(t, func(context.Context, string) (net.Conn, error) {
		select {
		case <-lost:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		default:
		}
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		close(reached)
		<-lost
		return near, nil
	})
	server, _ := g.state().Servers.Get("server")
	earlier := make(chan bool)
	go func() { earlier <- g.reachesOthers(server, 0) }()
	<-reached
	close(lost)
	if g.foundDown(server) {
		t.Error("a server is found down, of which no other was reached after the path was lost")
	}
	if !<-earlier {
		t.Error("the other server was not reached before the path was lost")
	}
}

// TestStandstillOfHostLosesNoPath guards against paths that count as lost since a host had no processor.
func TestStandstillOfHostLosesNoPath(t *testing.T) {
	for name, tc := range map[string]struct {
		after time.Duration // the timeout of the probes
		want  reach.State
	}{
		"in time":    {0, reach.Lost},
		"standstill": {maxTimerDelay + 50*time.Millisecond, reach.Sound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startCheck(t, func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				<-time.After(tc.after)
				return nil, ctx.Err()
			})
			for range 5 { // probes that the test's own processor delays count for nothing
				for _, s := range g.state().Servers.Ready("engine") {
					g.probePathTo(s)
				}
				if g.pathState("engine") == reach.Lost {
					break
				}
			}
			if got := g.pathState("engine"); got != tc.want {
				t.Errorf("the path is %v, want %v", got, tc.want)
			}
		})
	}
}

// TestOwnFailuresOfHostLoseNoPath guards against servers that are avoided, and paths that count as lost, since this host couldn't open connections.
func TestOwnFailuresOfHostLoseNoPath(t *testing.T) {
	dialError := func(cause error) error {
		return errors.Mark(&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", cause)}, upstream.ErrNotSent)
	}
	for name, tc := range map[string]struct {
		err  error
		took time.Duration
		want reach.State
	}{
		"refused":                 {dialError(syscall.ECONNREFUSED), 0, reach.Lost},
		"timeout":                 {dialError(syscall.ETIMEDOUT), upstream.DialTimeout, reach.Lost},
		"timeout in a standstill": {dialError(syscall.ETIMEDOUT), upstream.DialTimeout + 2*maxTimerDelay, reach.Sound},
		"no descriptors":          {dialError(syscall.EMFILE), 0, reach.Sound},
		"no ports":                {dialError(syscall.EADDRNOTAVAIL), 0, reach.Sound},
		"no memory":               {dialError(syscall.ENOBUFS), 0, reach.Sound},
	} {
		t.Run(name, func(t *testing.T) {
			g := startCheck(t, func(context.Context, string) (net.Conn, error) { return nil, tc.err })
			c := &call{failedServers: map[string]bool{}, deadline: time.Now().Add(time.Minute)}
			for _, s := range g.state().Servers.Ready("engine") {
				out := g.failure(c, tc.err, "send")
				out.took = tc.took
				g.recordResult(c, schedule.Placement{Service: "engine", Lead: s.ID}, s, out)
				if tc.took == 0 {
					g.probePathTo(s)
				}
			}
			end := time.Now().Add(time.Second)
			for g.pathState("engine") != tc.want && time.Now().Before(end) {
				<-time.After(10 * time.Millisecond)
			}
			if got := g.pathState("engine"); got != tc.want {
				t.Errorf("the path is %v, want %v", got, tc.want)
			}
		})
	}
}

// TestSilentServersLoseNoPath guards against paths that count as lost since servers are busy.
func TestSilentServersLoseNoPath(t *testing.T) {
	for name, tc := range map[string]struct {
		reached bool
		want    reach.State
	}{"servers reached": {true, reach.Sound}, "no server reached": {false, reach.Lost}} {
		t.Run(name, func(t *testing.T) {
			var probes sync.WaitGroup
			probes.Add(1)
			once := sync.OnceFunc(probes.Done)
			g := startCheck(t, func(ctx context.Context, _ string) (net.Conn, error) {
				defer once()
				if !tc.reached {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				c, _ := net.Pipe()
				return c, nil
			})
			WithDelegation(Delegation{
				Peers: func([]string) []reach.Peer { return nil }, PathChanged: func() {},
			})(g)
			for _, s := range g.state().Servers.Ready("engine") {
				g.recordPathFailure(&call{}, s, outcome{result: failed, reason: reasonSilent})
				if got := g.pathState("engine"); got != reach.Sound {
					t.Errorf("the path is %v before any probe has ended", got)
				}
			}
			probes.Wait()
			end := time.Now().Add(time.Second)
			for g.pathState("engine") != tc.want && time.Now().Before(end) {
				<-time.After(10 * time.Millisecond)
			}
			if got := g.pathState("engine"); got != tc.want {
				t.Errorf("the path is %v, want %v", got, tc.want)
			}
		})
	}
}
