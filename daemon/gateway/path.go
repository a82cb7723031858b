package gateway

import (
	"log/slog"
	"sync"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/reach"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

// pathStates holds the state of the path to each service as it was last logged. The zero
// value is ready to use.
type pathStates struct {
	mu        sync.Mutex
	byService map[string]reach.State
}

// set records a state, and reports the one before and whether they differ.
func (p *pathStates) set(service string, s reach.State) (reach.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byService == nil {
		p.byService = map[string]reach.State{}
	}
	old := p.byService[service]
	p.byService[service] = s
	return old, s != old
}

// listedServers returns how many servers are listed, of a service and in all.
func (g *Gateway) listedServers(service string) reach.Listed {
	servers := g.state().Servers
	return reach.Listed{Service: len(servers.Ready(service)), All: servers.Len()}
}

// recordAnswer records that the head of an answer has arrived from a server.
func (g *Gateway) recordAnswer(server backend.Server, a *upstream.Answer) {
	if a.NewConnection {
		g.reach.Opened(server.Service, server.ID, g.clock.Now())
	}
	g.recordHeard(server)
}

// recordHeard records that a server has sent something.
func (g *Gateway) recordHeard(server backend.Server) {
	if g.reach.Heard(server.Service, server.ID, g.clock.Now()) {
		g.logPath(server.Service, "heard")
	}
}

// recordPathFailure records a try that failed on the way to a server or back. A failure
// that the server has answered with shows that the path is sound.
func (g *Gateway) recordPathFailure(server backend.Server, out outcome) {
	if out.answer != nil || out.reason == "memory_not_held" {
		return
	}
	record := g.reach.Failed
	if out.result == unsent {
		record = g.reach.NotOpened
	}
	record(server.Service, server.ID, g.listedServers(server.Service), g.clock.Now())
	g.logPath(server.Service, out.reason)
}

// logPath logs the state of the path to a service if it has changed. Doubtful paths are
// counted only, since any server that fails makes the path doubtful.
func (g *Gateway) logPath(service, why string) {
	s := g.reach.State(service)
	old, changed := g.pathStates.set(service, s)
	if !changed {
		return
	}
	g.metrics.Count("gateway_path_changes", 1, "service", service, "state", s.String())
	if max(old, s) < reach.Closed {
		return
	}
	attrs := []slog.Attr{slog.String("service", service), slog.String("state", s.String()), slog.String("before", old.String()), slog.String("why", why)}
	if heard, ok := g.reach.LastHeard(); ok {
		attrs = append(attrs, slog.Duration("heard_ago", g.clock.Now()-heard))
	}
	g.log.Write(event.PathChanged, attrs...)
}
