package watch_test

import (
	"context"
	"encoding/json"
	"io"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/freshness"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/feed"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/watch"
)

const (
	configTable  = "configs"
	serversTable = "servers"
)

// fakeStore answers questions from rows that a test changes. It is used inside
// a synctest bubble, whose goroutines it may block.
type fakeStore struct {
	mu      sync.Mutex
	start   time.Time
	rows    map[string][]feed.Row
	changed chan struct{}
	rev     int64
	down    bool
	forgets bool // all history, at once
	slow    time.Duration
	lists   int
	calls   int
}

var errDown = errors.New("the platform is down")

func newStore() *fakeStore {
	return &fakeStore{start: time.Now(), rows: map[string][]feed.Row{}, changed: make(chan struct{})}
}

func (f *fakeStore) put(table, key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.rows[table] = append(f.rows[table], feed.Row{Key: key, Value: []byte(value), Revision: f.rev})
	f.tell()
}

func (f *fakeStore) remove(table, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.rows[table] = append(f.rows[table], feed.Row{Key: key, Revision: f.rev, Gone: true})
	f.tell()
}

func (f *fakeStore) tell() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.tell()
}

func (f *fakeStore) batch(table string, after int64) feed.Batch {
	b := feed.Batch{Revision: f.rev, Stamp: time.Since(f.start) + time.Hour}
	for _, r := range f.rows[table] {
		if r.Revision > after {
			b.Rows = append(b.Rows, r)
		}
	}
	return b
}

func (f *fakeStore) list(ctx context.Context, table string) (feed.Batch, error) {
	f.mu.Lock()
	slow := f.slow
	f.mu.Unlock()
	if err := pause.For(ctx, slow); err != nil {
		return feed.Batch{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return feed.Batch{}, errDown
	}
	f.lists++
	live := map[string]feed.Row{}
	for _, r := range f.rows[table] {
		live[r.Key] = r
	}
	b := f.batch(table, f.rev)
	for _, r := range live {
		if !r.Gone {
			b.Rows = append(b.Rows, r)
		}
	}
	return b, nil
}

func (f *fakeStore) follow(ctx context.Context, table string, after int64, wait time.Duration) (feed.Batch, error) {
	end := time.After(wait)
	for {
		b, changed, err := f.look(table, after)
		if err != nil || len(b.Rows) > 0 {
			return b, err
		}
		select {
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		case <-end:
			b, _, err := f.look(table, after)
			return b, err
		case <-changed:
		}
	}
}

// look returns what has changed, and a channel that tells of the next change.
func (f *fakeStore) look(table string, after int64) (feed.Batch, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return feed.Batch{}, nil, errDown
	}
	if f.forgets {
		return feed.Batch{}, nil, feed.ErrHistoryGone
	}
	return f.batch(table, after), f.changed, nil
}

// run gives a running watcher to f in a bubble with its own time.
func run(t *testing.T, f func(s *fakeStore, w *watch.Watcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newStore()
		l := decision.New(io.Discard)
		w := watch.New(
			feed.Source{List: s.list, Follow: s.follow},
			watch.Tables{Config: configTable, ConfigKey: "config", Servers: serversTable, Hosts: "hosts", PollWait: time.Second},
			watch.Decoders{
				Config: func(b []byte) (*site.Config, error) {
					n, err := strconv.ParseInt(string(b), 10, 64)
					return site.New(n, nil, nil, nil, site.Limits{}), err
				},
				Server: func(key string, b []byte) (backend.Server, error) {
					s := backend.Server{ID: key}
					return s, json.Unmarshal(b, &s)
				},
			},
			l, telemetry.NewMetrics(), func([]watch.Host) {})
		go w.Run(ctx)
		f(s, w)
		cancel()
		synctest.Wait()
		l.Close()
	})
}

// settle lets a watcher take in changes: it gathers those that come together.
func settle() { pass(1100 * time.Millisecond) }

// pass lets some of the bubble's time go by.
func pass(d time.Duration) {
	_ = pause.For(context.Background(), d) // never ends early
	synctest.Wait()
}

