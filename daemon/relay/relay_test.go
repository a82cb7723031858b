package relay_test

import (
	"context"
	"io"
	"net"
	"strconv"
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
	patience = 20 * time.Second
	poll     = 5 * time.Millisecond
)

// watcher runs one whose platform answers with version, or not at all if that
// is nil.
func watcher(t *testing.T, version func() int) *watch.Watcher {
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
				if err := pause.For(ctx, poll); err != nil {
					return feed.Batch{}, err
				}
				return answer(table)
			},
		},
		watch.Tables{Config: "configs", ConfigKey: "config", Servers: "servers", Hosts: "hosts", PollWait: time.Second},
		watch.Decoders{
			Config: func(b []byte) (*site.Config, error) {
				n, err := strconv.ParseInt(string(b), 10, 64)
				return site.New(n, nil, nil, nil, site.Limits{}), err
			},
			Server: func(key string, _ []byte) (backend.Server, error) { return backend.Server{ID: key}, nil },
		},
		l, telemetry.NewMetrics(), func([]watch.Host) {})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return w
}

// serve relays what w learns and returns the address.
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

func hear(t *testing.T, w *watch.Watcher, addrs ...string) {
	t.Helper()
	c := relay.NewClient(w, decision.New(io.Discard))
	c.Hear(addrs)
	t.Cleanup(func() { c.Hear(nil) })
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if f() {
			return
		}
		_ = pause.For(context.Background(), poll) // never ends early
	}
	t.Fatalf("not within %v: %s", patience, what)
}

func inForce(w *watch.Watcher, version int64) func() bool {
	return func() bool { c := w.State().Config; return c != nil && c.Version() == version }
}

// TestHostWithoutThePlatformHearsOthers has a chain of three, of which only
// the first reaches the platform.
func TestHostWithoutThePlatformHearsOthers(t *testing.T) {
	var current atomic.Int64
	current.Store(3)
	reader := watcher(t, func() int { return int(current.Load()) })
	middle, last := watcher(t, nil), watcher(t, nil)
	hear(t, middle, serve(t, reader))
	hear(t, last, serve(t, middle))
	eventually(t, "the last host has the configuration", inForce(last, 3))
	current.Store(7)
	eventually(t, "the last host has the change", inForce(last, 7))
	eventually(t, "the last host has a proof that is fresh", func() bool {
		age, ok := last.ConfigAge()
		return ok && age < time.Second
	})
}

// TestEchoIsNoProofOfOthers tells a host that reaches the platform what another
// has from it alone: that tells it nothing.
func TestEchoIsNoProofOfOthers(t *testing.T) {
	reader, other := watcher(t, func() int { return 3 }), watcher(t, nil)
	hear(t, other, serve(t, reader))
	eventually(t, "the other host is told", func() bool { _, ok := other.RelayedAge(); return ok })
	updates, cancel := other.Subscribe(nil)
	defer cancel()
	for range 20 {
		u, ok := <-updates
		if !ok {
			t.Fatal("the subscription has ended")
		}
		// By now the reader has asked the platform anew.
		asked := reader.Now()
		eventually(t, "the reader has a newer proof", func() bool {
			age, ok := reader.ConfigAge()
			return ok && age < reader.Now()-asked
		})
		reader.Receive(context.Background(), u, asked)
	}
	if _, ok := reader.RelayedAge(); ok {
		t.Error("the reader takes its own proofs for another host's")
	}
}

// TestNothingOldIsTakenFromAnotherHost hears a host that has been left behind.
func TestNothingOldIsTakenFromAnotherHost(t *testing.T) {
	behind := watcher(t, func() int { return 3 })
	ahead := watcher(t, func() int { return 9 })
	eventually(t, "the new configuration is in force", inForce(ahead, 9))
	eventually(t, "the old one is known elsewhere", inForce(behind, 3))
	hear(t, ahead, serve(t, behind))
	for range 20 {
		if !inForce(ahead, 9)() {
			t.Fatal("an older configuration came back")
		}
		_ = pause.For(context.Background(), poll) // never ends early
	}
}

