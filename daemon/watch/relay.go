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

// maxPendingUpdates is the maximum number of updates that a slow subscriber may leave
// unread.
const maxPendingUpdates = 64

type (
	// Update carries what was read from a table to other hosts.
	Update struct {
		Table string     `cbor:"1,keyasint"`
		Rows  []feed.Row `cbor:"2,keyasint,omitempty"`
		// Complete reports that Rows are all rows of the table.
		Complete bool  `cbor:"3,keyasint,omitempty"`
		Revision int64 `cbor:"4,keyasint"`
		// Stamp is the reading of the platform's monotonic clock at which the rows
		// were current.
		Stamp time.Duration `cbor:"5,keyasint"`
		// Returned is the stamp at which the platform returned from its last outage,
		// 0 if there was none.
		Returned time.Duration `cbor:"8,keyasint,omitempty"`
		// Clock is an upper bound on the reading of the platform's monotonic clock at
		// the time of sending. Only the first updates to a subscriber have it.
		Clock time.Duration `cbor:"7,keyasint,omitempty"`
		// Sent is the reading of the platform's monotonic clock at which the update was
		// sent, 0 if the sender doesn't know it.
		Sent time.Duration `cbor:"9,keyasint,omitempty"`
	}

	// table holds the known rows of a table, for new subscribers.
	table struct {
		rows     map[string]feed.Row
		revision int64
		stamp    time.Duration
		digest   uint64 // of all rows, independent of their order
	}

	// subscriber is another host that receives updates.
	subscriber struct {
		updates chan Update
		// digests are the digests of the tables that the host had when it subscribed.
		digests map[string]uint64
	}
)

// Subscribe returns a channel of updates. The first ones hold all rows of each table,
// or none if the table's digest is the one in digests, which are the subscriber's. Until
// the platform's clock is known there are no updates. The channel is closed if the
// subscriber reads too slowly. The returned function ends the subscription.
func (w *Watcher) Subscribe(digests map[string]uint64) (<-chan Update, func()) {
	c := make(chan Update, maxPendingUpdates)
	w.subscribe <- subscriber{c, digests}
	return c, func() { w.unsubscribe <- c }
}

// Digests returns the digests of the known rows, by table.
func (w *Watcher) Digests() map[string]uint64 { return *w.digests.Load() }

// rowDigest returns the digest of one row. The digest of a table is the exclusive or of
// those of its rows, so that single rows can be added and removed.
func rowDigest(r feed.Row) uint64 {
	return xxhash.Sum64String(r.Key + "\x00" + strconv.FormatInt(r.Revision, 10))
}

// Receive applies an update from another host. Sent is the local time at which the
// subscription that it belongs to was requested.
func (w *Watcher) Receive(ctx context.Context, u Update, sent time.Duration) {
	if u.Clock > 0 {
		w.platformClock.Observe(sent, u.Clock)
	}
	r := read{
		table:    u.Table,
		batch:    feed.Batch{Rows: u.Rows, Revision: u.Revision, Stamp: u.Stamp},
		complete: u.Complete,
		relayed:  true, returned: u.Returned,
		received: w.Now(),
	}
	if u.Sent > 0 {
		r.transit, _ = w.Age(u.Sent)
	}
	w.deliver(ctx, r)
}

// ObserveClock records a reading of the platform's monotonic clock from the answer to
// a question that was sent at the local time sent.
func (w *Watcher) ObserveClock(sent, stamp time.Duration) { w.platformClock.Observe(sent, stamp) }

// isStale reports whether r is no newer than the known rows of its table.
func (w *Watcher) isStale(r read) bool {
	t := w.rows[r.table]
	return t != nil && r.batch.Stamp <= t.stamp
}

// relay stores the rows that were read and sends the changes to all subscribers.
func (w *Watcher) relay(r read) {
	u := Update{
		Table: r.table, Rows: r.batch.Rows, Complete: r.complete,
		Revision: r.batch.Revision, Stamp: r.batch.Stamp, Returned: w.returned,
	}
	t := w.rows[r.table]
	switch {
	case t == nil:
		t = &table{rows: map[string]feed.Row{}}
		w.rows[r.table] = t
	case r.complete:
		u.Rows, u.Complete = t.changes(r.batch, r.table == w.tables.Servers), false
	}
	if r.table != w.tables.Config { // there, the operator's version goes before the revision
		u.Rows = t.newer(u.Rows, u.Revision)
	}
	t.apply(u.Rows)
	t.revision = max(t.revision, u.Revision)
	t.stamp = max(t.stamp, u.Stamp)
	digests := maps.Clone(*w.digests.Load())
	digests[r.table] = t.digest
	w.digests.Store(&digests)
	for c := range w.subscribers {
		w.send(c, u)
	}
}

