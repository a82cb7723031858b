package watch

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"slipcrank.example/core/feed"
)

// maxWaiting is how many updates a slow listener may leave unread.
const maxWaiting = 64

type (
	// Update is what was read of a table, for other hosts.
	Update struct {
		Table string     `cbor:"1,keyasint"`
		Rows  []feed.Row `cbor:"2,keyasint,omitempty"`
		// Complete says that rows which aren't named don't exist.
		Complete bool  `cbor:"3,keyasint,omitempty"`
		Revision int64 `cbor:"4,keyasint"`
		// Stamp is the platform's steady clock when this was true.
		Stamp time.Duration `cbor:"5,keyasint"`
		// Returned is the stamp at which the platform was back from its last
		// absence, 0 if it has not been away.
		Returned time.Duration `cbor:"8,keyasint,omitempty"`
		// Clock is at least what the platform's steady clock shows as this is
		// sent; only in the first updates of a listener.
		Clock time.Duration `cbor:"7,keyasint,omitempty"`
	}

	// table is what is known of one, to tell new listeners.
	table struct {
		rows     map[string]feed.Row
		revision int64
		stamp    time.Duration
		digest   uint64 // of all rows, whatever their order
	}

	// listener is another host that hears updates.
	listener struct {
		updates chan Update
		// knows are the digests of the tables that it knew as it came.
		knows map[string]uint64
	}
)

// Subscribe returns updates, first of each table: all its rows, or none if the
// listener knows the same ones by their digest. The channel is closed if its
// reader is too slow. The returned function ends the subscription.
func (w *Watcher) Subscribe(knows map[string]uint64) (<-chan Update, func()) {
	c := make(chan Update, maxWaiting)
	w.tell <- listener{c, knows}
	return c, func() { w.leave <- c }
}

// Digests returns digests of the rows that are known, by table.
func (w *Watcher) Digests() map[string]uint64 { return *w.digests.Load() }

// digest is of one row. Those of a table's rows are combined by exclusive or,
// so that one row is taken out or in at a time.
func digest(r feed.Row) uint64 {
	return xxhash.Sum64String(r.Key + "\x00" + strconv.FormatInt(r.Revision, 10))
}

// Receive takes in an update of another host, which was asked for updates at the
// time asked.
func (w *Watcher) Receive(ctx context.Context, u Update, asked time.Duration) {
	if u.Clock > 0 {
		w.clock.Observe(asked, u.Clock)
	}
	w.hand(ctx, read{
		table: u.Table,
		batch: feed.Batch{Rows: u.Rows, Revision: u.Revision, Stamp: u.Stamp},
		whole: u.Complete,
		told:  true, returned: u.Returned,
	})
}

// ObserveClock takes in a reading of the platform's steady clock, in the
// answer to a question sent at the time asked.
func (w *Watcher) ObserveClock(asked, stamp time.Duration) { w.clock.Observe(asked, stamp) }

// known reports whether what another host tells is no newer than what is
// known.
func (w *Watcher) known(r read) bool {
	t := w.rows[r.table]
	return t != nil && r.batch.Stamp <= t.stamp
}

// pass keeps what was read and tells all listeners what is new in it.
func (w *Watcher) pass(r read) {
	u := Update{
		Table: r.table, Rows: r.batch.Rows, Complete: r.whole,
		Revision: r.batch.Revision, Stamp: r.batch.Stamp, Returned: w.returned,
	}
	t := w.rows[r.table]
	switch {
	case t == nil:
		t = &table{rows: map[string]feed.Row{}}
		w.rows[r.table] = t
	case r.whole:
		u.Rows, u.Complete = t.changes(r.batch), false
	}
	t.apply(u.Rows)
	t.revision = max(t.revision, u.Revision)
	t.stamp = max(t.stamp, u.Stamp)
	digests := maps.Clone(*w.digests.Load())
	digests[r.table] = t.digest
	w.digests.Store(&digests)
	for c := range w.heard {
		w.offer(c, u)
	}
}

// Merge returns one update in place of two of the same table, of which the
// second is newer: of each row its newest state.
func (u Update) Merge(next Update) Update {
	if next.Complete {
		return next
	}
	last := map[string]int{}
	rows := slices.Clone(u.Rows)
	for i, r := range rows {
		last[r.Key] = i
	}
	for _, r := range next.Rows {
		if i, ok := last[r.Key]; ok {
			rows[i] = r
			continue
		}
		rows = append(rows, r)
	}
	next.Rows, next.Complete, next.Clock = rows, u.Complete, u.Clock
	return next
}

// changes returns the rows of a whole list that differ from those that are
// known, and those that it lacks as gone. A list of a large fleet's servers
// would keep the links to all listeners busy for seconds.
func (t *table) changes(whole feed.Batch) []feed.Row {
	var rows []feed.Row
	present := map[string]bool{}
	for _, r := range whole.Rows {
		present[r.Key] = true
		if old, ok := t.rows[r.Key]; !ok || old.Revision < r.Revision {
			rows = append(rows, r)
		}
	}
	for key, old := range t.rows {
		if !present[key] && old.Revision <= whole.Revision {
			rows = append(rows, feed.Row{Key: key, Revision: whole.Revision, Gone: true})
		}
	}
	return rows
}

// apply brings changed rows into the table.
func (t *table) apply(rows []feed.Row) {
	for _, row := range rows {
		if old, ok := t.rows[row.Key]; ok {
			t.digest ^= digest(old)
			delete(t.rows, row.Key)
		}
		if !row.Gone {
			t.rows[row.Key] = row
			t.digest ^= digest(row)
		}
	}
}

// offer tells a listener, or ends its subscription if it is too slow.
func (w *Watcher) offer(c chan Update, u Update) {
	select {
	case c <- u:
	default:
		w.dismiss(c)
	}
}

// welcome tells a new listener all that is known. Without a reading of the
// platform's clock nothing can be proven to it, so it has to come again.
func (w *Watcher) welcome(l listener) {
	c := l.updates
	clock, known := w.PlatformClock()
	if !known {
		close(c)
		return
	}
	w.heard[c] = true
	for name, t := range w.rows {
		u := Update{Table: name, Revision: t.revision, Stamp: t.stamp, Clock: clock, Returned: w.returned}
		if knows, ok := l.knows[name]; !ok || knows != t.digest {
			u.Complete, u.Rows = true, slices.Collect(maps.Values(t.rows))
		}
		w.offer(c, u)
	}
}

func (w *Watcher) dismiss(c chan Update) {
	if w.heard[c] {
		delete(w.heard, c)
		close(c)
	}
}
