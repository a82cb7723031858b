package watch

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
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
	if r.relayed && w.isStale(r) && !w.hasNewerConfig(r) {
		return
	}
	if w.lost[r.table] && !r.relayed {
		w.lost[r.table] = false
		w.log.Write(event.PlatformReachable, slog.String("table", r.table), slog.Duration("after", r.failing))
	}
	w.detectReturn(r)
	w.detectRestore(r)
	changed := false
	switch r.table {
	case w.tables.Config:
		w.lastConfig = max(w.lastConfig, r.batch.Stamp)
		changed = w.applyConfig(&r)
		changed = w.applyEvacuations(r) || changed
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
		w.log.Write(event.ServersChanged, slog.Int("servers", w.State().Servers.Len()), slog.Int64("revision", feed.Counter(r.batch.Revision)))
	}
	if r.table == w.tables.Config && w.config != nil {
		w.configProof.Store(max(w.configProof.Load(), int64(r.batch.Stamp)))
		if r.relayed {
			w.relayedProof.Store(max(w.relayedProof.Load(), int64(r.batch.Stamp)))
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
// has missed nothing. A host that was cut off from the other hosts at the same time concludes
// nothing from its own polls, since it was probably cut off from the platform, too.
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
	case !r.relayed && r.failing > minOutage && !w.isolatedSince(w.Now()-r.failing):
		w.returned = w.gap.to
	default:
		return
	}
	age, _ := w.platformClock.Age(w.returned, w.Now())
	w.servers.PlatformReturned(w.Now() - age)
	w.logReturn(r.relayed, age)
}

