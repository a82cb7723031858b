package entry

import (
	"context"
	"log/slog"
	"net/http"
	"reflect"
	"sync"
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
	// refusalDelay is how long new streams are still accepted: by then the balancer has
	// usually noticed, and a delay between the signal and the stop, or between the caller and
	// this host, moves no stream beyond the first three seconds, whose streams may be cut.
	refusalDelay = 2200 * time.Millisecond
	// maxExitMargin is the longest time that is left for the exit of the process, and
	// exitFraction the largest fraction of the grace period: callers expect that requests
	// are cut in its last sixth only.
	maxExitMargin = 700 * time.Millisecond
	exitFraction  = 1. / 8
	// exitReserve is the fraction of that time for the end of the process itself, and the least
	// that a late exit waits for the log.
	exitReserve = 0.25
	// maxShutdownTime bounds the wait for servers that no longer accept connections: one that
	// has no descriptors accepts none, and waits up to a second to try again.
	maxShutdownTime = 100 * time.Millisecond
	// stopPollInterval is the interval at which Stop checks for requests in progress.
	stopPollInterval = 50 * time.Millisecond
)

// Stop performs a planned stop. New connections are accepted until the load balancer has
// noticed the stop and no request is in progress, and each connection is closed after its
// next answer. Stop waits for the requests in progress until the grace period or ctx ends,
// then closes everything.
func (e *Entry) Stop(ctx context.Context) { e.StopSince(ctx, time.Now()) }

// StopSince does what [Entry.Stop] does, for a stop that was requested at begun.
func (e *Entry) StopSince(ctx context.Context, begun time.Time) {
	e.stopping.Store(true)
	grace := e.settings.Load().Bounds.Grace
	end := begun.Add(stopLimit(grace))
	e.gateway.Drain(begun.Add(refusalDelay), end)
	e.log.Write(event.DaemonDraining, slog.Int("active", e.answering.count()))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	_ = pause.For(ctx, balancerNoticeTime) // if it ends early, so do the waits below
	e.awaitAnswers(ctx)
	e.stopAccepting()
	e.awaitAnswers(ctx)
	if left := max(e.gateway.LogCut(), e.answering.count()); left > 0 {
		e.log.WriteLast(event.DaemonStoppedWithRequests, slog.Int("active", left), slog.Duration("took", time.Since(begun)))
	} else {
		e.log.WriteLast(event.DaemonStopped, slog.Duration("took", time.Since(begun)))
	}
	e.exit(exitTimeout(grace, time.Since(begun)))
}

// exit closes everything, the connections of callers first, and waits until the log is written,
// both together at most for timeout.
func (e *Entry) exit(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		e.closeAll()
	}()
	select {
	case <-closed:
	case <-time.After(timeout / 2): // the end of the process closes the rest
	}
	_ = e.log.Shutdown(ctx) // an output that takes no lines can't be told of it
}

// closeAll closes all listeners and connections. It may take long: the relay server waits for
// hosts that have connected and say nothing.
func (e *Entry) closeAll() {
	for _, s := range []*http.Server{e.callerServer, e.delegated, e.readinessServer, e.operatorServer} {
		if s != nil {
			_ = s.Close() // remaining connections are cut
		}
	}
	e.relayClient.SetServers(nil)
	e.cancel()
	_ = e.exchange.Close()
	e.relayServer.Stop()
}

// exitMargin returns the time that is left for the exit of the process.
func exitMargin(grace time.Duration) time.Duration {
	return min(maxExitMargin, time.Duration(exitFraction*float64(grace)))
}

// stopLimit returns the longest time that a stop waits for requests in progress.
func stopLimit(grace time.Duration) time.Duration { return grace - exitMargin(grace) }

// exitTimeout returns how long the exit may take if the stop has taken a time before it. The
// process has ended by the end of the grace period, unless the stop came to its end late: then
// the log gets some time all the same.
func exitTimeout(grace, took time.Duration) time.Duration {
	margin := exitMargin(grace)
	least := time.Duration(exitReserve * float64(margin))
	return min(max(grace-took-least, least), margin)
}

// awaitAnswers waits until no request is in progress or ctx ends.
func (e *Entry) awaitAnswers(ctx context.Context) {
	for e.answering.count() > 0 {
		if pause.For(ctx, stopPollInterval) != nil {
			return
		}
	}
}

// stopAccepting closes the listeners of requests and the idle connections. Only requests
// that are in progress when it returns are handled.
func (e *Entry) stopAccepting() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Shutdown would wait for connections on which no request has come
	var servers sync.WaitGroup
	for _, s := range []*http.Server{e.callerServer, e.delegated} {
		if s != nil {
			servers.Go(func() { _ = s.Shutdown(ctx) }) // the error is that of ctx
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		servers.Wait()
	}()
	select {
	case <-done:
	case <-time.After(maxShutdownTime):
	}
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
