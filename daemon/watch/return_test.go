package watch_test

import (
	"context"
	"testing"
	"time"

	"slipcrank.example/core/feed"
	"slipcrank.example/daemon/watch"
)

// TestRelayedReturnWithoutGapIsIgnored: hosts of a hall that was cut off take that for
// an outage of the platform, and report its return to hosts of another hall, which the
// platform has served all the time. There, a server whose entry is removed right after
// the report must not be retained as if the entry had lapsed. The failure: reports of
// other hosts took precedence over the proofs that this host had received all the time,
// so requests reached servers after their entries were gone. The test delivers proofs
// until just before the report.
func TestRelayedReturnWithoutGapIsIgnored(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(serversTable, "a", `{"Service":"s"}`)
		s.put(configTable, "config", "1")
		settle()
		sleep(5 * time.Second)
		clock := time.Since(s.start) + time.Hour
		w.Receive(context.Background(), watch.Update{
			Table: configTable, Revision: s.revision(), Stamp: clock, Clock: clock, Returned: clock,
		}, w.Now())
		s.remove(serversTable, "a")
		settle()
		if n := len(w.State().Servers.Ready("s")); n > 0 {
			t.Error("a server whose entry is gone is retained as after an outage of the platform")
		}
	})
}

// TestFirstReturnTimeIsKept: after an outage of the platform, other hosts report ever later
// times of its return. The first report may arrive with any table.
func TestFirstReturnTimeIsKept(t *testing.T) {
	for name, first := range map[string]string{"with the configuration": configTable, "with the servers": serversTable} {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
				w.SetPolling(watch.PollNothing, time.Second)
				sleep(1500 * time.Millisecond) // a poll that began before has ended after 1 s
				clock := func() time.Duration { return time.Since(s.start) + time.Hour }
				relay := func(table string, returned time.Duration, rows ...feed.Row) {
					w.Receive(context.Background(), watch.Update{
						Table: table, Rows: rows, Revision: 9, Stamp: clock(), Clock: clock(), Returned: returned,
					}, w.Now())
				}
				relay(configTable, 0, feed.Row{Key: "config", Value: []byte("1"), Revision: 1})
				relay(serversTable, 0, feed.Row{Key: "a", Value: []byte(`{"Service":"s"}`), Revision: 2})
				sleep(5 * time.Second)
				firstReturn := clock()
				relay(first, firstReturn)
				sleep(10 * time.Millisecond)
				relay(configTable, firstReturn)
				relay(serversTable, firstReturn, feed.Row{Key: "a", Revision: 3, Gone: true})
				for range 3 {
					sleep(time.Second)
					if n := len(w.State().Servers.Ready("s")); n != 1 && clock()-firstReturn < 2*time.Second {
						t.Errorf("%d servers are ready %v after the return, want 1", n, clock()-firstReturn)
					}
					relay(configTable, clock())
				}
				if n := len(w.State().Servers.Ready("s")); n != 0 {
					t.Errorf("%d servers are ready %v after the return, want none", n, clock()-firstReturn)
				}
			})
		})
	}
}
