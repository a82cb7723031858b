package relay_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/feed"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/relay"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/watch"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// newWatcher runs a watcher. Its platform serves a configuration with the version that
// the given function returns. If the function is nil or the version negative, the
// platform doesn't answer.
func newWatcher(t *testing.T, version func() int) *watch.Watcher {
	t.Helper()
	start := time.Now()
	answer := func(table string) (feed.Batch, error) {
		if version == nil {
			return feed.Batch{}, io.ErrUnexpectedEOF
		}
		v := version()
		if v < 0 {
			return feed.Batch{}, io.ErrUnexpectedEOF
		}
		b := feed.Batch{Revision: int64(v), Stamp: time.Since(start) + time.Hour}
		if table == "configs" {
			b.Rows = []feed.Row{{Key: "config", Value: []byte(strconv.Itoa(v)), Revision: int64(v)}}
		}
		return b, nil
	}
	l := decision.New(io.Discard)
	w := watch.New(
		feed.Source{
			List: func(_ context.Context, table string) (feed.Batch, error) { return answer(table) },
			Follow: func(ctx context.Context, table string, _ int64, _ time.Duration) (feed.Batch, error) {
				if err := pause.For(ctx, pollInterval); err != nil {
					return feed.Batch{}, err
				}
				return answer(table)
			},
		},
		watch.Tables{Config: "configs", ConfigKey: "config", Servers: "servers", Hosts: "hosts", PollWait: time.Second},
		watch.Decoders{
			Config: func(b []byte) (*site.Config, error) {
				version, _, _ := strings.Cut(string(b), " ")
				n, err := strconv.ParseInt(version, 10, 64)
				return site.New(n, nil, nil, site.Keys{}, site.Limits{}), err
			},
			Server: func(key string, _ []byte) (backend.Server, error) { return backend.Server{ID: key}, nil },
		},
		l, telemetry.NewMetrics(), func([]watch.Host) {})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return w
}

// serve starts a relay server for w and returns its address.
func serve(t *testing.T, w *watch.Watcher) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := relay.NewServer(w)
	go func() { _ = s.Serve(l) }() // ends with Stop
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// receive starts a relay client for w that receives from the given addresses.
func receive(t *testing.T, w *watch.Watcher, addrs ...string) {
	t.Helper()
	c := relay.NewClient(w, decision.New(io.Discard))
	c.SetServers(addrs)
	t.Cleanup(func() { c.SetServers(nil) })
}

// eventually fails the test if f doesn't return true within waitTimeout.
func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if f() {
			return
		}
		_ = pause.For(context.Background(), pollInterval) // never ends early
	}
	t.Fatalf("not within %v: %s", waitTimeout, condition)
}

// hasConfig returns a function that reports whether w has a version of the
// configuration in effect.
func hasConfig(w *watch.Watcher, version int64) func() bool {
	return func() bool { c := w.State().Config; return c != nil && c.Version() == version }
}

// TestUpdatesReachHostsWithoutThePlatform has a chain of three hosts, of which only the
// first reaches the platform.
func TestUpdatesReachHostsWithoutThePlatform(t *testing.T) {
	var current atomic.Int64
	current.Store(3)
	reader := newWatcher(t, func() int { return int(current.Load()) })
	middle, last := newWatcher(t, nil), newWatcher(t, nil)
	receive(t, middle, serve(t, reader))
	receive(t, last, serve(t, middle))
	eventually(t, "the last host has the configuration", hasConfig(last, 3))
	current.Store(7)
	eventually(t, "the last host has the change", hasConfig(last, 7))
	eventually(t, "the last host has a proof that is fresh", func() bool {
		age, ok := last.ConfigAge()
		return ok && age < time.Second
	})
}

// TestEchoedProofDoesNotCountAsAnotherHosts sends a host that reaches the platform the
// updates of another host that has them from the first host alone. They prove nothing
// new.
func TestEchoedProofDoesNotCountAsAnotherHosts(t *testing.T) {
	reader, other := newWatcher(t, func() int { return 3 }), newWatcher(t, nil)
	receive(t, other, serve(t, reader))
	eventually(t, "the other host has a proof", func() bool { _, ok := other.RelayedAge(); return ok })
	updates, cancel := other.Subscribe(nil)
	defer cancel()
	for range 20 {
		u, ok := <-updates
		if !ok {
			t.Fatal("the subscription has ended")
		}
		// Wait until the reader has polled the platform again.
		requested := reader.Now()
		eventually(t, "the reader has a newer proof", func() bool {
			age, ok := reader.ConfigAge()
			return ok && age < reader.Now()-requested
		})
		reader.Receive(context.Background(), u, requested)
	}
	if _, ok := reader.RelayedAge(); ok {
		t.Error("the reader counts its own proofs as another host's")
	}
}

