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

// probeTimes records when this host last probed servers as a witness. It is safe for
// concurrent use.
type probeTimes struct {
	mu       sync.Mutex
	byServer map[uint32]time.Duration // by [quarantine.ServerDigest]
}

func newProbeTimes() *probeTimes { return &probeTimes{byServer: map[uint32]time.Duration{}} }

// start reports whether a server may be probed now, and if so records the probe.
func (t *probeTimes) start(server uint32, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s, at := range t.byServer {
		if now-at >= crashProbeInterval {
			delete(t.byServer, s)
		}
	}
	if _, recent := t.byServer[server]; recent {
		return false
	}
	t.byServer[server] = now
	return true
}

// WithHosts sets the function that returns the other hosts in the platform's list.
func WithHosts(f func() []quarantine.Host) Option { return func(g *Gateway) { g.otherHosts = f } }

// probeAsWitness starts probes of the servers whose ports another host has found closed, if
// this host is one of the witnesses. It doesn't wait for the results.
func (g *Gateway) probeAsWitness(r quarantine.Record) {
	for _, crash := range r.Crashes {
		if crash.Confirmed || !g.crashProbes.start(crash.Server, g.clock.Now()) {
			continue
		}
		if s, ok := g.serverByDigest(crash.Server); ok && !s.Draining && g.isWitness(s, crash) {
			go g.confirmCrash(s, crash.Server)
		}
	}
}

// serverByDigest returns the server with a digest, as used in reports of other hosts.
func (g *Gateway) serverByDigest(server uint32) (backend.Server, bool) {
	servers := g.state().Servers
	for _, id := range servers.IDs() {
		if quarantine.ServerDigest(id) == server {
			return servers.Get(id)
		}
	}
	return backend.Server{}, false
}

// isWitness reports whether this host is a witness of a crash. Only hosts from
// which a message has arrived recently, and which have a path to the server's service, are
// considered.
func (g *Gateway) isWitness(s backend.Server, crash quarantine.Crash) bool {
	now := g.clock.Now()
	hosts := slices.DeleteFunc(g.otherHosts(), func(h quarantine.Host) bool {
		return h.Number != crash.Reporter && (!g.scheduler.HostAlive(h.Number, now) || g.delegation != nil && g.delegation.Lost(h.Number, s.Service))
	})
	hosts = append(hosts, quarantine.Host{Number: g.scheduler.Host(), Hall: g.hall})
	return slices.Contains(quarantine.Witnesses(crash.Server, s.Hall, crash.Reporter, hosts), g.scheduler.Host())
}

// confirmCrash probes a server as a witness, and confirms the crash if the port is
// closed and others are not.
func (g *Gateway) confirmCrash(s backend.Server, digest uint32) {
	if !g.foundDown(s) {
		return
	}
	rs, changes := g.quarantine.ConfirmCrash(digest, g.clock.Now())
	parts, ofParts := g.parts.ConfirmCrash(digest, g.clock.Now())
	g.logPartChanges(ownReporter, ofParts)
	if len(rs)+len(parts) == 0 {
		return // another host has already confirmed it
	}
	g.log.Write(event.CrashConfirmed, slog.String("server", s.ID), slog.Int("requests", len(rs)), slog.Int("parts", len(parts)))
	g.logSuspectChanges(ownReporter, changes)
	g.suspectsChanged()
}