// Merge combines two consecutive updates of a table into one, with the newest state of
// each row. Next is the newer update.
func (u Update) Merge(next Update) Update {
	if next.Complete {
		return next
	}
	index := map[string]int{}
	rows := slices.Clone(u.Rows)
	for i, r := range rows {
		index[r.Key] = i
	}
	for _, r := range next.Rows {
		if i, ok := index[r.Key]; ok {
			rows[i] = r
			continue
		}
		rows = append(rows, r)
	}
	next.Rows, next.Complete, next.Clock = rows, u.Complete, u.Clock
	return next
}

// changes returns the rows of a complete list that are newer than the known ones, and
// the known rows that it lacks, marked as gone. Sending the complete list of a large
// fleet's servers would occupy the links to all subscribers for seconds. Rows of an earlier
// era, which the platform may have lost, are gone only if lostGone is set.
func (t *table) changes(list feed.Batch, lostGone bool) []feed.Row {
	var rows []feed.Row
	present := map[string]bool{}
	for _, r := range list.Rows {
		present[r.Key] = true
		if old, ok := t.rows[r.Key]; !ok || old.Revision < r.Revision {
			rows = append(rows, r)
		}
	}
	for key, old := range t.rows {
		lost := feed.Era(old.Revision) < feed.Era(list.Revision)
		if !present[key] && old.Revision <= list.Revision && (lostGone || !lost) {
			rows = append(rows, feed.Row{Key: key, Revision: list.Revision, Gone: true})
		}
	}
	return rows
}

// newer returns rows that were read at a revision without those older than the known ones. An
// answer may come late, after other hosts have relayed newer rows; an entry that is unknown by
// then and no newer than the table has been removed.
func (t *table) newer(rows []feed.Row, revision int64) []feed.Row {
	return slices.DeleteFunc(slices.Clone(rows), func(r feed.Row) bool {
		if old, ok := t.rows[r.Key]; ok {
			return r.Revision < old.Revision
		}
		return revision < t.revision && r.Revision <= t.revision
	})
}

// apply applies changed rows to the table.
func (t *table) apply(rows []feed.Row) {
	for _, row := range rows {
		if old, ok := t.rows[row.Key]; ok {
			t.digest ^= rowDigest(old)
			delete(t.rows, row.Key)
		}
		if !row.Gone {
			t.rows[row.Key] = row
			t.digest ^= rowDigest(row)
		}
	}
}

// send sends an update to a subscriber, or ends the subscription if the subscriber
// reads too slowly.
func (w *Watcher) send(c chan Update, u Update) {
	select {
	case c <- u:
	default:
		w.removeSubscriber(c)
	}
}

// addSubscriber sends the known rows of all tables to a new subscriber. Without a
// reading of the platform's clock, these would prove nothing to the subscriber, which has
// to wait until there is one.
func (w *Watcher) addSubscriber(s subscriber) {
	c := s.updates
	clock, known := w.PlatformClock()
	if !known {
		w.waiting = append(w.waiting, s)
		return
	}
	w.subscribers[c] = true
	for name, t := range w.rows {
		u := Update{Table: name, Revision: t.revision, Stamp: t.stamp, Clock: clock, Returned: w.returned}
		if digest, ok := s.digests[name]; !ok || digest != t.digest {
			u.Complete, u.Rows = true, slices.Collect(maps.Values(t.rows))
		}
		w.send(c, u)
	}
}

// addWaiting adds the subscribers that wait for a reading of the platform's clock, once
// there is one.
func (w *Watcher) addWaiting() {
	if _, known := w.PlatformClock(); !known || len(w.waiting) == 0 {
		return
	}
	waiting := w.waiting
	w.waiting = nil
	for _, s := range waiting {
		w.addSubscriber(s)
	}
}

func (w *Watcher) removeSubscriber(c chan Update) {
	before := len(w.waiting)
	w.waiting = slices.DeleteFunc(w.waiting, func(s subscriber) bool { return s.updates == c })
	if w.subscribers[c] || len(w.waiting) < before {
		delete(w.subscribers, c)
		close(c)
	}
}
