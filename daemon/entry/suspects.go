package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/watch"
)

const (
	// suspectNews is for how long others are told of a change each upkeepPeriod:
	// of eight such datagrams all are lost once in a hundred million times where
	// a tenth is. After that they are told of what is held, and for clearedNews of
	// what was cleared, each lastingEvery times, for hosts that start, wake up or
	// were cut off.
	suspectNews  = 2 * time.Second
	clearedNews  = 30 * time.Second
	lastingEvery = 4
	// mostTold bounds what is told at once.
	mostTold = 20
	// storedName names who told of suspects that the platform's table has.
	storedName = "platform"
)

// suspectsChanged tells others at once that this host knows more of suspects.
func (e *Entry) suspectsChanged() {
	e.tellSuspects(0)
	e.wakeStoring()
}

func (e *Entry) wakeStoring() { wake(e.changed) }

// wake wakes who waits on c, which holds one word.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it is to wake up already
	}
}

// heard takes in what others know of suspects. Each host may have seen one of the
// ends, so that all of them learn only by hearing that the request is to be held:
// whoever saw any of them stores it then.
func (e *Entry) heard(by string, rs []quarantine.Record) {
	if e.gateway.HearSuspects(by, rs) {
		e.wakeStoring()
	}
}

// tellSuspects tells other hosts of the suspects of which this one has evidence
// of its own. It is called again and again, with a rising number.
func (e *Entry) tellSuspects(number int) {
	var rs []quarantine.Record
	for _, t := range e.quarantine.OwnRecords(e.clock.Now()) {
		again := lasts(t) && number%lastingEvery == 0
		if (t.Age < suspectNews || again) && len(rs) < mostTold {
			rs = append(rs, t.Record)
		}
	}
	e.news.SendSuspects(e.number, rs)
}

// lasts reports whether others are told of a suspect also later.
func lasts(t quarantine.OwnRecord) bool {
	switch t.Record.Stage() {
	case quarantine.Blocked:
		return true
	case quarantine.Clear:
		return t.Age < clearedNews
	}
	return false
}

// hearSuspects takes in what another host tells of suspects, if it is one that the
// platform's table names: others have no say in what is refused.
func (e *Entry) hearSuspects(host uint32, rs []quarantine.Record) {
	if !e.listed(host) {
		e.metrics.Count("suspects_of_unknown_hosts", int64(len(rs)))
		return
	}
	e.heard(strconv.FormatUint(uint64(host), 10), rs)
}

// listed reports whether the platform's table names a host.
func (e *Entry) listed(number uint32) bool {
	return slices.ContainsFunc(e.watcher.State().Hosts, func(h watch.Host) bool { return h.Number == number })
}

// hearStored takes in the suspects that the platform's table has. They reach
// hosts of other cells, and those that start when no other host is left.
func (e *Entry) hearStored(ss []watch.Suspect) {
	for _, s := range ss {
		if age, known := e.watcher.Age(s.At()); !known || age < quarantine.BlockedRetention {
			e.heard(storedName, []quarantine.Record{s.Record})
		}
	}
}

// otherHosts are the hosts that the platform names, without this one.
func (e *Entry) otherHosts() []quarantine.Host {
	var out []quarantine.Host
	for _, h := range e.others(e.watcher.State().Hosts) {
		out = append(out, quarantine.Host{Number: h.Number, Hall: h.Hall})
	}
	return out
}

// storeSuspects writes to the platform what this host has found to be held, and
// what was cleared of it. That is one call for each, which is rare: a request has
// to end three servers first.
func (e *Entry) storeSuspects(ctx context.Context) {
	stored := map[quarantine.Fingerprint]uint32{} // how often each was cleared as it was stored
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.changed:
		}
		for _, t := range e.quarantine.OwnRecords(e.clock.Now()) {
			pardons, known := stored[t.Record.Fingerprint]
			held := t.Record.Stage() == quarantine.Blocked
			if known && pardons == t.Record.Pardons || !known && !held {
				continue
			}
			if e.storeSuspect(ctx, t.Record) {
				stored[t.Record.Fingerprint] = t.Record.Pardons
			}
		}
	}
}

// storeSuspect writes one suspect. It reports false if ctx ended before that.
func (e *Entry) storeSuspect(ctx context.Context, r quarantine.Record) bool {
	for ctx.Err() == nil {
		at, _ := e.watcher.PlatformClock() // zero is long ago: then nobody heeds it
		row, err := json.Marshal(watch.NewSuspect(r, at))
		if err == nil {
			c, cancel := context.WithTimeout(ctx, announceTime)
			_, err = e.platform.Source.Put(c, e.platform.Tables.Hosts, watch.SuspectKey(r.Fingerprint), row)
			cancel()
		}
		if err == nil {
			return true
		}
		e.log.Write(event.PlatformLost, slog.String("doing", "store a suspect"), slog.String("error", err.Error()))
		_ = pause.UpTo(ctx, announceTime) // ctx is looked at above
	}
	return false
}