func TestNewestOfSeveralMissedConfigurationsIsInForce(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(configTable, "config", "1")
		settle()
		s.setDown(true)
		settle()
		for _, v := range []string{"2", "3", "5"} {
			s.put(configTable, "config", v)
		}
		s.setDown(false)
		pass(2 * time.Second)
		if got := w.State().Config.Version(); got != 5 {
			t.Errorf("version %d is in force, want 5", got)
		}
	})
}

func TestOlderConfigurationNeverReturns(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(configTable, "config", "7")
		settle()
		s.put(configTable, "config", "6")
		settle()
		if got := w.State().Config.Version(); got != 7 {
			t.Errorf("version %d is in force, want 7", got)
		}
	})
}

func TestServersLeave(t *testing.T) {
	const ready, draining = `{"Service":"s"}`, `{"Service":"s","Draining":true}`
	for name, tc := range map[string]struct {
		do   func(s *fakeStore)
		wait time.Duration
		want int // ready servers of two
	}{
		"one says that it drains":             {func(s *fakeStore) { s.put(serversTable, "a", draining) }, 1100 * time.Millisecond, 1},
		"one is gone":                         {func(s *fakeStore) { s.remove(serversTable, "a") }, 1100 * time.Millisecond, 1},
		"both lapse in an outage":             {outage("a", "b"), time.Second, 2},
		"and don't return":                    {outage("a", "b"), 4 * time.Second, 0},
		"one drains and goes while it's away": {func(s *fakeStore) { s.put(serversTable, "a", draining); settle(); outage("a")(s) }, time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *fakeStore, w *watch.Watcher) {
				s.put(serversTable, "a", ready)
				s.put(serversTable, "b", ready)
				settle()
				tc.do(s)
				pass(tc.wait)
				if got := len(w.State().Servers.Ready("s")); got != tc.want {
					t.Errorf("%d servers are ready, want %d", got, tc.want)
				}
			})
		})
	}
}

// TestServerThatGoesWhileOthersAreServed has the platform turn this host away,
// while another host tells it proofs, and a server go right after.
func TestServerThatGoesWhileOthersAreServed(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(serversTable, "a", `{"Service":"s"}`)
		s.put(configTable, "config", "1")
		settle()
		s.setDown(true)
		for range 8 {
			pass(500 * time.Millisecond)
			asked := w.Now()
			w.Receive(context.Background(), watch.Update{
				Table: configTable, Revision: s.revision(), Stamp: time.Since(s.start) + time.Hour, Clock: time.Since(s.start) + time.Hour,
			}, asked)
		}
		s.setDown(false)
		settle()
		s.remove(serversTable, "a")
		settle()
		if n := len(w.State().Servers.Ready("s")); n > 0 {
			t.Error("a server whose entry has gone is kept as if the platform had been away")
		}
	})
}

func (f *fakeStore) revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rev
}

// outage has the platform down for four seconds, in which entries go.
func outage(ids ...string) func(s *fakeStore) {
	return func(s *fakeStore) {
		s.setDown(true)
		pass(4 * time.Second)
		for _, id := range ids {
			s.remove(serversTable, id)
		}
		s.setDown(false)
	}
}

func TestConfigAge(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		if _, ok := w.ConfigAge(); ok {
			t.Error("there is an age before the first proof")
		}
		s.put(configTable, "config", "1")
		pass(10 * time.Second)
		if age, ok := w.ConfigAge(); !ok || age > 2*time.Second {
			t.Errorf("age %v, %v, want at most 2s while the platform answers", age, ok)
		}
		s.setDown(true)
		pass(10 * time.Second)
		if age, ok := w.ConfigAge(); !ok || age < 10*time.Second {
			t.Errorf("age %v, %v, want at least 10s after 10s without the platform", age, ok)
		}
	})
}

