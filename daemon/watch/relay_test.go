package watch_test

import (
	"context"
	"reflect"
	"testing"
	"time"

	"slipcrank.example/core/feed"
	"slipcrank.example/daemon/watch"
)

// TestRelistedTableIsRelayedAsChanges: a table is listed again because the platform
// has discarded its history. Subscribers receive the changed rows only, not the
// complete table.
func TestRelistedTableIsRelayedAsChanges(t *testing.T) {
	runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
		for _, key := range []string{"a", "b", "c"} {
			s.put(serversTable, key, `{"Service":"s"}`)
		}
		settle()
		updates, unsubscribe := w.Subscribe(nil)
		defer unsubscribe()
		sleep(time.Second)
		pending(updates, serversTable) // the known rows
		s.set(func() { s.historyGone = true })
		s.remove(serversTable, "a")
		s.put(serversTable, "b", `{"Service":"s","Draining":true}`)
		sleep(3 * time.Second)
		s.set(func() { s.historyGone = false })
		gone, changed := 0, 0
		for _, u := range pending(updates, serversTable) {
			if u.Complete {
				t.Error("received the complete table again")
			}
			for _, r := range u.Rows {
				if r.Gone {
					gone++
				} else {
					changed++
				}
			}
		}
		if gone != 1 || changed != 1 {
			t.Errorf("received %d rows as gone and %d as changed, want 1 and 1", gone, changed)
		}
	})
}

// pending receives the updates in the channel and returns those of a table.
func pending(updates <-chan watch.Update, table string) []watch.Update {
	var us []watch.Update
	for {
		select {
		case u := <-updates:
			if u.Table == table {
				us = append(us, u)
			}
		default:
			return us
		}
	}
}

// TestRelayedRemovalAfterGap: a host that doesn't poll receives no updates for some
// time, and then that a server's entry is gone. The server is retained only if the
// other host reports that the platform has returned from an outage.
func TestRelayedRemovalAfterGap(t *testing.T) {
	for name, tc := range map[string]struct {
		outage bool // of the platform, as reported by the other host
		want   int
	}{
		"slow connection to the other host": {false, 0},
		"outage of the platform":            {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runWatcher(t, func(s *fakeStore, w *watch.Watcher) {
				w.SetPolling(watch.PollNothing, time.Second)
				sleep(time.Second)
				clock := func() time.Duration { return time.Since(s.start) + time.Hour }
				var returned time.Duration
				relay := func(table string, rows ...feed.Row) {
					sent := w.Now()
					w.Receive(context.Background(), watch.Update{
						Table: table, Rows: rows, Revision: 9, Stamp: clock(), Clock: clock(), Returned: returned,
					}, sent)
				}
				relay(configTable, feed.Row{Key: "config", Value: []byte("1"), Revision: 1})
				relay(serversTable, feed.Row{Key: "a", Value: []byte(`{"Service":"s"}`), Revision: 2})
				sleep(5 * time.Second)
				if tc.outage {
					returned = clock()
				}
				relay(configTable)
				relay(serversTable, feed.Row{Key: "a", Revision: 3, Gone: true})
				sleep(time.Second)
				if got := len(w.State().Servers.Ready("s")); got != tc.want {
					t.Errorf("%d servers are ready, want %d", got, tc.want)
				}
			})
		})
	}
}

func TestMerge(t *testing.T) {
	row := func(key string, revision int64, gone bool) feed.Row {
		return feed.Row{Key: key, Revision: revision, Gone: gone}
	}
	first := watch.Update{Table: "t", Rows: []feed.Row{row("a", 1, false), row("b", 2, false)}, Complete: true, Revision: 2, Stamp: 2, Clock: 5}
	for name, tc := range map[string]struct {
		next watch.Update
		want []feed.Row
	}{
		"proof":           {watch.Update{Table: "t", Revision: 3, Stamp: 3}, first.Rows},
		"newer row":       {watch.Update{Table: "t", Rows: []feed.Row{row("a", 3, false)}, Stamp: 3}, []feed.Row{row("a", 3, false), row("b", 2, false)}},
		"new row":         {watch.Update{Table: "t", Rows: []feed.Row{row("c", 3, false)}, Stamp: 3}, []feed.Row{row("a", 1, false), row("b", 2, false), row("c", 3, false)}},
		"removed row":     {watch.Update{Table: "t", Rows: []feed.Row{row("b", 3, true)}, Stamp: 3}, []feed.Row{row("a", 1, false), row("b", 3, true)}},
		"complete update": {watch.Update{Table: "t", Rows: []feed.Row{row("c", 3, false)}, Complete: true, Stamp: 3}, []feed.Row{row("c", 3, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			got := first.Merge(tc.next)
			if !reflect.DeepEqual(got.Rows, tc.want) || !got.Complete || got.Stamp != 3 || len(first.Rows) != 2 || first.Rows[0].Revision != 1 {
				t.Errorf("got %+v of %+v", got, first)
			}
		})
	}
}
