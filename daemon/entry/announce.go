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
	// announcePeriod is how often a host writes its row anew, which also reads
	// the platform's clock, so that its bound doesn't grow by drift.
	announcePeriod = 2 * time.Minute
	// announceTime bounds one write to the platform, and the pause after one
	// that failed.
	announceTime = 2 * time.Second
)

// announce keeps a row at the platform that tells others of this host.
func (e *Entry) announce(ctx context.Context) {
	s := e.settings.Load()
	row, err := json.Marshal(watch.Host{Addr: s.Listen.News, Hall: s.Hall, Link: s.Link, Number: e.number})
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
			e.announced.CompareAndSwap(0, int64(e.clock.Now()))
			e.watcher.ObserveClock(asked, stamp)
			_ = pause.For(ctx, announcePeriod) // ctx is looked at above
			continue
		}
		e.log.Write(event.PlatformLost, slog.String("doing", "announce"), slog.String("error", err.Error()))
		_ = pause.UpTo(ctx, announceTime) // ctx is looked at above
	}
}
