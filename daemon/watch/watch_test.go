package watch_test

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/feed"
	"slipcrank.example/core/freshness"
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

// fakeStore is a platform whose rows are changed by the test. It is used inside a
// synctest bubble, whose goroutines it may block.
type fakeStore struct {
	mu          sync.Mutex
	start       time.Time
	rows        map[string][]feed.Row
	changed     chan struct{}
	rev         int64
	down        bool
	historyGone bool // polls for changes fail with [feed.ErrHistoryGone]
	listTime    time.Duration
	lists       int
	calls       int
}

var errDown = errors.New("platform is down")

func newStore() *fakeStore {
	return &fakeStore{start: time.Now(), rows: map[string][]feed.Row{}, changed: make(chan struct{})}
}

func (f *fakeStore) put(table, key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.rows[table] = append(f.rows[table], feed.Row{Key: key, Value: []byte(value), Revision: f.rev})
	f.notify()
}

func (f *fakeStore) remove(table, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.rows[table] = append(f.rows[table], feed.Row{Key: key, Revision: f.rev, Gone: true})
	f.notify()
}

// restoreCopy makes the store lose the changes after a value of its counter.
func (f *fakeStore) restoreCopy(t *testing.T, counter int64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	newRevision := func(counter int64) int64 {
		r, err := feed.NewRevision(feed.Era(f.rev)+1, counter)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	for table, rows := range f.rows {
		var kept []feed.Row
		for _, r := range rows {
			if c := feed.Counter(r.Revision); c <= counter {
				r.Revision = newRevision(c)
				kept = append(kept, r)
			}
		}
		f.rows[table] = kept
	}
	f.rev = newRevision(counter)
	f.notify()
}

func (f *fakeStore) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.notify()
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
	listTime := f.listTime
	f.mu.Unlock()
	if err := pause.For(ctx, listTime); err != nil {
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
		b, changed, err := f.poll(table, after)
		if err != nil || len(b.Rows) > 0 {
			return sameEra(b, after, err)
		}
		select {
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		case <-end:
			b, _, err := f.poll(table, after)
			return sameEra(b, after, err)
		case <-changed:
		}
	}
}

// sameEra returns the answer of a poll, or [feed.ErrHistoryGone] if it is of a later era than
// the revision from which was polled.
func sameEra(b feed.Batch, after int64, err error) (feed.Batch, error) {
	if err == nil && feed.Era(b.Revision) != feed.Era(after) {
		return feed.Batch{}, feed.ErrHistoryGone
	}
	return b, err
}

// poll returns the rows that changed after a revision, and a channel that is closed at
// the next change.
func (f *fakeStore) poll(table string, after int64) (feed.Batch, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return feed.Batch{}, nil, errDown
	}
	if f.historyGone || feed.Counter(after) > feed.Counter(f.rev) {
		return feed.Batch{}, nil, feed.ErrHistoryGone
	}
	// The store compares counters only, so a poll from a revision of an earlier era waits
	// for the next change, or until its time is over.
	b := f.batch(table, feed.Counter(after)|f.rev&^(1<<40-1))
	return b, f.changed, nil
}

// runWatcher calls f with a running watcher in a synctest bubble.
func runWatcher(t *testing.T, f func(s *fakeStore, w *watch.Watcher), before ...func(w *watch.Watcher)) {
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
					return site.New(n, nil, nil, site.Keys{}, site.Limits{}), err
				},
				Server: func(key string, b []byte) (backend.Server, error) {
					s := backend.Server{ID: key}
					return s, json.Unmarshal(b, &s)
				},
				Evacuation: func(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") },
			},
			l, telemetry.NewMetrics(), func([]watch.Host) {})
		for _, b := range before {
			b(w)
		}
		go w.Run(ctx)
		f(s, w)
		cancel()
		synctest.Wait()
		l.Close()
	})
}

// settle waits until the watcher has applied changes, which includes its delay between
// polls.
func settle() { sleep(1100 * time.Millisecond) }

// sleep advances the time of the bubble.
func sleep(d time.Duration) {
	_ = pause.For(context.Background(), d) // never ends early
	synctest.Wait()
}