// TestOlderConfigurationFromAnotherHostIsIgnored has a host receive updates from a host
// with an older configuration.
func TestOlderConfigurationFromAnotherHostIsIgnored(t *testing.T) {
	behind := newWatcher(t, func() int { return 3 })
	ahead := newWatcher(t, func() int { return 9 })
	eventually(t, "the new configuration is in effect", hasConfig(ahead, 9))
	eventually(t, "the old one is in effect on the other host", hasConfig(behind, 3))
	receive(t, ahead, serve(t, behind))
	for range 20 {
		if !hasConfig(ahead, 9)() {
			t.Fatal("an older configuration took effect")
		}
		_ = pause.For(context.Background(), pollInterval) // never ends early
	}
}

// TestProofAgesAfterItsSourceStops stops the only host that reaches the platform.
func TestProofAgesAfterItsSourceStops(t *testing.T) {
	reader := newWatcher(t, func() int { return 3 })
	other := newWatcher(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := relay.NewServer(reader)
	go func() { _ = s.Serve(l) }() // ends with Stop
	receive(t, other, l.Addr().String())
	eventually(t, "the configuration is in effect", hasConfig(other, 3))
	s.Stop()
	eventually(t, "the proof ages", func() bool {
		age, ok := other.ConfigAge()
		return ok && age > 100*time.Millisecond
	})
}

// TestRowsAreSentOnlyIfDigestsDiffer subscribes with the current digest, with an
// outdated one and without any.
func TestRowsAreSentOnlyIfDigestsDiffer(t *testing.T) {
	reader := newWatcher(t, func() int { return 3 })
	eventually(t, "the configuration is in effect", hasConfig(reader, 3))
	// The digest is published a moment after the configuration takes effect.
	eventually(t, "its rows have a digest", func() bool { return reader.Digests()["configs"] != 0 })
	for name, tc := range map[string]struct {
		digests map[string]uint64
		rows    bool
	}{
		"no digests":      {nil, true},
		"outdated digest": {map[string]uint64{"configs": 1}, true},
		"current digest":  {reader.Digests(), false},
	} {
		t.Run(name, func(t *testing.T) {
			updates, cancel := reader.Subscribe(tc.digests)
			defer cancel()
			for u := range updates {
				if u.Table != "configs" {
					continue
				}
				if got := len(u.Rows) > 0; got != tc.rows || got != u.Complete {
					t.Errorf("received %d rows, whole: %v, want rows: %v", len(u.Rows), u.Complete, tc.rows)
				}
				return
			}
			t.Error("received no update of the table")
		})
	}
}

func TestServerThatRefusesConnectionsIsUnreachable(t *testing.T) {
	reader, other := newWatcher(t, func() int { return 3 }), newWatcher(t, nil)
	openAddr := serve(t, reader)
	const closedAddr = "127.0.0.1:1"
	c := relay.NewClient(other, decision.New(io.Discard))
	t.Cleanup(func() { c.SetServers(nil) })
	c.SetServers([]string{openAddr, closedAddr})
	eventually(t, "one server is unreachable and the other is not", func() bool {
		_, ok := other.RelayedAge()
		return ok && c.Unreachable(closedAddr) && !c.Unreachable(openAddr)
	})
	c.SetServers([]string{openAddr})
	if !c.Unreachable(closedAddr) {
		t.Error("a server counts as reachable once there are no more attempts")
	}
}

// TestStreamSurvivesAPlatformOutage has a host whose platform stops answering, and
// later answers with a change.
func TestStreamSurvivesAPlatformOutage(t *testing.T) {
	var current atomic.Int64
	current.Store(3)
	reader, other := newWatcher(t, func() int { return int(current.Load()) }), newWatcher(t, nil)
	c := relay.NewClient(other, decision.New(io.Discard))
	t.Cleanup(func() { c.SetServers(nil) })
	openAddr := serve(t, reader)
	c.SetServers([]string{openAddr})
	eventually(t, "the configuration is in effect", hasConfig(other, 3))
	current.Store(-1)
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); {
		if c.Unreachable(openAddr) {
			t.Fatal("the stream was given up although its server is alive")
		}
		_ = pause.For(context.Background(), pollInterval) // never ends early
	}
	current.Store(5)
	eventually(t, "the change is in effect", hasConfig(other, 5))
}

// TestServerWithoutStateIsNotUnreachable has a client receive updates from a host that
// reaches the platform only later.
func TestServerWithoutStateIsNotUnreachable(t *testing.T) {
	var current atomic.Int64
	current.Store(-1)
	reader, other := newWatcher(t, func() int { return int(current.Load()) }), newWatcher(t, nil)
	c := relay.NewClient(other, decision.New(io.Discard))
	t.Cleanup(func() { c.SetServers(nil) })
	openAddr := serve(t, reader)
	c.SetServers([]string{openAddr})
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); {
		if c.Unreachable(openAddr) {
			t.Fatal("a server that is alive counts as unreachable")
		}
		_ = pause.For(context.Background(), pollInterval) // never ends early
	}
	current.Store(3)
	eventually(t, "the configuration is in effect", hasConfig(other, 3))
}
