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
	// changeResendTime is how long a changed record is sent to other hosts on every
	// tick of upkeep: if a tenth of all datagrams is lost, all eight of them are lost
	// once in a hundred million times. Records of blocked suspects are then sent on
	// every resendTicks-th tick, and those of cleared suspects until clearedResendTime,
	// for hosts that start, resume or were cut off.
	changeResendTime  = 2 * time.Second
	clearedResendTime = 30 * time.Second
	resendTicks       = 4
	// maxSentRecords bounds the number of records that are sent at once.
	maxSentRecords = 20
	// platformSender is logged as the sender of suspects read from the platform.
	platformSender = "platform"
)

// suspectsChanged sends changed records of suspects to other hosts at once, and has them
// stored if need be.
func (e *Entry) suspectsChanged() {
	e.sendSuspects(0)
	e.signalStore()
}

// signalStore wakes storeSuspects.
func (e *Entry) signalStore() { signal(e.storeSignal) }

// signal wakes the receiver of c, which has a buffer for one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal is pending already
	}
}

// mergeSuspects merges records of suspects from a sender. If each host has observed only
// one of the crashes, a request becomes blocked on all of them only by merging, so any
// host that has changed the record itself then stores it.
func (e *Entry) mergeSuspects(sender string, rs []quarantine.Record) {
	if e.gateway.MergeSuspects(sender, rs) {
		e.signalStore()
	}
}

// mergeParts merges records of parts of prompts likewise.
func (e *Entry) mergeParts(sender string, rs []quarantine.Record) {
	if e.gateway.MergeParts(sender, rs) {
		e.signalStore()
	}
}

// sendSuspects sends the records that this host has changed itself to other hosts. It is called on every tick of upkeep with the number of the tick, and
// with 0 when suspects or hosts have changed.
func (e *Entry) sendSuspects(tick int) {
	e.exchange.SendSuspects(e.startNumber, recordsToSend(e.quarantine.OwnRecords(e.clock.Now()), tick))
	e.exchange.SendParts(e.startNumber, recordsToSend(e.parts.OwnRecords(e.clock.Now()), tick))
}

func recordsToSend(os []quarantine.OwnRecord, tick int) []quarantine.Record {
	var rs []quarantine.Record
	for _, o := range os {
		again := resent(o) && tick%resendTicks == 0
		if (o.Age < changeResendTime || again) && len(rs) < maxSentRecords {
			rs = append(rs, o.Record)
		}
	}
	return rs
}

// resent reports whether a record is still sent when changeResendTime has passed.
func resent(o quarantine.OwnRecord) bool {
	switch o.Stage {
	case quarantine.Blocked:
		return true
	case quarantine.Clear, quarantine.Serialized:
		return o.Age < clearedResendTime
	}
	return false
}

// applySuspects merges records of suspects from another host. It ignores hosts that are not
// in the platform's table of hosts, so that these can't cause requests to be refused.
func (e *Entry) applySuspects(host uint32, rs []quarantine.Record) {
	e.applyRecords(host, rs, e.mergeSuspects)
}

// applyParts merges records of parts of prompts from another host likewise.
func (e *Entry) applyParts(host uint32, rs []quarantine.Record) {
	e.applyRecords(host, rs, e.mergeParts)
}

func (e *Entry) applyRecords(host uint32, rs []quarantine.Record, merge func(sender string, rs []quarantine.Record)) {
	if !e.hostListed(host) {
		e.metrics.Count("suspects_of_unknown_hosts", int64(len(rs)))
		return
	}
	merge(strconv.FormatUint(uint64(host), 10), rs)
}

// hostListed reports whether the platform's table of hosts contains a start of a host.
func (e *Entry) hostListed(number uint32) bool {
	return slices.ContainsFunc(e.watcher.State().Hosts, func(h watch.Host) bool { return h.Number == number })
}

// mergeStoredSuspects merges the records of suspects that the platform's table contains.
// The table carries them to hosts of other cells, and to hosts that start when no other
// host is running.
func (e *Entry) mergeStoredSuspects(ss []watch.Suspect) {
	for _, s := range ss {
		if age, known := e.watcher.Age(s.At()); !known || age < quarantine.BlockedRetention {
			merge := e.mergeSuspects
			if s.Part {
				merge = e.mergeParts
			}
			merge(platformSender, []quarantine.Record{s.Record})
		}
	}
}

// witnessHosts returns the candidates for the witnesses of a crash: all hosts in the
// platform's table but this one.
func (e *Entry) witnessHosts() []quarantine.Host {
	var out []quarantine.Host
	for _, h := range e.excludeOwn(e.watcher.State().Hosts) {
		out = append(out, quarantine.Host{Number: h.Number, Hall: h.Hall})
	}
	return out
}

// storeSuspects writes blocked suspects whose records this host has changed itself to the
// platform, until ctx ends. It writes them again whenever they are cleared or the platform
// has lost rows. Each takes one call, which is rare: a request has to crash three servers
// first.
func (e *Entry) storeSuspects(ctx context.Context) {
	type write struct {
		pardons  uint32 // in the record that was written
		restores int64  // when it was written
	}
	stored := map[quarantine.Fingerprint]write{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-e.storeSignal:
		}
		restores := e.restores.Load()
		for _, reg := range []*quarantine.Registry{e.quarantine, e.parts} {
			for _, o := range reg.OwnRecords(e.clock.Now()) {
				last, known := stored[o.Record.Fingerprint]
				current := write{o.Record.Pardons, restores}
				if known && last == current || !known && o.Stage != quarantine.Blocked {
					continue
				}
				if e.storeSuspect(ctx, o.Record, reg == e.parts) {
					stored[o.Record.Fingerprint] = current
				}
			}
		}
	}
}

// storeSuspect writes the record of one suspect to the platform, and retries until it
// succeeds. It reports false if ctx ends first.
func (e *Entry) storeSuspect(ctx context.Context, r quarantine.Record, part bool) bool {
	for ctx.Err() == nil {
		at, _ := e.watcher.PlatformClock() // if unknown, the zero time makes readers ignore the record as expired
		row, err := json.Marshal(watch.NewSuspect(r, part, at))
		if err == nil {
			c, cancel := context.WithTimeout(ctx, writeTimeout)
			_, err = e.platform.Source.Put(c, e.platform.Tables.Hosts, watch.SuspectKey(r.Fingerprint, part), row)
			cancel()
		}
		if err == nil {
			return true
		}
		e.log.Write(event.PlatformUnreachable, slog.String("doing", "store a suspect"), slog.String("error", err.Error()))
		_ = pause.UpTo(ctx, writeTimeout) // the loop checks ctx
	}
	return false
}
