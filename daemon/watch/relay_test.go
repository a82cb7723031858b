package watch_test

import (
	"context"
	"reflect"
	"testing"
	"time"

	"slipcrank.example/core/feed"
	"slipcrank.example/daemon/watch"
)

// TestListenersAreToldChangesOnly has the platform forget its history, so that
// a table is listed anew.
func TestListenersAreToldChangesOnly(t *testing.T) {
	run(t, func(s *fakeStore, w *watch.Watcher) {
		for _, key := range []string{"a", "b", "c"} {
			s.put(serversTable, key, `{"Service":"s"}`)
		}
		settle()
		updates, leave := w.Subscribe(nil)
		defer leave()
		pass(time.Second)
		told(updates, serversTable) // all that is known
		s.set(func() { s.forgets = true })
		s.remove(serversTable, "a")
		s.put(serversTable, "b", `{"Service":"s","Draining":true}`)
		pass(3 * time.Second)
		s.set(func() { s.forgets = false })
		gone, changed := 0, 0
		for _, u := range told(updates, serversTable) {
			if u.Complete {
				t.Error("the whole table is told again")
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
			t.Errorf("%d rows are told as gone and %d as changed, want 1 and 1", gone, changed)
		}
	})
}

// told takes the updates of a table that wait.
func told(updates <-chan watch.Update, table string) []watch.Update {
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

// TestEntriesThatGoByWordOfOthers has a host that is told by others alone hear
// nothing for a while, and then that a server's entry has gone.
func TestEntriesThatGoByWordOfOthers(t *testing.T) {
	for name, tc := range map[string]struct {
		away bool // the platform was, by the word of the other host
		want int
	}{
		"the way to the other host was slow": {false, 0},
		"the platform was away":              {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(s *fakeStore, w *watch.Watcher) {
				w.SetPolling(watch.PollNothing, time.Second)
				pass(time.Second)
				clock := func() time.Duration { return time.Since(s.start) + time.Hour }
				var returned time.Duration
				tell := func(table string, rows ...feed.Row) {
					asked := w.Now()
					w.Receive(context.Background(), watch.Update{
						Table: table, Rows: rows, Revision: 9, Stamp: clock(), Clock: clock(), Returned: returned,
					}, asked)
				}
				tell(configTable, feed.Row{Key: "config", Value: []byte("1"), Revision: 1})
				tell(serversTable, feed.Row{Key: "a", Value: []byte(`{"Service":"s"}`), Revision: 2})
				pass(5 * time.Second)
				if tc.away {
					returned = clock()
				}
				tell(configTable)
				tell(serversTable, feed.Row{Key: "a", Revision: 3, Gone: true})
				pass(time.Second)
				if got := len(w.State().Servers.Ready("s")); got != tc.want {
					t.Errorf("%d servers are ready, want %d", got, tc.want)
				}
			})
		})
	}
}

func TestJoin(t *testing.T) {
	row := func(key string, revision int64, gone bool) feed.Row {
		return feed.Row{Key: key, Revision: revision, Gone: gone}
	}
	first := watch.Update{Table: "t", Rows: []feed.Row{row("a", 1, false), row("b", 2, false)}, Complete: true, Revision: 2, Stamp: 2, Clock: 5}
	for name, tc := range map[string]struct {
		next watch.Update
		want []feed.Row
	}{
		"a proof":       {watch.Update{Table: "t", Revision: 3, Stamp: 3}, first.Rows},
		"a newer row":   {watch.Update{Table: "t", Rows: []feed.Row{row("a", 3, false)}, Stamp: 3}, []feed.Row{row("a", 3, false), row("b", 2, false)}},
		"another row":   {watch.Update{Table: "t", Rows: []feed.Row{row("c", 3, false)}, Stamp: 3}, []feed.Row{row("a", 1, false), row("b", 2, false), row("c", 3, false)}},
		"one that went": {watch.Update{Table: "t", Rows: []feed.Row{row("b", 3, true)}, Stamp: 3}, []feed.Row{row("a", 1, false), row("b", 3, true)}},
		"all rows":      {watch.Update{Table: "t", Rows: []feed.Row{row("c", 3, false)}, Complete: true, Stamp: 3}, []feed.Row{row("c", 3, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			got := first.Merge(tc.next)
			if !reflect.DeepEqual(got.Rows, tc.want) || !got.Complete || got.Stamp != 3 || len(first.Rows) != 2 || first.Rows[0].Revision != 1 {
				t.Errorf("got %+v of %+v", got, first)
			}
		})
	}
}
