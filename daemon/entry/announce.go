package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"slipcrank.example/core/feed"
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
	// sponsorTimeout is how long a host that starts waits until a seed has written its
	// row, before it writes the row itself. The row comes back by the readers, which ask for
	// the hosts about once a second in a large fleet.
	sponsorTimeout = 3 * time.Second
	// listedCheckInterval is the interval at which it checks that.
	listedCheckInterval = 100 * time.Millisecond
	// sponsorDelay is how long a seed gathers the rows of hosts that start.
	sponsorDelay = 200 * time.Millisecond
)

// sponsor gathers the rows of hosts that start, which a seed writes for them. It is safe for
// concurrent use.
type sponsor struct {
	mu      sync.Mutex
	pending map[string]watch.Host // by name
	written map[string]uint32     // number of the last start that was written, by name
	signal  chan struct{}
}

func newSponsor() *sponsor {
	return &sponsor{pending: map[string]watch.Host{}, written: map[string]uint32{}, signal: make(chan struct{}, 1)}
}

// add adds the row of a host, unless it was written already.
func (s *sponsor) add(h watch.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.written[h.Name] == h.Number {
		return
	}
	s.pending[h.Name], s.written[h.Name] = h, h.Number
	signal(s.signal)
}

// take removes and returns up to n rows.
func (s *sponsor) take(n int) []watch.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []watch.Host
	for name, h := range s.pending {
		if len(hosts) == n {
			signal(s.signal)
			break
		}
		hosts = append(hosts, h)
		delete(s.pending, name)
	}
	return hosts
}

// writeSponsored writes the rows of hosts that start, until ctx ends. A host whose row is
// lost writes it itself.
func (e *Entry) writeSponsored(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.sponsor.signal:
		}
		_ = pause.For(ctx, sponsorDelay) // a write after ctx has ended fails
		var rows []feed.Row
		for _, h := range e.sponsor.take(feed.MaxPutRows) {
			if value, ok := e.marshalHost(h); ok {
				rows = append(rows, feed.Row{Key: h.Name, Value: value})
			}
		}
		if len(rows) == 0 {
			continue // an earlier write had them
		}
		c, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := e.platform.Source.PutAll(c, e.platform.Tables.Hosts, rows)
		cancel()
		if err != nil {
			e.log.Write(event.PlatformUnreachable, slog.String("doing", "announce others"), slog.String("error", err.Error()))
		}
	}
}

// marshalHost returns the row of a host, or logs why there is none.
func (e *Entry) marshalHost(h watch.Host) ([]byte, bool) {
	row, err := json.Marshal(h)
	if err != nil {
		e.log.Write(event.UpdateLost, slog.String("doing", "announce"), slog.String("error", err.Error()))
	}
	return row, err == nil
}

// announce maintains this host's row in the platform's table of hosts, through which the
// other hosts learn of it, until ctx ends. At the start a seed may write it.
func (e *Entry) announce(ctx context.Context) {
	s := e.settings.Load()
	row, ok := e.marshalHost(watch.Host{Addr: s.Listen.News, Hall: s.Hall, Link: s.Link, Number: e.startNumber})
	if !ok {
		return
	}
	if e.awaitListed(ctx) {
		e.announcedAt.CompareAndSwap(0, int64(e.clock.Now()))
		e.awaitAnnouncement(ctx)
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

// awaitListed waits until a seed has written this host's row, and reports whether it has.
func (e *Entry) awaitListed(ctx context.Context) bool {
	for len(e.joiner.seeds) > 0 && !e.joiner.seed && e.clock.Now() < sponsorTimeout && pause.For(ctx, listedCheckInterval) == nil {
		if own, ok := e.listedHost(); ok && own.Number == e.startNumber {
			return true
		}
	}
	return false
}

// listedHost returns the row of this host that the platform has.
func (e *Entry) listedHost() (watch.Host, bool) {
	hosts, name := e.watcher.State().Hosts, e.settings.Load().Host
	i := slices.IndexFunc(hosts, func(h watch.Host) bool { return h.Name == name })
	if i < 0 {
		return watch.Host{}, false
	}
	return hosts[i], true
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
