package watch_test

import (
	"context"
	"testing"
	"time"

	"slipcrank.example/core/feed"
	"slipcrank.example/daemon/watch"
)

// TestReturnOfOneHallIsNotThePlatforms: requests reached servers after their entries
// had gone. Hosts of a hall that was cut off take the platform for away, and tell
// hosts of another hall, which the platform has served all the while, that it is
// back. There a server whose entry goes then is kept as if it had lapsed: the word of
// others went before the proofs that this host had all the while, which the test gives
// it until the moment before.
func TestReturnOfOneHallIsNotThePlatforms(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		s.put(serversTable, "a", `{"Service":"s"}`)
		s.put(configTable, "config", "1")
		settle()
		pass(5 * time.Second)
		clock := time.Since(s.start) + time.Hour
		w.Receive(context.Background(), watch.Update{
			Table: configTable, Revision: s.revision(), Stamp: clock, Clock: clock, Returned: clock,
		}, w.Now())
		s.remove(serversTable, "a")
		settle()
		if n := len(w.State().Servers.Ready("s")); n > 0 {
			t.Error("a server whose entry has gone is kept as if the platform had been away")
		}
	})
}

// TestReturnIsNotedOnce has the platform away, and others tell later and later moments
// at which it was back. What they tell first is heard with any table.
func TestReturnIsNotedOnce(t *testing.T) {
	for name, first := range map[string]string{"with the configuration": configTable, "with the servers": serversTable} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *fakeStore, w *watch.Watcher) {
				w.SetPolling(watch.PollNothing, time.Second)
				pass(time.Second)
				clock := func() time.Duration { return time.Since(s.start) + time.Hour }
				tell := func(table string, returned time.Duration, rows ...feed.Row) {
					w.Receive(context.Background(), watch.Update{
						Table: table, Rows: rows, Revision: 9, Stamp: clock(), Clock: clock(), Returned: returned,
					}, w.Now())
				}
				tell(configTable, 0, feed.Row{Key: "config", Value: []byte("1"), Revision: 1})
				tell(serversTable, 0, feed.Row{Key: "a", Value: []byte(`{"Service":"s"}`), Revision: 2})
				pass(5 * time.Second)
				back := clock()
				tell(first, back)
				pass(10 * time.Millisecond)
				tell(configTable, back)
				tell(serversTable, back, feed.Row{Key: "a", Revision: 3, Gone: true})
				for range 3 {
					pass(time.Second)
					if n := len(w.State().Servers.Ready("s")); n != 1 && clock()-back < 2*time.Second {
						t.Errorf("%d servers are ready %v after the return, want 1", n, clock()-back)
					}
					tell(configTable, clock())
				}
				if n := len(w.State().Servers.Ready("s")); n != 0 {
					t.Errorf("%d servers are ready %v after the return, want none", n, clock()-back)
				}
			})
		})
	}
}
