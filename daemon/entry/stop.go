package entry

import (
	"context"
	"log/slog"
	"net/http"
	"reflect"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/settings"
)

const (
	// balancerNoticeTime is how long new connections are still accepted after a planned
	// stop has begun: the load balancer checks the readiness once per second, and
	// removes a host after two failed checks.
	balancerNoticeTime = 2800 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the exit of the
	// process.
	exitMargin = 700 * time.Millisecond
	// stopPollInterval is the interval at which Stop checks for requests in progress.
	stopPollInterval = 50 * time.Millisecond
)

// Stop performs a planned stop. New connections are accepted until the load balancer has
// noticed the stop, and each connection is closed after its next answer. Stop waits for
// the requests in progress until the grace period or ctx ends, then closes everything.
func (e *Entry) Stop(ctx context.Context) {
	begun := time.Now()
	e.stopping.Store(true)
	limit := e.settings.Load().Bounds.Grace - exitMargin
	e.gateway.Drain(begun.Add(balancerNoticeTime), begun.Add(limit))
	e.log.Write(event.DaemonDraining, slog.Int64("active", e.gateway.Active()))
	for time.Since(begun) < limit {
		if time.Since(begun) > balancerNoticeTime && e.gateway.Active() == 0 {
			break
		}
		if err := pause.For(ctx, stopPollInterval); err != nil {
			break
		}
	}
	if left := e.gateway.LogCut(); left > 0 {
		e.log.WriteLast(event.DaemonStoppedWithRequests, slog.Int("active", left), slog.Duration("took", time.Since(begun)))
	} else {
		e.log.WriteLast(event.DaemonStopped, slog.Duration("took", time.Since(begun)))
	}
	for _, s := range []*http.Server{e.callerServer, e.delegated, e.readinessServer, e.operatorServer} {
		if s != nil {
			_ = s.Close() // remaining connections are cut
		}
	}
	e.relayClient.SetServers(nil)
	e.relayServer.Stop()
	e.cancel()
	_ = e.exchange.Close()
	e.log.Close()
}

// Reload applies changed settings, or logs the error with which they were read. Bounds take
// effect at once; the host's name, its hall and all addresses only at the next start.
func (e *Entry) Reload(s settings.Entry, err error) {
	if err != nil {
		e.log.Write(event.SettingsUnusable, slog.String("error", err.Error()))
		return
	}
	old := e.settings.Load()
	s.Host, s.Hall, s.Listen, s.Platform = old.Host, old.Hall, old.Listen, old.Platform
	e.settings.Store(&s)
	e.log.Write(event.SettingsReloaded, slog.Bool("changed", !reflect.DeepEqual(s, *old)))
}
