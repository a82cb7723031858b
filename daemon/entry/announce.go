package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/watch"
)

const (
	// announceInterval is the interval at which a host rewrites its row. Each write also
	// reads the platform's clock, which keeps the bound on its offset from growing by
	// drift.
	announceInterval = 2 * time.Minute
	// writeTimeout bounds one write to the platform, and the pause after a failed one.
	writeTimeout = 2 * time.Second
	// rewriteSpread is the period over which hosts spread their writes after the platform
	// has lost rows.
	rewriteSpread = time.Second
)

// announce maintains this host's row in the platform's table of hosts, through which the
// other hosts learn of it, until ctx ends.
func (e *Entry) announce(ctx context.Context) {
	s := e.settings.Load()
	row, err := json.Marshal(watch.Host{Addr: s.Listen.News, Hall: s.Hall, Link: s.Link, Number: e.startNumber})
	if err != nil {
		e.log.Write(event.UpdateLost, slog.String("doing", "announce"), slog.String("error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, writeTimeout)
		sent := e.watcher.Now()
		stamp, err := e.platform.Source.Put(c, e.platform.Tables.Hosts, s.Host, row)
		cancel()
		if err == nil {
			e.announcedAt.CompareAndSwap(0, int64(e.clock.Now()))
			e.watcher.ObserveClock(sent, stamp)
			e.awaitAnnouncement(ctx)
			continue
		}
		e.log.Write(event.PlatformUnreachable, slog.String("doing", "announce"), slog.String("error", err.Error()))
		_ = pause.UpTo(ctx, writeTimeout) // the loop checks ctx
	}
}

// awaitAnnouncement waits until this host's row has to be written again, or ctx ends.
func (e *Entry) awaitAnnouncement(ctx context.Context) {
	timer := time.NewTimer(announceInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.announceSignal:
		_ = pause.UpTo(ctx, rewriteSpread) // the caller checks ctx
	}
}

// platformRestored has this host's rows written again that the platform may have lost when
// it came back from a copy.
func (e *Entry) platformRestored() {
	e.restores.Add(1)
	signal(e.announceSignal)
	e.signalStore()
}