func TestNewestOfSeveralMissedConfigurationsIsInForce(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(configTable, "config", "1")
		settle()
		s.setDown(true)
		settle()
		for _, v := range []string{"2", "3", "5"} {
			s.put(configTable, "config", v)
		}
		s.setDown(false)
		sleep(2 * time.Second)
		if got := w.State().Config.Version(); got != 5 {
			t.Errorf("version %d is in force, want 5", got)
		}
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(configTable, "config", "7")
		settle()
		s.put(configTable, "config", "6")
		settle()
		if got := w.State().Config.Version(); got != 7 {
			t.Errorf("version %d is in force, want 7", got)
		}
	})
}

func TestServersThatLeaveOrLapse(t *testing.T) {
	const ready, draining = `{"Service":"s"}`, `{"Service":"s","Draining":true}`
	for name, tc := range map[string]struct {
		change func(s *fakeStore)
		wait   time.Duration
		want   int // ready servers of two
	}{
		"one drains":                                 {func(s *fakeStore) { s.put(serversTable, "a", draining) }, 1100 * time.Millisecond, 1},
		"one is removed":                             {func(s *fakeStore) { s.remove(serversTable, "a") }, 1100 * time.Millisecond, 1},
		"both lapse during an outage":                {outage("a", "b"), time.Second, 2},
		"both lapse and don't return":                {outage("a", "b"), 4 * time.Second, 0},
		"one drains and is removed during an outage": {func(s *fakeStore) { s.put(serversTable, "a", draining); settle(); outage("a")(s) }, time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
				s.put(serversTable, "a", ready)
				s.put(serversTable, "b", ready)
				settle()
				tc.change(s)
				sleep(tc.wait)
				if got := len(w.State().Servers.Ready("s")); got != tc.want {
					t.Errorf("%d servers are ready, want %d", got, tc.want)
				}
			})
		})
	}
}

// TestServersThatLeaveWhileThisHostIsCutOff guards against a host that takes its own cut for an outage
// of the platform, and sends requests to servers that have left meanwhile.
func TestServersThatLeaveWhileThisHostIsCutOff(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(serversTable, "a", `{"Service":"s"}`)
		s.put(serversTable, "b", `{"Service":"s"}`)
		settle()
		from := w.Now()
		w.SetIsolation(func(since time.Duration) bool { return since < from+2*time.Second })
		outage("a")(s)
		sleep(time.Second)
		if got := len(w.State().Servers.Ready("s")); got != 1 {
			t.Errorf("%d servers are ready after the cut, want 1", got)
		}
		outage("b")(s)
		sleep(time.Second)
		if got := len(w.State().Servers.Ready("s")); got != 1 {
			t.Errorf("%d servers are ready after an outage, want 1", got)
		}
	})
}

// TestRemovalWhileOnlyThisHostIsRefused: the platform refuses this host, which receives
// proofs from another host meanwhile. A server that is removed right after isn't
// retained, since this was no outage.
func TestRemovalWhileOnlyThisHostIsRefused(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(serversTable, "a", `{"Service":"s"}`)
		s.put(configTable, "config", "1")
		settle()
		s.setDown(true)
		for range 8 {
			sleep(500 * time.Millisecond)
			sent := w.Now()
			w.Receive(context.Background(), watch.Update{
				Table: configTable, Revision: s.revision(), Stamp: time.Since(s.start) + time.Hour, Clock: time.Since(s.start) + time.Hour,
			}, sent)
		}
		s.setDown(false)
		settle()
		s.remove(serversTable, "a")
		settle()
		if n := len(w.State().Servers.Ready("s")); n > 0 {
			t.Error("a server whose entry is gone is retained as after an outage of the platform")
		}
	})
}

func (f *fakeStore) revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rev
}

// outage returns a change that takes the platform down for four seconds. At its return
// the entries of the given servers are gone.
func outage(ids ...string) func(s *fakeStore) {
	return func(s *fakeStore) {
		s.setDown(true)
		sleep(4 * time.Second)
		for _, id := range ids {
			s.remove(serversTable, id)
		}
		s.setDown(false)
	}
}