// detectRestore detects that the platform has come back from a copy of its data. Entries
// of servers that it has lost are written again, as after an outage.
func (w *Watcher) detectRestore(r read) {
	era := feed.Era(r.batch.Revision)
	if era <= w.era {
		return
	}
	first := w.era < 0
	w.era = era
	w.endPolls(era)
	if first {
		return
	}
	age, _ := w.platformClock.Age(r.batch.Stamp, w.Now())
	w.returned = max(w.returned, r.batch.Stamp)
	w.servers.PlatformReturned(w.Now() - age)
	w.log.Write(event.PlatformRestored, slog.Int64("era", era), slog.Int64("revision", feed.Counter(r.batch.Revision)),
		slog.Bool("told", r.relayed), slog.Duration("ago", age))
	w.onRestored()
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
// answer may contain one for each missed change. The operator's version orders them, since
// the platform's revisions don't if it has come back from a copy. A row of an older
// version gets the value of the one in force, so that other hosts aren't told of it.
func (w *Watcher) applyConfig(r *read) bool {
	changed := false
	rows := slices.Clone(r.batch.Rows)
	for i, row := range rows {
		if !w.isOtherConfig(row) {
			continue
		}
		c, err := w.decode.Config(row.Value)
		if err != nil {
			if w.recordUnusable(row) {
				w.log.Write(event.PlatformRowUnusable, slog.Int64("revision", feed.Counter(row.Revision)), slog.String("error", err.Error()))
			}
			continue
		}
		if w.config != nil && c.Version() <= w.config.Version() {
			rows[i].Value = w.configValue
			continue
		}
		w.config, w.configRevision, w.configValue = c, row.Revision, row.Value
		w.logConfigInForce(*r, row)
		changed = true
	}
	r.batch.Rows = rows
	return changed
}

// logConfigInForce logs the configuration in force, and where its row has spent its time since
// the platform had it.
func (w *Watcher) logConfigInForce(r read, row feed.Row) {
	attrs := []slog.Attr{
		slog.Int64("version", w.config.Version()), slog.Int64("revision", feed.Counter(row.Revision)), slog.Int64("era", feed.Era(row.Revision)),
		slog.Bool("keyed", w.config.Keyed()), slog.Int("keys", w.config.KeyCount()),
		slog.Int("bytes", len(row.Value)), slog.Bool("told", r.relayed),
	}
	if age, known := w.platformClock.Age(r.batch.Stamp, w.Now()); known {
		attrs = append(attrs, slog.Duration("age", age))
	}
	if r.relayed {
		attrs = append(attrs, slog.Duration("transit", r.transit), slog.Duration("applied_in", w.Now()-r.received))
	}
	w.log.Write(event.ConfigInForce, attrs...)
}

// isOtherConfig reports whether a row is a configuration, and not the row in force.
func (w *Watcher) isOtherConfig(row feed.Row) bool {
	return row.Key == w.tables.ConfigKey && !row.Gone && row.Revision != w.configRevision
}

// hasNewerConfig reports whether a configuration that was read is newer than the one in
// force. Another host may know one that the platform has lost with its latest writes.
func (w *Watcher) hasNewerConfig(r read) bool {
	if r.table != w.tables.Config {
		return false
	}
	for _, row := range r.batch.Rows {
		if !w.isOtherConfig(row) {
			continue
		}
		c, err := w.decode.Config(row.Value) // an error is logged where the row is applied
		if err == nil && (w.config == nil || c.Version() > w.config.Version()) {
			return true
		}
	}
	return false
}

// applyEvacuations applies the operator's orders to evacuate data halls.
func (w *Watcher) applyEvacuations(r read) bool {
	now, changed, present := w.Now(), false, map[string]bool{}
	for _, row := range r.batch.Rows {
		hall, ok := w.decode.Evacuation(row.Key)
		switch {
		case !ok:
			continue
		case row.Gone && w.servers.EndEvacuation(hall, row.Revision, now):
			w.logEndedEvacuations([]string{hall}, r.relayed)
			changed = true
		case !row.Gone && w.servers.Evacuate(hall, row.Revision):
			w.log.Write(event.HallEvacuated, slog.String("hall", hall), slog.Bool("told", r.relayed))
			changed = true
		}
		present[hall] = present[hall] || !row.Gone
	}
	if r.complete {
		ended := w.servers.EndMissingEvacuations(present, r.batch.Revision, now)
		w.logEndedEvacuations(ended, r.relayed)
		changed = changed || len(ended) > 0
	}
	w.servers.ConfirmEvacuations(r.batch.Revision, now)
	return changed
}

// logEndedEvacuations logs evacuations that were taken back, or that the platform has lost.
func (w *Watcher) logEndedEvacuations(halls []string, relayed bool) {
	for _, hall := range halls {
		w.log.Write(event.HallEvacuationEnded, slog.String("hall", hall), slog.Bool("told", relayed))
	}
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
		if s.ColdLeft > 0 {
			s.ColdUntil = now + s.ColdLeft
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

// applyHosts applies rows of the table of hosts, and reports whether any host or suspect has
// changed. Each host writes its row again from time to time, without a change.
func (w *Watcher) applyHosts(r read) bool {
	hosts, suspects := false, false
	if r.complete {
		hosts, suspects = w.removeMissingHosts(r.batch)
	}
	for _, row := range r.batch.Rows {
		switch {
		case isSuspect(row.Key):
			suspects = true
			if row.Gone {
				delete(w.suspects, row.Key)
			} else {
				w.applySuspect(row)
			}
		case row.Gone:
			_, known := w.hosts[row.Key]
			delete(w.hosts, row.Key)
			hosts = hosts || known
		default:
			hosts = w.applyHost(row) || hosts
		}
	}
	if hosts {
		w.hostList = slices.SortedFunc(maps.Values(w.hosts), func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	}
	return hosts || suspects
}

// applyHost applies the row of a host, and reports whether the host has changed.
func (w *Watcher) applyHost(row feed.Row) bool {
	h := Host{Name: row.Key}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		if w.recordUnusable(row) {
			w.log.Write(event.PlatformRowUnusable, slog.String("host", row.Key), slog.String("error", err.Error()))
		}
		return false
	}
	if w.hosts[row.Key] == h {
		return false
	}
	w.hosts[row.Key] = h
	return true
}

// removeMissingHosts removes the hosts and suspects that a complete list lacks, and reports
// whether there were any of each.
func (w *Watcher) removeMissingHosts(list feed.Batch) (hosts, suspects bool) {
	present := map[string]bool{}
	for _, row := range list.Rows {
		present[row.Key] = true
	}
	missing := func(key string) bool { return !present[key] && !w.isLost(key, list.Revision) }
	before, suspectsBefore := len(w.hosts), len(w.suspects)
	maps.DeleteFunc(w.hosts, func(key string, _ Host) bool { return missing(key) })
	maps.DeleteFunc(w.suspects, func(key string, _ Suspect) bool { return missing(key) })
	return len(w.hosts) < before, len(w.suspects) < suspectsBefore
}

// isLost reports whether the platform may have lost a row of the table of hosts, that is
// missing at a revision, when it came back from a copy. The hosts that wrote such rows
// write them again.
func (w *Watcher) isLost(key string, revision int64) bool {
	t := w.rows[w.tables.Hosts]
	if t == nil {
		return false
	}
	row, ok := t.rows[key]
	return ok && feed.Era(row.Revision) < feed.Era(revision)
}