func TestPlatformThatForgetsAtOnceIsNotPressed(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(configTable, "config", "1")
		s.set(func() { s.forgets = true })
		pass(10 * time.Second)
		if w.State().Config == nil {
			t.Error("the configuration that was listed is not in force")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if most := 3 * 100; s.lists > most { // ten a second and table
			t.Errorf("%d lists in 10 s of three tables, want at most %d", s.lists, most)
		}
	})
}

// TestOutageCostsFewCalls has a host ask a platform that is away, and then see
// that it is back.
func TestOutageCostsFewCalls(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		const longest = 2 * time.Second
		w.SetPolling(watch.PollAll, longest)
		s.put(configTable, "config", "1")
		settle()
		s.setDown(true)
		settle()
		before := s.count()
		pass(20 * time.Second)
		if n := s.count() - before; n < 5 || n > 40 {
			t.Errorf("%d calls in an outage of 20 s, want one each second or so", n)
		}
		s.put(configTable, "config", "2")
		s.setDown(false)
		pass(longest)
		if got := w.State().Config.Version(); got != 2 {
			t.Errorf("version %d is in force, want 2", got)
		}
	})
}

// TestThoseThatAskSeldomCostFewCalls has a host begin to ask only while the
// platform is away, as most hosts of a large hall do.
func TestThoseThatAskSeldomCostFewCalls(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		const longest = 12 * time.Second
		w.SetPolling(watch.PollNothing, longest)
		settle()
		s.setDown(true)
		before := s.count()
		w.SetPolling(watch.PollConfig, longest)
		pass(8 * time.Second)
		if n := s.count() - before; n < 2 || n > 6 {
			t.Errorf("%d calls in an outage of 8 s, want a few", n)
		}
		s.put(configTable, "config", "1")
		s.put(serversTable, "a", `{"Service":"s"}`)
		s.setDown(false)
		pass(longest)
		if w.State().Config == nil || w.State().Servers.Len() != 0 {
			t.Errorf("the configuration is known: %v; %d servers are, want none", w.State().Config != nil, w.State().Servers.Len())
		}
	})
}

// TestLongListIsWaitedFor lists a table of many pages over a slow link.
func TestLongListIsWaitedFor(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		s.set(func() { s.slow = 6 * time.Second })
		s.put(configTable, "config", "1")
		pass(8 * time.Second)
		if w.State().Config == nil {
			t.Error("a list that takes 6 s is never taken in")
		}
	})
}

func TestWhatIsAsked(t *testing.T) {
	for name, tc := range map[string]struct {
		asking        watch.PollScope
		config, hosts bool
	}{
		"nothing":                {watch.PollNothing, false, false},
		"hosts only":             {watch.PollHosts, false, true},
		"the configuration only": {watch.PollConfig, true, false},
		"all":                    {watch.PollAll, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *fakeStore, w *watch.Watcher) {
				w.SetPolling(tc.asking, time.Second)
				s.put(configTable, "config", "1")
				s.put("hosts", "other", `{"addr":"127.0.0.1:1"}`)
				pass(3 * time.Second)
				if got := w.State().Config != nil; got != tc.config {
					t.Errorf("the configuration is known: %v, want %v", got, tc.config)
				}
				if got := len(w.State().Hosts) == 1; got != tc.hosts {
					t.Errorf("the other host is known: %v, want %v", got, tc.hosts)
				}
			})
		})
	}
}

// set changes how the store behaves.
func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// TestSuspensionAgesProofs suspends the machine after a proof. By a clock that
// stood still meanwhile the proof would be fresh, and keys in use for as much longer.
func TestSuspensionAgesProofs(t *testing.T) {
	var boot atomic.Int64
	clock := boottime.New(boottime.WithBootTime(func() (time.Duration, error) { return time.Duration(boot.Load()), nil }))
	proof := freshness.NewClock()
	proof.Observe(clock.Now(), time.Minute)
	before, _ := proof.Age(time.Minute, clock.Now())
	boot.Add(int64(10 * time.Second))
	clock.Refresh()
	if after, _ := proof.Age(time.Minute, clock.Now()); after-before < 9*time.Second {
		t.Errorf("a proof is %v old, and %v after 10 s of suspension", before, after)
	}
}
