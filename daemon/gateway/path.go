package gateway

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/reach"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

const (
	// unheardTimeout is how long a server may send nothing, beyond the predicted time to
	// its first token, until the path is checked. It is ten times the usual duration of a
	// plain call.
	unheardTimeout = 300 * time.Millisecond
	// pathProbeTimeout bounds a probe. It is 50 times the latency between halls.
	pathProbeTimeout = 300 * time.Millisecond
	// probeHedgeDelay is how long the first probe of a path in doubt may take until others
	// are begun. Nearly all are answered in a tenth of it.
	probeHedgeDelay = 100 * time.Millisecond
	// quietTime is how long no server may have been heard until a call that can't be
	// repeated is sent on a new connection, which shows whether there is a path.
	quietTime = time.Second
	// probedServers is the number of servers that one check probes.
	probedServers = 3
	// minProbeInterval is the minimum time between checks of the path to a service. A
	// random part of it is added, so that hosts which lose their paths together don't
	// probe together.
	minProbeInterval = 300 * time.Millisecond
)

type (
	// pathStates holds the state of the path to each service as it was last logged. The
	// zero value is ready to use.
	pathStates struct {
		mu        sync.Mutex
		byService map[string]reach.State
	}

	// serverGroups holds the groups of the ready servers of a list. It is an immutable value.
	serverGroups struct {
		servers   *backend.View
		byService map[string][]string
	}

	// pathChecks holds which paths, to services or servers, are being checked, and when the
	// next checks may begin. The zero value is ready to use.
	pathChecks struct {
		mu      sync.Mutex
		running map[string]bool
		next    map[string]time.Duration
	}
)

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

// lost returns the services whose path is lost, sorted.
func (p *pathStates) lost() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, s := range p.byService {
		if s == reach.Lost {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// begin reports whether a path may be checked now, and if so records the check.
func (p *pathChecks) begin(name string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		p.running, p.next = map[string]bool{}, map[string]time.Duration{}
	}
	if p.running[name] || now < p.next[name] {
		return false
	}
	p.running[name] = true
	p.next[name] = now + minProbeInterval + rand.N(minProbeInterval)
	return true
}

func (p *pathChecks) end(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, name)
}

// prune forgets checks after which the next ones may begin.
func (p *pathChecks) prune(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.next, func(_ string, next time.Duration) bool { return now >= next })
}

// count counts a call that this host serves in the retry budget, once.
func (g *Gateway) count(c *call) {
	if !c.counted {
		g.budget.AddRequest(c.route.Targets, time.Now())
		c.counted = true
	}
}

// pathGroup returns the group of servers to which the path is judged together: those of a
// service in a data hall.
func pathGroup(s backend.Server) string { return s.Service + "@" + s.Hall }

// pathGroups returns the groups of a service's ready servers. They are computed once for
// each list of servers, which may have a thousand.
func (g *Gateway) pathGroups(service string) []string {
	servers := g.state().Servers
	known := g.serverGroups.Load()
	if known == nil || known.servers != servers {
		known = newServerGroups(servers)
		g.serverGroups.Store(known)
	}
	return known.byService[service]
}

func newServerGroups(servers *backend.View) *serverGroups {
	out := &serverGroups{servers: servers, byService: map[string][]string{}}
	for _, service := range servers.Services() {
		var groups []string
		for _, s := range servers.Ready(service) {
			if name := pathGroup(s); !slices.Contains(groups, name) {
				groups = append(groups, name)
			}
		}
		out.byService[service] = groups
	}
	return out
}

// pathState returns the state of the path to the servers of a service: that of the hall
// which is best to reach.
func (g *Gateway) pathState(service string) reach.State {
	groups := g.pathGroups(service)
	if len(groups) == 0 {
		return reach.Sound
	}
	best := reach.Lost
	for _, name := range groups {
		best = min(best, g.reach.State(name, g.clock.Now()))
	}
	return best
}

