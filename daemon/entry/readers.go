package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/watch"
)

const (
	// readersKey is what hosts are ranked by.
	readersKey = "readers"
	// hallReaders is how many hosts of a hall ask the platform. With two, the
	// loss of one delays nothing.
	hallReaders = 2
	// heardHosts is how many others each host hears.
	heardHosts = 2
	// askMargin is how long before the age at which a change has to be in
	// force a host that is told by others asks the platform itself.
	askMargin = 300 * time.Millisecond
	// askTime is how long it then goes on asking.
	askTime = 3 * time.Second
	// announcePeriod is how often a host writes its row anew, which also reads
	// the platform's clock, so that its bound doesn't grow by drift.
	announcePeriod = 2 * time.Minute
	// announceTime bounds one write to the platform, and the pause after one
	// that failed.
	announceTime = 2 * time.Second
)

// readers is what a host has chosen: whom it hears, and whether it asks the
// platform.
type readers struct {
	hear   []string
	reads  bool
	asking time.Time // until then it asks although others tell
}

// announce keeps a row at the platform that tells others of this host.
func (e *Entry) announce(ctx context.Context) {
	s := e.settings.Load()
	row, err := json.Marshal(watch.Host{Addr: s.Listen.News, Hall: s.Hall, Number: e.number})
	if err != nil {
		e.log.Write(event.NewsLost, slog.String("doing", "announce"), slog.String("error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, announceTime)
		asked := e.watcher.Now()
		stamp, err := e.platform.Source.Put(c, e.platform.Tables.Hosts, s.Host, row)
		cancel()
		if err == nil {
			e.watcher.ObserveClock(asked, stamp)
			_ = pause.For(ctx, announcePeriod) // ctx is looked at above
			continue
		}
		e.log.Write(event.PlatformLost, slog.String("doing", "announce"), slog.String("error", err.Error()))
		_ = pause.UpTo(ctx, announceTime) // ctx is looked at above
	}
}

// chooseReaders decides anew whom this host hears and whether it asks the
// platform.
func (e *Entry) chooseReaders(r *readers) {
	s := e.settings.Load()
	hall, others := []string{s.Host}, []string{}
	addrs := map[string]string{}
	for _, h := range e.liveHosts() {
		addrs[h.Name] = h.Addr
		if h.Hall == s.Hall {
			hall = append(hall, h.Name)
		} else {
			others = append(others, h.Name)
		}
	}
	ranked := route.Rank(readersKey, hall)
	place := slices.Index(ranked, s.Host)
	reads := place < hallReaders
	var hear []string
	for _, name := range append(slices.Delete(ranked, place, place+1), route.Rank(readersKey, others)...) {
		if len(hear) < heardHosts {
			hear = append(hear, addrs[name])
		}
	}
	now := time.Now()
	if age, ok := e.watcher.ToldAge(); !reads && (!ok || age > s.Bounds.Config-askMargin) {
		r.asking = now.Add(askTime)
	}
	reads = reads || now.Before(r.asking)
	if reads == r.reads && slices.Equal(hear, r.hear) {
		return
	}
	r.hear, r.reads = hear, reads
	e.watcher.SetReading(reads)
	e.relays.Hear(hear)
	e.log.Write(event.RelayChosen, slog.Bool("asks", reads), slog.String("hears", strings.Join(hear, ",")),
		slog.Int("hall", len(hall)))
}

// liveHosts are the others that have told something lately.
func (e *Entry) liveHosts() []watch.Host {
	var live []watch.Host
	for _, h := range e.watcher.State().Hosts {
		if h.Number != e.number && e.board.HeardFrom(h.Number, time.Since(e.start)) {
			live = append(live, h)
		}
	}
	return live
}
