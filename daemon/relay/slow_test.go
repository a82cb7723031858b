package relay_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"slipcrank.example/core/feed"
	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/relay"
	"slipcrank.example/daemon/watch"
)

// configSource is a host that is told of configurations of a given size.
type configSource struct {
	*watch.Watcher
	started time.Time
	rest    []byte // of each configuration, after its version
}

func newConfigSource(t *testing.T, bytes int) *configSource {
	t.Helper()
	s := &configSource{Watcher: newWatcher(t, nil), started: time.Now(), rest: []byte{' '}}
	for random := rand.New(rand.NewPCG(1, 1)); len(s.rest) < bytes; {
		s.rest = strconv.AppendUint(s.rest, random.Uint64(), 36)
	}
	return s
}

// put makes a version known, which differs from the others by its number only.
func (s *configSource) put(version int64) {
	clock := time.Hour + time.Since(s.started)
	row := feed.Row{Key: "config", Value: append(strconv.AppendInt(nil, version, 10), s.rest...), Revision: version}
	u := watch.Update{Table: "configs", Rows: []feed.Row{row}, Revision: version, Stamp: clock, Clock: clock}
	s.Receive(context.Background(), u, s.Now())
}

// TestSmallChangesOfLargeConfigurationOnSlowLink: changes come faster than the link passes on the whole.
func TestSmallChangesOfLargeConfigurationOnSlowLink(t *testing.T) {
	const (
		configBytes    = 40_000
		bytesPerSecond = 100_000
		versions       = 60
		changeInterval = 50 * time.Millisecond
		maxDelay       = 400 * time.Millisecond // as long as the whole takes
	)
	source, host := newConfigSource(t, configBytes), newWatcher(t, nil)
	source.put(1)
	receive(t, host, proxy{bytesPerSecond: bytesPerSecond}.start(t, serve(t, source.Watcher)))
	eventually(t, "the host has the first configuration", hasConfig(host, 1))
	written := map[int64]time.Time{}
	var slowest time.Duration
	next := time.Now()
	for v := int64(1); len(written) > 0 || v < versions; {
		if now := time.Now(); v < versions && !now.Before(next) {
			v, next = v+1, next.Add(changeInterval)
			source.put(v)
			written[v] = now
		}
		for w, at := range written {
			if host.State().Config.Version() >= w {
				slowest = max(slowest, time.Since(at))
				delete(written, w)
			}
		}
		_ = pause.For(context.Background(), pollInterval) // never ends early
	}
	if slowest > maxDelay {
		t.Errorf("a change took %v, want at most %v", slowest, maxDelay)
	}
}

// TestSilentServerIsSoonUnreachable guards against hosts that rely on one which stands still, longer than changes may take.
func TestSilentServerIsSoonUnreachable(t *testing.T) {
	const (
		keepalive = 100 * time.Millisecond
		lateAfter = 4 * keepalive
	)
	source, other := newConfigSource(t, 1), newWatcher(t, nil)
	source.put(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := relay.NewServer(source.Watcher, relay.WithKeepalive(keepalive))
	go func() { _ = s.Serve(l) }() // ends with Stop
	t.Cleanup(s.Stop)
	var gate sync.Mutex
	addr := proxy{gate: &gate}.start(t, l.Addr().String())
	c := relay.NewClient(other, decision.New(io.Discard), relay.WithLateAfter(lateAfter))
	c.SetServers([]string{addr})
	t.Cleanup(func() { c.SetServers(nil) })
	eventually(t, "the server is heard", func() bool { return c.Receiving(addr) })
	for end := time.Now().Add(2 * lateAfter); time.Now().Before(end); _ = pause.For(t.Context(), pollInterval) {
		if c.Unreachable(addr) {
			t.Fatal("a server that only shows that it lives counts as unreachable")
		}
	}
	gate.Lock()
	began := time.Now()
	eventually(t, "the silent server is unreachable", func() bool { return c.Unreachable(addr) && !c.Receiving(addr) })
	if took := time.Since(began); took > 3*lateAfter {
		t.Errorf("the silent server was relied on for %v", took)
	}
	if ago, ok := c.HeardAgo(); !ok || ago < lateAfter/2 {
		t.Errorf("heard %v ago", ago)
	}
	gate.Unlock()
	eventually(t, "the server is heard again", func() bool { return c.Receiving(addr) && !c.Unreachable(addr) })
}