// listedServers returns how many servers are listed, of a server's group and in all.
func (g *Gateway) listedServers(server backend.Server) reach.Listed {
	servers, n := g.state().Servers, 0
	for _, s := range servers.Ready(server.Service) {
		if s.Hall == server.Hall {
			n++
		}
	}
	return reach.Listed{Group: n, All: servers.Len()}
}

// recordAnswer records that the head of an answer has arrived from a server.
func (g *Gateway) recordAnswer(server backend.Server, a *upstream.Answer) {
	if a.NewConnection {
		g.reach.Opened(pathGroup(server), server.ID, g.clock.Now())
	}
	g.recordHeard(server)
}

// recordHeard records that a server has sent something.
func (g *Gateway) recordHeard(server backend.Server) {
	if g.reach.Heard(pathGroup(server), server.ID, g.clock.Now()) {
		g.logPath(server.Service, "heard")
	}
}

// recordPathFailure records a try that failed on the way to a server or back. A failure
// that the server has answered with shows that the path is sound.
func (g *Gateway) recordPathFailure(c *call, server backend.Server, out outcome) {
	if out.heard() || out.reason == "memory_not_held" {
		return
	}
	c.unreached++
	if out.reason == reasonSilent || out.stoodStill() {
		g.checkPath(server.Service) // a server may be silent and a host stand still, so only probes tell
		return
	}
	record := g.reach.Failed
	if out.result == unsent {
		record = g.reach.NotOpened
	}
	record(pathGroup(server), server.ID, g.listedServers(server), g.clock.Now())
	g.pathFailed(server, out.reason)
}

// mayBlame reports whether other hosts may be told that a server has failed: it has
// answered with the failure itself, or this host has heard another server since the try
// began.
func (g *Gateway) mayBlame(server string, out outcome) bool {
	return out.heard() || g.reach.HeardOther(server, g.clock.Now()-out.took)
}

// heard reports whether the server has sent something that shows that the path to it is sound.
func (o outcome) heard() bool { return o.answer != nil || errors.Is(o.err, upstream.ErrInvalidAnswer) }

// stoodStill reports whether this host stood still while it opened a connection, so that it may have
// given up one that the server had accepted in time.
func (o outcome) stoodStill() bool {
	return o.result == unsent && o.took > upstream.DialTimeout+maxTimerDelay
}

// pathFailed reacts to a failure on the path to a server: it moves the calls that wait in
// vain if the path to its service is lost, and otherwise finds out whether it is.
func (g *Gateway) pathFailed(server backend.Server, why string) {
	g.logPath(server.Service, why)
	if g.reach.AllUnheard(g.clock.Now()) {
		g.checkAllPaths()
	}
	if g.pathState(server.Service) == reach.Lost {
		g.leaveUnreached(server.Service)
		return
	}
	if g.reach.State(pathGroup(server), g.clock.Now()) != reach.Sound {
		g.checkPath(server.Service)
	}
}

// leaveUnreached moves the calls that wait in vain for servers of a service which can't be
// reached. Servers of which that isn't known are probed.
func (g *Gateway) leaveUnreached(service string) {
	unreached := func(s backend.Server, since time.Duration) bool { return g.reach.Unreached(pathGroup(s), s.ID, since) }
	for _, s := range g.exchanges.leaveUnreached(service, g.clock.Now()-unheardTimeout, unreached) {
		if g.serverChecks.begin(s.ID, g.clock.Now()) {
			go func() {
				defer g.serverChecks.end(s.ID)
				g.probePathTo(s) // if it fails, the path's failure moves the calls
			}()
		}
	}
}

// checkAllPaths checks the paths to all services that may be lost without a failure of their own.
func (g *Gateway) checkAllPaths() {
	for _, service := range g.state().Servers.Services() {
		if g.pathState(service) == reach.Doubtful {
			g.checkPath(service)
		}
	}
}

