package entry

import (
	"slices"
	"time"

	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/watch"
)

const (
	// suspectNews is for how long others are told of a change each upkeepPeriod:
	// of eight such datagrams all are lost once in a hundred million times where
	// a tenth is. After that they are told of what is held only, each
	// heldEvery times, for hosts that start, wake up or were cut off.
	suspectNews = 2 * time.Second
	heldEvery   = 4
	// mostTold bounds what is told at once.
	mostTold = 20
)

// tellSuspects tells other hosts of the suspects of which this one has evidence
// of its own. It is called with a rising number, and at once with zero when there
// is more.
func (e *Entry) tellSuspects(number int) {
	var rs []quarantine.Record
	for _, t := range e.quarantine.Own(time.Since(e.start)) {
		held := t.Record.Stage() == quarantine.Held && number%heldEvery == 0
		if (t.Age < suspectNews || held) && len(rs) < mostTold {
			rs = append(rs, t.Record)
		}
	}
	e.news.Suspects(e.number, rs)
}

// hearSuspects takes in what another host tells of suspects, if it is one that the
// platform's table names: others have no say in what is refused.
func (e *Entry) hearSuspects(host uint32, rs []quarantine.Record) {
	known := slices.ContainsFunc(e.watcher.State().Hosts, func(h watch.Host) bool { return h.Number == host })
	if !known {
		e.metrics.Count("suspects_of_unknown_hosts", int64(len(rs)))
		return
	}
	e.gateway.HearSuspects(host, rs)
}