func TestConfigAge(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		if _, ok := w.ConfigAge(); ok {
			t.Error("got an age before the first proof")
		}
		s.put(configTable, "config", "1")
		sleep(10 * time.Second)
		if age, ok := w.ConfigAge(); !ok || age > 2*time.Second {
			t.Errorf("age %v, %v, want at most 2 s while the platform answers", age, ok)
		}
		s.setDown(true)
		sleep(10 * time.Second)
		if age, ok := w.ConfigAge(); !ok || age < 10*time.Second {
			t.Errorf("age %v, %v, want at least 10 s after an outage of 10 s", age, ok)
		}
	})
}

// TestRepeatedListsBackOff: the platform discards its history at once, so that each
// poll for changes requires a new list.
func TestRepeatedListsBackOff(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(configTable, "config", "1")
		s.set(func() { s.historyGone = true })
		sleep(10 * time.Second)
		if w.State().Config == nil {
			t.Error("the listed configuration is not in force")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if limit := 3 * 100; s.lists > limit { // ten per second and table
			t.Errorf("%d lists of three tables in 10 s, want at most %d", s.lists, limit)
		}
	})
}

// TestFewCallsDuringOutage: a host polls a platform that is down, and then detects its
// return.
func TestFewCallsDuringOutage(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		const maxBackoff = 2 * time.Second
		w.SetPolling(watch.PollAll, maxBackoff)
		s.put(configTable, "config", "1")
		settle()
		s.setDown(true)
		settle()
		before := s.callCount()
		sleep(20 * time.Second)
		if n := s.callCount() - before; n < 5 || n > 40 {
			t.Errorf("%d calls during an outage of 20 s, want 5 to 40", n)
		}
		s.put(configTable, "config", "2")
		s.setDown(false)
		sleep(maxBackoff)
		if got := w.State().Config.Version(); got != 2 {
			t.Errorf("version %d is in force, want 2", got)
		}
	})
}

// TestFewCallsWithPollConfigDuringOutage: a host begins to poll only during an outage of
// the platform, as most hosts of a large hall do.
func TestFewCallsWithPollConfigDuringOutage(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		const maxBackoff = 12 * time.Second
		w.SetPolling(watch.PollNothing, maxBackoff)
		settle()
		s.setDown(true)
		before := s.callCount()
		w.SetPolling(watch.PollConfig, maxBackoff)
		sleep(8 * time.Second)
		if n := s.callCount() - before; n < 2 || n > 6 {
			t.Errorf("%d calls during an outage of 8 s, want 2 to 6", n)
		}
		s.put(configTable, "config", "1")
		s.put(serversTable, "a", `{"Service":"s"}`)
		s.setDown(false)
		sleep(maxBackoff)
		if w.State().Config == nil || w.State().Servers.Len() != 0 {
			t.Errorf("configuration known: %v, want true; %d servers known, want none", w.State().Config != nil, w.State().Servers.Len())
		}
	})
}

// TestSlowListHasNoTimeout lists a table of many pages over a slow link.
func TestSlowListHasNoTimeout(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		s.set(func() { s.listTime = 6 * time.Second })
		s.put(configTable, "config", "1")
		sleep(8 * time.Second)
		if w.State().Config == nil {
			t.Error("a list that takes 6 s is not applied")
		}
	})
}

func TestPollScope(t *testing.T) {
	for name, tc := range map[string]struct {
		scope         watch.PollScope
		config, hosts bool
	}{
		"nothing":            {watch.PollNothing, false, false},
		"hosts only":         {watch.PollHosts, false, true},
		"configuration only": {watch.PollConfig, true, false},
		"all":                {watch.PollAll, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
				s.put(configTable, "config", "1")
				s.put("hosts", "other", `{"addr":"127.0.0.1:1"}`)
				sleep(3 * time.Second)
				if got := w.State().Config != nil; got != tc.config {
					t.Errorf("configuration known: %v, want %v", got, tc.config)
				}
				if got := len(w.State().Hosts) == 1; got != tc.hosts {
					t.Errorf("other host known: %v, want %v", got, tc.hosts)
				}
			}, func(w *watch.Watcher) { w.SetPolling(tc.scope, time.Second) })
		})
	}
}

// set calls change with the store locked.
func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// TestSuspensionAgesProofs: the host is suspended after a proof. With a clock that stops
// during the suspension, the proof would seem fresh, and the callers' keys would be
// accepted for longer by the length of the suspension.
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
