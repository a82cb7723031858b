package gateway

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/event"
)

// looks are when this host looked at servers for others. It is safe for use by
// many goroutines.
type looks struct {
	mu   sync.Mutex
	last map[uint32]time.Duration // by [quarantine.ServerDigest]
}

func newLooks() *looks { return &looks{last: map[uint32]time.Duration{}} }

// begin reports whether it is time to look at a server, and notes that it is done.
func (l *looks) begin(server uint32, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, at := range l.last {
		if now-at >= lookPause {
			delete(l.last, s)
		}
	}
	if _, lately := l.last[server]; lately {
		return false
	}
	l.last[server] = now
	return true
}

// WithHosts sets what tells the other hosts that are there, by the platform.
func WithHosts(f func() []quarantine.Host) Option { return func(g *Gateway) { g.hosts = f } }

// witness looks at servers that other hosts have found closed, where this one is a
// witness. Nobody waits for it.
func (g *Gateway) witness(r quarantine.Record) {
	for _, e := range r.Crashes {
		if e.Confirmed || !g.looks.begin(e.Server, g.clock.Now()) {
			continue
		}
		if s, ok := g.digested(e.Server); ok && !s.Draining && g.witnesses(s, e) {
			go g.look(s, e.Server)
		}
	}
}

// digested returns the server that others name by a digest.
func (g *Gateway) digested(server uint32) (backend.Server, bool) {
	servers := g.state().Servers
	for _, id := range servers.IDs() {
		if quarantine.ServerDigest(id) == server {
			return servers.Get(id)
		}
	}
	return backend.Server{}, false
}

// witnesses reports whether this host is to look at a server that another has found
// closed, by the hosts that were heard lately.
func (g *Gateway) witnesses(s backend.Server, e quarantine.Crash) bool {
	now := g.clock.Now()
	hosts := slices.DeleteFunc(g.hosts(), func(h quarantine.Host) bool {
		return h.Number != e.Reporter && !g.board.HostAlive(h.Number, now)
	})
	hosts = append(hosts, quarantine.Host{Number: g.board.Host(), Hall: g.hall})
	return slices.Contains(quarantine.Witnesses(e.Server, s.Hall, e.Reporter, hosts), g.board.Host())
}

// look proves a server's end, if this host finds it closed too.
func (g *Gateway) look(s backend.Server, digest uint32) {
	if !g.closed(s) {
		return
	}
	rs, changes := g.quarantine.ConfirmCrash(digest, g.clock.Now())
	if len(rs) == 0 {
		return // others were faster
	}
	g.log.Write(event.EndProved, slog.String("server", s.ID), slog.Int("requests", len(rs)))
	g.suspected(byThisHost, changes)
	g.suspects()
}