// TestProofAgesWithItsSource ends the only host that reaches the platform.
func TestProofAgesWithItsSource(t *testing.T) {
	reader := watcher(t, func() int { return 3 })
	other := watcher(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := relay.NewServer(reader)
	go func() { _ = s.Serve(l) }() // ends with Stop
	hear(t, other, l.Addr().String())
	eventually(t, "the configuration is in force", inForce(other, 3))
	s.Stop()
	eventually(t, "the proof ages", func() bool {
		age, ok := other.ConfigAge()
		return ok && age > 100*time.Millisecond
	})
}

// TestOnlyWhatIsNewIsTold subscribes with the rows that are known elsewhere, with
// others and without any.
func TestOnlyWhatIsNewIsTold(t *testing.T) {
	reader := watcher(t, func() int { return 3 })
	eventually(t, "the configuration is in force", inForce(reader, 3))
	// It is in force a moment before others are told of its digest.
	eventually(t, "its rows have a digest", func() bool { return reader.Digests()["configs"] != 0 })
	for name, tc := range map[string]struct {
		knows map[string]uint64
		rows  bool
	}{
		"knows nothing":    {nil, true},
		"knows an old one": {map[string]uint64{"configs": 1}, true},
		"knows it":         {reader.Digests(), false},
	} {
		t.Run(name, func(t *testing.T) {
			updates, cancel := reader.Subscribe(tc.knows)
			defer cancel()
			for u := range updates {
				if u.Table != "configs" {
					continue
				}
				if got := len(u.Rows) > 0; got != tc.rows || got != u.Complete {
					t.Errorf("told %d rows, whole: %v, want rows: %v", len(u.Rows), u.Complete, tc.rows)
				}
				return
			}
			t.Error("nothing was told")
		})
	}
}

func TestServerThatCantBeHeardIsLost(t *testing.T) {
	reader, other := watcher(t, func() int { return 3 }), watcher(t, nil)
	here := serve(t, reader)
	const nowhere = "127.0.0.1:1"
	c := relay.NewClient(other, decision.New(io.Discard))
	t.Cleanup(func() { c.Hear(nil) })
	c.Hear([]string{here, nowhere})
	eventually(t, "one is lost and the other is not", func() bool {
		_, told := other.RelayedAge()
		return told && c.Lost(nowhere) && !c.Lost(here)
	})
	c.Hear([]string{here})
	if !c.Lost(nowhere) {
		t.Error("a server counts as alive once it is no longer tried")
	}
}

// TestStreamOutlivesAnOutage has a host whose platform stops answering, and
// later has a change.
func TestStreamOutlivesAnOutage(t *testing.T) {
	var current atomic.Int64
	current.Store(3)
	reader, other := watcher(t, func() int { return int(current.Load()) }), watcher(t, nil)
	c := relay.NewClient(other, decision.New(io.Discard))
	t.Cleanup(func() { c.Hear(nil) })
	here := serve(t, reader)
	c.Hear([]string{here})
	eventually(t, "the configuration is known", inForce(other, 3))
	current.Store(-1)
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); {
		if c.Lost(here) {
			t.Fatal("the stream was given up although its server lives")
		}
		_ = pause.For(context.Background(), poll) // never ends early
	}
	current.Store(5)
	eventually(t, "the change is known", inForce(other, 5))
}

// TestServerThatKnowsNothingYetIsNotLost hears a host that has not reached the
// platform so far, and then does.
func TestServerThatKnowsNothingYetIsNotLost(t *testing.T) {
	var current atomic.Int64
	current.Store(-1)
	reader, other := watcher(t, func() int { return int(current.Load()) }), watcher(t, nil)
	c := relay.NewClient(other, decision.New(io.Discard))
	t.Cleanup(func() { c.Hear(nil) })
	here := serve(t, reader)
	c.Hear([]string{here})
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); {
		if c.Lost(here) {
			t.Fatal("a server that lives counts as lost")
		}
		_ = pause.For(context.Background(), poll) // never ends early
	}
	current.Store(3)
	eventually(t, "the configuration is known", inForce(other, 3))
}