// pathCheckDelay returns how long the server of a placement may send nothing until it is
// checked whether any server is heard.
func pathCheckDelay(p schedule.Placement) time.Duration { return p.FirstToken + unheardTimeout }

// checkSilentPath checks the path to a server that has sent nothing on an exchange, unless
// another one of its service was heard meanwhile.
func (g *Gateway) checkSilentPath(x *exchange) {
	since := g.clock.Now() - unheardTimeout
	if x.lastHeard() <= since && !g.heardSince(x.server.Service, since) {
		g.checkPath(x.server.Service)
	}
}

// checkQuietStreams checks the paths to services whose servers have begun to answer, and of
// which none was heard for unheardTimeout.
func (g *Gateway) checkQuietStreams() {
	since := g.clock.Now() - unheardTimeout
	for _, service := range g.exchanges.begunServices() {
		if !g.heardSince(service, since) {
			g.checkPath(service)
		}
	}
}

// withinReach returns the servers of a service without those to whose halls the path is lost,
// or all servers if none are left.
func (g *Gateway) withinReach(service string, servers []backend.Server) []backend.Server {
	if g.worstPathState(service) < reach.Lost {
		return servers
	}
	now := g.clock.Now()
	out := func(s backend.Server) bool { return g.reach.OutOfReach(pathGroup(s), s.ID, now) }
	if reached := slices.DeleteFunc(slices.Clone(servers), out); len(reached) > 0 {
		return reached
	}
	return servers
}

// worstPathState returns the state of the path to the servers of a service in the hall
// which is worst to reach.
func (g *Gateway) worstPathState(service string) reach.State {
	worst := reach.Sound
	for _, name := range g.pathGroups(service) {
		worst = max(worst, g.reach.State(name, g.clock.Now()))
	}
	return worst
}

// heardSince reports whether any server of a service was heard since a time.
func (g *Gateway) heardSince(service string, since time.Duration) bool {
	return slices.ContainsFunc(g.pathGroups(service), func(group string) bool { return g.reach.HeardSince(group, since) })
}

// provesPath reports whether a call must be sent on a new connection: if it can't be
// repeated, a connection that has silently died would lose it.
func (g *Gateway) provesPath(c *call) bool {
	return g.delegation != nil && !c.route.Resumable() && !g.reach.HeardOther("", g.clock.Now()-quietTime)
}

// checkPath probes a few servers of a service, unless this is being done. It doesn't wait
// for the results.
func (g *Gateway) checkPath(service string) {
	if g.delegation != nil && g.pathChecks.begin(service, g.clock.Now()) {
		go func() {
			defer g.pathChecks.end(service)
			g.probePath(service)
		}()
	}
}

// probePath probes servers of a service. On a path in doubt these are some that haven't
// failed, and on one that is lost those that have.
func (g *Gateway) probePath(service string) {
	failing := map[string]bool{}
	for _, group := range g.pathGroups(service) {
		for _, id := range g.reach.Failing(group) {
			failing[id] = true
		}
	}
	lost := g.worstPathState(service) >= reach.Closed
	var probed []backend.Server
	servers := inTurn(g.state().Servers.Ready(service))
	for _, s := range servers {
		if len(probed) < probedServers && lost == failing[s.ID] {
			probed = append(probed, s)
		}
	}
	switch {
	case len(servers) == 0:
	case len(probed) == 0:
		g.probePathTo(servers[0])
	case lost:
		for _, s := range probed {
			if !g.probePathTo(s) {
				return
			}
		}
	default:
		g.probeUntilOpened(probed)
	}
}

// inTurn returns servers in a random order in which those of different halls take turns, since
// the path to each hall is judged by itself.
func inTurn(servers []backend.Server) []backend.Server {
	out, turn, seen := make([]backend.Server, len(servers)), map[string]int{}, map[string]int{}
	for i, n := range rand.Perm(len(servers)) {
		out[i] = servers[n]
	}
	for _, s := range out {
		turn[s.ID] = seen[s.Hall]
		seen[s.Hall]++
	}
	slices.SortStableFunc(out, func(a, b backend.Server) int { return turn[a.ID] - turn[b.ID] })
	return out
}

