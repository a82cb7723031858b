package watch

import (
	"encoding/json"
	"log/slog"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/feed"
	"slipcrank.example/daemon/event"
)

// take brings what was read into the state.
func (w *Watcher) take(r read) {
	if r.err != nil {
		if !w.lost[r.table] {
			w.lost[r.table] = true
			w.log.Write(event.PlatformLost, slog.String("table", r.table), slog.String("error", r.err.Error()))
		}
		return
	}
	if r.told && w.known(r) {
		return
	}
	if w.lost[r.table] && !r.told {
		w.lost[r.table] = false
		w.log.Write(event.PlatformBack, slog.String("table", r.table), slog.Duration("after", r.after))
	}
	w.noteReturn(r)
	changed := false
	switch r.table {
	case w.tables.Config:
		w.answered = max(w.answered, r.batch.Stamp)
		changed = w.takeConfig(r)
	case w.tables.Servers:
		changed = w.takeServers(r)
	case w.tables.Hosts:
		changed = w.takeHosts(r)
	}
	if l := w.book.TakeChanges(); len(l) > 0 {
		age, _ := w.clock.Age(r.batch.Stamp, w.Now())
		w.logLeaving(l, r.told, age)
	}
	if changed {
		w.publish()
	}
	if r.table == w.tables.Servers {
		w.listed.Store(max(w.listed.Load(), int64(r.batch.Stamp)))
	}
	if changed && r.table == w.tables.Servers {
		w.log.Write(event.ServersChanged, slog.Int("servers", w.State().Servers.Len()), slog.Int64("revision", r.batch.Revision))
	}
	if r.table == w.tables.Config && w.config != nil {
		w.proven.Store(max(w.proven.Load(), int64(r.batch.Stamp)))
		if r.told {
			w.told.Store(int64(r.batch.Stamp))
		}
	}
	w.pass(r)
}

// noteReturn notes that the platform has been away, if this host's questions
// failed for long, or another host says so, and nobody told this one a proof
// meanwhile. Neither alone is enough: the platform may turn one host or a hall away
// and serve others, and a host that hears proofs late has missed nothing.
//
// It was back when the first proof was made after that: those who find it out later,
// or tell it again, would have servers kept that have left since.
func (w *Watcher) noteReturn(r read) {
	if gap := r.batch.Stamp - w.answered; w.answered > 0 && gap > w.tables.PollWait+outageTime {
		w.missed = span{w.answered, r.batch.Stamp}
	}
	if w.missed.to == 0 || w.returned > w.missed.from { // there was none, or it is known
		return
	}
	switch {
	case r.told && r.returned > w.missed.from:
		w.returned = min(r.returned, w.missed.to)
	case !r.told && r.after > outageTime:
		w.returned = w.missed.to
	default:
		return
	}
	age, _ := w.clock.Age(w.returned, w.Now())
	w.book.PlatformReturned(w.Now() - age)
	w.logReturn(r.told, age)
}

func (w *Watcher) logReturn(told bool, ago time.Duration) {
	w.log.Write(event.PlatformReturned, slog.Bool("told", told), slog.Duration("ago", ago))
}

// logLeaving writes how servers began and ceased to leave, by news of this age: 0 for
// a time that is over.
func (w *Watcher) logLeaving(leaving []backend.Change, told bool, age time.Duration) {
	for _, l := range leaving {
		w.log.Write(event.ServerLeaving, slog.String("server", l.ID), slog.String("change", string(l.Kind)),
			slog.Bool("told", told), slog.Duration("age", age))
	}
}

// takeConfig brings the newest of the configurations that were read into
// force: an answer may hold one for each change that was missed.
func (w *Watcher) takeConfig(r read) bool {
	changed := false
	for _, row := range r.batch.Rows {
		if row.Key != w.tables.ConfigKey || row.Gone || row.Revision <= w.configRevision {
			continue
		}
		c, err := w.decode.Config(row.Value)
		if err != nil {
			if w.strange(row) {
				w.log.Write(event.ConfigBad, slog.Int64("revision", row.Revision), slog.String("error", err.Error()))
			}
			continue
		}
		if w.config != nil && c.Version() <= w.config.Version() {
			continue
		}
		w.config, w.configRevision = c, row.Revision
		w.log.Write(event.ConfigInForce, slog.Int64("version", c.Version()), slog.Int64("revision", row.Revision))
		changed = true
	}
	return changed
}

func (w *Watcher) takeServers(r read) bool {
	now := w.Now()
	changed := false
	present := map[string]bool{}
	for _, row := range r.batch.Rows {
		if row.Gone {
			changed = w.book.Remove(row.Key, row.Revision, now) || changed
			continue
		}
		present[row.Key] = true
		s, err := w.decode.Server(row.Key, row.Value)
		if err != nil {
			if w.strange(row) {
				w.log.Write(event.ConfigBad, slog.String("server", row.Key), slog.String("error", err.Error()))
			}
			changed = w.book.MarkUnreadable(row.Key, row.Revision) || changed
			continue
		}
		changed = w.book.Put(s, row.Revision) || changed
	}
	if r.whole {
		changed = w.book.RemoveMissing(present, r.batch.Revision, now) || changed
	}
	return changed
}

// strange notes a row that can't be used, and reports whether this version of it
// is new: a list holds it each time.
func (w *Watcher) strange(row feed.Row) bool {
	if w.unusable[row.Key] >= row.Revision {
		return false
	}
	if len(w.unusable) >= mostUnusable {
		clear(w.unusable) // some are logged once more
	}
	w.unusable[row.Key] = row.Revision
	w.metrics.Count("rows_unusable", 1)
	return true
}

// mostUnusable bounds the unusable rows that are remembered as logged.
const mostUnusable = 1024

func (w *Watcher) takeSuspect(row feed.Row) {
	var s Suspect
	if err := json.Unmarshal(row.Value, &s); err != nil {
		if w.strange(row) {
			w.log.Write(event.ConfigBad, slog.String("suspect", row.Key), slog.String("error", err.Error()))
		}
		return
	}
	w.suspects[row.Key] = s
}

func (w *Watcher) takeHosts(r read) bool {
	if r.whole {
		clear(w.hosts)
		clear(w.suspects)
	}
	for _, row := range r.batch.Rows {
		if row.Gone {
			delete(w.hosts, row.Key)
			delete(w.suspects, row.Key)
			continue
		}
		if isSuspect(row.Key) {
			w.takeSuspect(row)
			continue
		}
		h := Host{Name: row.Key}
		if err := json.Unmarshal(row.Value, &h); err != nil {
			if w.strange(row) {
				w.log.Write(event.ConfigBad, slog.String("host", row.Key), slog.String("error", err.Error()))
			}
			continue
		}
		w.hosts[row.Key] = h
	}
	return r.whole || len(r.batch.Rows) > 0
}
