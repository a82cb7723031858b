package entry

import (
	"context"
	"log/slog"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/settings"
)

const (
	// noticeTime is how long new connections are still taken after a planned
	// stop began: the balancer asks once a second and needs two misses.
	noticeTime = 2800 * time.Millisecond
	// stopMargin is kept from the grace for the end of the process.
	stopMargin = 700 * time.Millisecond
	// stopPoll is how often a stop looks whether all requests have ended.
	stopPoll = 50 * time.Millisecond
)

// Stop is a planned stop. New connections are taken until the balancer has
// noticed; each answer is the last of its connection; then it waits for
// requests in progress within the grace.
func (e *Entry) Stop(ctx context.Context) {
	begun := time.Now()
	e.stopping.Store(true)
	limit := e.settings.Load().Bounds.Grace - stopMargin
	e.gateway.Drain(begun.Add(noticeTime), begun.Add(limit))
	e.log.Write(event.DaemonDraining, slog.Int64("active", e.gateway.Active()))
	for time.Since(begun) < limit {
		if time.Since(begun) > noticeTime && e.gateway.Active() == 0 {
			break
		}
		if err := pause.For(ctx, stopPoll); err != nil {
			break
		}
	}
	left := e.gateway.Active()
	if left > 0 {
		e.log.Write(event.DaemonGaveUp, slog.Int64("active", left))
	} else {
		e.log.Write(event.DaemonStopped)
	}
	_ = e.callers.Close() // what is open ends here in any case
	e.relays.SetServers(nil)
	e.relay.Stop()
	e.cancel()
	_ = e.news.Close()
	e.log.Close()
}

// Reload takes in changed settings. Addresses hold until the next start; the
// bounds hold at once.
func (e *Entry) Reload(s settings.Entry, err error) {
	if err != nil {
		e.log.Write(event.SettingsBad, slog.String("error", err.Error()))
		return
	}
	old := e.settings.Load()
	s.Host, s.Hall, s.Listen, s.Platform = old.Host, old.Hall, old.Listen, old.Platform
	e.settings.Store(&s)
	e.log.Write(event.SettingsRead, slog.Bool("changed", s != *old))
}
