package watch

import (
	"encoding/json"
	"log/slog"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/feed"
	"slipcrank.example/daemon/event"
)

// apply applies what was read to the state.
func (w *Watcher) apply(r read) {
	if r.err != nil {
		if !w.lost[r.table] {
			w.lost[r.table] = true
			w.log.Write(event.PlatformUnreachable, slog.String("table", r.table), slog.String("error", r.err.Error()))
		}
		return
	}
	if r.relayed && w.isStale(r) {
		return
	}
	if w.lost[r.table] && !r.relayed {
		w.lost[r.table] = false
		w.log.Write(event.PlatformReachable, slog.String("table", r.table), slog.Duration("after", r.failing))
	}
	w.detectReturn(r)
	changed := false
	switch r.table {
	case w.tables.Config:
		w.lastConfig = max(w.lastConfig, r.batch.Stamp)
		changed = w.applyConfig(r)
	case w.tables.Servers:
		changed = w.applyServers(r)
	case w.tables.Hosts:
		changed = w.applyHosts(r)
	}
	if l := w.servers.TakeChanges(); len(l) > 0 {
		age, _ := w.platformClock.Age(r.batch.Stamp, w.Now())
		w.logServerChanges(l, r.relayed, age)
	}
	if changed {
		w.publish()
	}
	if r.table == w.tables.Servers {
		w.serversProof.Store(max(w.serversProof.Load(), int64(r.batch.Stamp)))
	}
	if changed && r.table == w.tables.Servers {
		w.log.Write(event.ServersChanged, slog.Int("servers", w.State().Servers.Len()), slog.Int64("revision", r.batch.Revision))
	}
	if r.table == w.tables.Config && w.config != nil {
		w.configProof.Store(max(w.configProof.Load(), int64(r.batch.Stamp)))
		if r.relayed {
			w.relayedProof.Store(int64(r.batch.Stamp))
		}
	}
	w.relay(r)
}

// detectReturn detects the platform's return from an outage, which makes the registry
// retain servers whose entries may have lapsed. Two conditions have to hold: this
// host had no answer about the configuration for some time, from the platform or from
// another host, and either its own polls failed for more than minOutage or another
// host reports a return. Neither is sufficient alone: the platform may refuse one
// host or a hall while it serves others, and a host that merely receives proofs late
// has missed nothing.
//
// The time of the return is the first proof after the gap. Later reports of the same
// return don't change it, since that would retain servers that have left since.
func (w *Watcher) detectReturn(r read) {
	if elapsed := r.batch.Stamp - w.lastConfig; w.lastConfig > 0 && elapsed > w.tables.PollWait+minOutage {
		w.gap = interval{w.lastConfig, r.batch.Stamp}
	}
	if w.gap.to == 0 || w.returned > w.gap.from { // no gap, or its return is already recorded
		return
	}
	switch {
	case r.relayed && r.returned > w.gap.from:
		w.returned = min(r.returned, w.gap.to)
	case !r.relayed && r.failing > minOutage:
		w.returned = w.gap.to
	default:
		return
	}
	age, _ := w.platformClock.Age(w.returned, w.Now())
	w.servers.PlatformReturned(w.Now() - age)
	w.logReturn(r.relayed, age)
}

func (w *Watcher) logReturn(relayed bool, age time.Duration) {
	w.log.Write(event.PlatformReturned, slog.Bool("told", relayed), slog.Duration("ago", age))
}

// logServerChanges logs changes of servers. Age is the age of the rows that caused
// them, or 0 for the end of a grace period.
func (w *Watcher) logServerChanges(changes []backend.Change, relayed bool, age time.Duration) {
	for _, c := range changes {
		w.log.Write(event.ServerLeavingOrReturned, slog.String("server", c.ID), slog.String("change", string(c.Kind)),
			slog.Bool("told", relayed), slog.Duration("age", age))
	}
}

// applyConfig puts the newest of the configurations that were read into force. An
// answer may contain one for each missed change.
func (w *Watcher) applyConfig(r read) bool {
	changed := false
	for _, row := range r.batch.Rows {
		if row.Key != w.tables.ConfigKey || row.Gone || row.Revision <= w.configRevision {
			continue
		}
		c, err := w.decode.Config(row.Value)
		if err != nil {
			if w.recordUnusable(row) {
				w.log.Write(event.PlatformRowUnusable, slog.Int64("revision", row.Revision), slog.String("error", err.Error()))
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

func (w *Watcher) applyServers(r read) bool {
	now := w.Now()
	changed := false
	present := map[string]bool{}
	for _, row := range r.batch.Rows {
		if row.Gone {
			changed = w.servers.Remove(row.Key, row.Revision, now) || changed
			continue
		}
		present[row.Key] = true
		s, err := w.decode.Server(row.Key, row.Value)
		if err != nil {
			if w.recordUnusable(row) {
				w.log.Write(event.PlatformRowUnusable, slog.String("server", row.Key), slog.String("error", err.Error()))
			}
			changed = w.servers.MarkUnreadable(row.Key, row.Revision) || changed
			continue
		}
		changed = w.servers.Put(s, row.Revision) || changed
	}
	if r.complete {
		changed = w.servers.RemoveMissing(present, r.batch.Revision, now) || changed
	}
	return changed
}

// recordUnusable records a row that can't be parsed, and reports whether this revision
// of it is new. Each complete list contains the row again.
func (w *Watcher) recordUnusable(row feed.Row) bool {
	if w.unusable[row.Key] >= row.Revision {
		return false
	}
	if len(w.unusable) >= maxUnusable {
		clear(w.unusable) // some rows are logged once more
	}
	w.unusable[row.Key] = row.Revision
	w.metrics.Count("rows_unusable", 1)
	return true
}

// maxUnusable is the maximum number of unusable rows that are recorded as logged.
const maxUnusable = 1024

func (w *Watcher) applySuspect(row feed.Row) {
	var s Suspect
	if err := json.Unmarshal(row.Value, &s); err != nil {
		if w.recordUnusable(row) {
			w.log.Write(event.PlatformRowUnusable, slog.String("suspect", row.Key), slog.String("error", err.Error()))
		}
		return
	}
	w.suspects[row.Key] = s
}

func (w *Watcher) applyHosts(r read) bool {
	if r.complete {
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
			w.applySuspect(row)
			continue
		}
		h := Host{Name: row.Key}
		if err := json.Unmarshal(row.Value, &h); err != nil {
			if w.recordUnusable(row) {
				w.log.Write(event.PlatformRowUnusable, slog.String("host", row.Key), slog.String("error", err.Error()))
			}
			continue
		}
		w.hosts[row.Key] = h
	}
	return r.complete || len(r.batch.Rows) > 0
}