// probeUntilOpened probes the first of some servers and, unless that succeeds within
// probeHedgeDelay, the others.
func (g *Gateway) probeUntilOpened(servers []backend.Server) {
	var wg sync.WaitGroup
	opened := make(chan struct{})
	wg.Go(func() {
		if g.probePathTo(servers[0]) {
			close(opened)
		}
	})
	select {
	case <-opened:
	case <-time.After(probeHedgeDelay):
		for _, s := range servers[1:] {
			wg.Go(func() { g.probePathTo(s) })
		}
	}
	wg.Wait()
}

// probePathTo probes a server, records the result and reports whether it succeeded. A probe that
// ends too late shows that this host stood still, and nothing about the path, as does one for
// which it can't open a connection.
func (g *Gateway) probePathTo(s backend.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pathProbeTimeout)
	defer cancel()
	began := time.Now()
	err := g.pool.Probe(ctx, s.Addr)
	if err != nil && time.Since(began) > pathProbeTimeout+maxTimerDelay {
		g.metrics.Count("gateway_path_probes", 1, "result", "standstill")
		return false
	}
	if upstream.LocalError(err) {
		g.metrics.Count("gateway_path_probes", 1, "result", reasonLocal)
		return false
	}
	if err != nil {
		g.metrics.Count("gateway_path_probes", 1, "result", errorKind(err))
		g.reach.NotOpened(pathGroup(s), s.ID, g.listedServers(s), g.clock.Now())
		g.pathFailed(s, "probe_failed")
		return false
	}
	g.metrics.Count("gateway_path_probes", 1, "result", "opened")
	g.reach.Probed(pathGroup(s), s.ID, g.clock.Now())
	g.scheduler.ForgetFailures(s.ID)
	g.logPath(s.Service, "probe")
	return true
}

// maintainPaths probes servers in halls to which the path is lost, and moves calls that wait
// for them in vain.
func (g *Gateway) maintainPaths() {
	servers := g.state().Servers
	g.reach.Retain(func(id string) bool { _, ok := servers.Get(id); return ok })
	g.serverChecks.prune(g.clock.Now())
	g.checkQuietStreams()
	if g.reach.AllUnheard(g.clock.Now()) {
		g.checkAllPaths()
	}
	for _, service := range servers.Services() {
		if g.pathState(service) == reach.Lost {
			g.leaveUnreached(service)
		}
		if g.worstPathState(service) >= reach.Closed {
			g.checkPath(service)
		}
		g.logPath(service, "upkeep")
	}
}

// LostServices returns the services to whose servers this host has no path.
func (g *Gateway) LostServices() []string { return g.pathStates.lost() }

// logPath logs the state of the path to a service if it has changed, and tells other hosts
// whether it is lost. Doubtful paths are counted only, since any server that fails may make
// the path doubtful.
func (g *Gateway) logPath(service, why string) {
	s := g.pathState(service)
	old, changed := g.pathStates.set(service, s)
	if !changed {
		return
	}
	if (old == reach.Lost) != (s == reach.Lost) && g.delegation != nil {
		g.delegation.PathChanged()
	}
	g.metrics.Count("gateway_path_changes", 1, "service", service, "state", s.String())
	if max(old, s) < reach.Closed {
		return
	}
	failing := 0
	for _, group := range g.pathGroups(service) {
		failing += len(g.reach.Failing(group))
	}
	attrs := []slog.Attr{
		slog.String("service", service), slog.String("state", s.String()), slog.String("before", old.String()), slog.String("why", why),
		slog.Int("failing", failing),
	}
	if heard, ok := g.reach.LastHeard(); ok {
		attrs = append(attrs, slog.Duration("heard_ago", g.clock.Now()-heard))
	}
	g.log.Write(event.PathChanged, attrs...)
}
