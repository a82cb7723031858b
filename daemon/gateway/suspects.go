package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/reach"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

const (
	// probeTimeout bounds the probe of a server whose connection broke. It is ten times
	// the maximum latency between halls, and short compared to callers' timeouts. The
	// ports of crashed servers refuse connections within one round trip.
	probeTimeout = 50 * time.Millisecond
	// crashReportWait is the time for crash reports of other hosts to arrive: a few
	// network latencies between halls, plus the time that hosts with a fifth of a core
	// need to process them.
	crashReportWait = 30 * time.Millisecond
	// crashProbeInterval is the minimum time between probes of a server as a witness:
	// other hosts repeat their crash reports several times per second.
	crashProbeInterval = time.Second
	// isolationRetryAfter is the Retry-After of a request that must wait for the result
	// of one of its copies, or for a server without another suspect: somewhat more than
	// the duration of a short request.
	isolationRetryAfter = 300 * time.Millisecond
	// confinedRetryAfter is the Retry-After of a confined workspace right after a server
	// has crashed while serving one of its requests.
	confinedRetryAfter = time.Second
	// blockedStatus tells a caller that the request itself is at fault and must not be
	// sent again.
	blockedStatus = http.StatusBadRequest
	// ownReporter stands in the log for this host as the reporter of a change.
	ownReporter = "own"
)

// stage returns the quarantine stage of a call's request. The body is hashed only if a
// suspect with the same head hash exists.
func (g *Gateway) stage(c *call) quarantine.Stage {
	if !g.quarantine.MayContain(c.headHash) {
		return quarantine.Clear
	}
	if c.fingerprint == (quarantine.Fingerprint{}) {
		c.fingerprint = c.identity().Fingerprint()
	}
	return g.quarantine.Stage(c.fingerprint)
}

// awaitConfirmation waits while crashes that are attributed to the call's request are
// unconfirmed. Right after a connection broke it first waits for the reports of hosts that
// lost a copy of the request at the same time; otherwise each of these hosts would send the
// request to another server. If the path was reset, the connections to other servers have
// been reset too by then, and aren't used.
func (g *Gateway) awaitConfirmation(ctx context.Context, c *call) {
	if c.connBroken && pause.For(ctx, crashReportWait) != nil {
		return // the next step of the try checks ctx
	}
	c.connBroken = false
	for g.stage(c) != quarantine.Clear && g.quarantine.AwaitsConfirmation(c.fingerprint, g.clock.Now()) {
		if pause.For(ctx, quarantine.ConfirmationPollInterval) != nil {
			return // the next step of the try checks ctx
		}
	}
}

// refuseIfBlocked refuses a call whose request is blocked after several crashes.
func (g *Gateway) refuseIfBlocked(c *call) *refusalResponse {
	if g.stage(c) != quarantine.Blocked {
		return nil
	}
	r, age := g.quarantine.Lookup(c.fingerprint, g.clock.Now())
	g.log.Write(event.SuspectRefused, slog.String("id", c.id), slog.String("same", c.headHash.String()),
		slog.String("print", c.fingerprint.String()), slog.String("workspace", c.workspace.Name),
		slog.Int("ended", len(r.Crashes)), slog.Duration("evidence_age", age))
	return refuse(blockedStatus, "request_ends_servers", 0)
}

// findCrash determines whether a server crashed when a call's connection broke.
// Connections break for many reasons, such as resets, corrupted data or network
// partitions; only a crash counts against the request. The lead's answer also
// breaks if one of its helpers crashes.
func (g *Gateway) findCrash(c *call, lead backend.Server, helpers []string, out outcome) {
	if g.recordCrash(c, lead, out) || len(helpers) == 0 {
		return
	}
	servers := g.state().Servers
	var probes sync.WaitGroup
	for _, id := range helpers {
		if h, ok := servers.Get(id); ok {
			probes.Go(func() { g.recordCrash(c, h, out) })
		}
	}
	probes.Wait()
}

// recordCrash checks whether a server has crashed while running a call, adds the crash
// to the quarantine registry, and reports whether there was one. The shutdown of a
// server that is draining or leaving is not a crash.
func (g *Gateway) recordCrash(c *call, server backend.Server, out outcome) bool {
	servers := g.state().Servers
	current, listed := servers.Get(server.ID)
	replaced := servers.Replaced(server)
	if current.Draining || g.notices.Leaving(server.ID) || !listed && !replaced {
		return false
	}
	if listed && !g.foundDown(server) {
		return false
	}
	g.log.Write(event.ServerCrashed, slog.String("server", server.ID), slog.String("id", c.id),
		slog.String("same", c.headHash.String()), slog.String("workspace", c.workspace.Name), slog.String("why", out.reason),
		slog.String("parts", strings.Join(c.parts, ",")), slog.Bool("apart", out.isolated), slog.Bool("replaced", replaced))
	crash := quarantine.Crash{
		Server:   quarantine.ServerDigest(server.ID),
		Reporter: g.scheduler.Host(),
		Isolated: out.isolated,
		// Without other hosts there are no witnesses, and nobody is misled by a report.
		Confirmed: replaced || len(g.otherHosts()) == 0,
	}
	crash.Isolated = !g.recordPartCrash(c, crash) && crash.Isolated
	changes := g.quarantine.AddCrash(c.identity().Identity(), crash, g.clock.Now())
	g.logSuspectChanges(ownReporter, changes)
	g.suspectsChanged() // other hosts must probe this server too, also if the stage is unchanged
	return true
}

// foundDown reports whether a server's port is closed, and this host reaches other servers.
// What others have sent doesn't count: it may have been on its way before the path was lost.
func (g *Gateway) foundDown(s backend.Server) bool {
	return reach.DownCheck{
		Now:          g.clock.Now,
		Refused:      func(since time.Duration) bool { return upstream.PortClosed(g.probeSince(s, since)) },
		ReachesOther: func(since time.Duration) bool { return g.reachesOthers(s, since) },
	}.Down()
}

// reachesOthers reports whether this host reaches one of some other servers that must be
// reachable if the path to a server is sound: a request may crash most of them, but hardly
// all at once. It is true if there are no other servers. No probe begins before since.
func (g *Gateway) reachesOthers(server backend.Server, since time.Duration) bool {
	return shareProbe(g, "others than "+server.ID, since, func(began time.Duration) bool {
		start := func(f func()) { go f() }
		return reach.AnyReached(g.controlServers(server), start, func(s backend.Server) bool { return g.probeSince(s, began) == nil })
	})
}

// controlServers returns a few other servers, those of which a crash is recorded left out:
// of the same service and hall if there are any, otherwise of the same service, otherwise
// of any.
func (g *Gateway) controlServers(server backend.Server) []backend.Server {
	servers := g.state().Servers
	excluded := map[string]bool{server.Addr: true} // a process may be listed for several services
	for _, id := range servers.IDs() {
		if s, _ := servers.Get(id); s.Draining || g.quarantine.Crashed(quarantine.ServerDigest(id)) {
			excluded[s.Addr] = true
		}
	}
	var near, far, others []backend.Server
	for _, id := range servers.IDs() {
		s, _ := servers.Get(id)
		switch {
		case excluded[s.Addr]:
		case s.Service == server.Service && s.Hall == server.Hall:
			near = append(near, s)
		case s.Service == server.Service:
			far = append(far, s)
		default:
			others = append(others, s)
		}
	}
	return reach.Controls(near, far, others)
}

// probe returns nil if a server accepts connections.
func (g *Gateway) probe(s backend.Server) error { return g.probeSince(s, 0) }

// probeSince returns nil if a server accepts connections, by a probe that begins at since or
// later. Concurrent probes of one server share a single connection attempt.
func (g *Gateway) probeSince(s backend.Server, since time.Duration) error {
	return shareProbe(g, s.Addr, since, func(time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		return g.pool.Probe(ctx, s.Addr)
	})
}

// shareProbe returns the result of a probe, or of one with the same key that another goroutine
// has begun at since or later. One begun before may have ended on a path that has changed.
func shareProbe[T any](g *Gateway, key string, since time.Duration, probe func(began time.Duration) T) T {
	type result struct {
		began time.Duration
		value T
	}
	for {
		shared, _, _ := g.probes.Do(key, func() (any, error) {
			began := g.clock.Now()
			return result{began, probe(began)}, nil
		})
		if r := shared.(result); r.began >= since {
			return r.value
		}
	}
}

// clearSuspect clears a suspected request that was answered: it doesn't crash servers.
func (g *Gateway) clearSuspect(c *call) {
	if g.stage(c) != quarantine.Clear && g.quarantine.ClearAnswered(c.fingerprint, g.clock.Now()) {
		g.log.Write(event.SuspectCleared, slog.String("id", c.id), slog.String("same", c.headHash.String()),
			slog.String("print", c.fingerprint.String()))
		g.suspectsChanged()
	}
}

// Pardon clears a suspect on behalf of an operator, and reports whether there was one.
func (g *Gateway) Pardon(p quarantine.Fingerprint) bool {
	if !g.quarantine.Pardon(p, g.clock.Now()) && !g.parts.Pardon(p, g.clock.Now()) {
		return false
	}
	g.log.Write(event.SuspectCleared, slog.String("print", p.String()), slog.String("by", "operator"))
	g.suspectsChanged()
	return true
}

// MergeSuspects merges suspects received from the host named reporter. It reports whether
// the stage of any request has changed.
func (g *Gateway) MergeSuspects(reporter string, rs []quarantine.Record) bool {
	return g.mergeRecords(g.quarantine, reporter, rs, g.logSuspectChanges)
}

// mergeRecords merges records into a registry.
func (g *Gateway) mergeRecords(to *quarantine.Registry, reporter string, rs []quarantine.Record, logChanges func(string, []quarantine.Change)) bool {
	changed := false
	for _, r := range rs {
		if err := r.Validate(); err != nil {
			g.log.Write(event.UpdateLost, slog.String("by", reporter), slog.String("error", err.Error()))
			continue
		}
		changes := to.Merge(r, g.clock.Now())
		logChanges(reporter, changes)
		changed = changed || len(changes) > 0
		g.probeAsWitness(r)
	}
	return changed
}

// logSuspectChanges logs and counts stage changes. reporter names the host that sent the
// records, or is ownReporter.
func (g *Gateway) logSuspectChanges(reporter string, changes []quarantine.Change) {
	for _, change := range changes {
		g.metrics.Count("gateway_suspects", 1, "stage", change.Stage.String())
		if reporter != ownReporter && change.Stage < quarantine.Serialized {
			continue // the reporting host logs it; with 72 hosts each change would be logged 72 times
		}
		e := event.SuspectChanged
		if change.Removed {
			e = event.SuspectRemoved
		}
		g.log.Write(e, slog.String("same", change.Record.HeadHash.String()), slog.String("print", change.Record.Fingerprint.String()),
			slog.String("workspace", change.Record.Workspace), slog.String("stage", change.Stage.String()),
			slog.Int("ended", len(change.Record.Crashes)), slog.String("by", reporter))
	}
}

// updateSuspects expires suspects, and compares crashes with the platform's server
// list.
func (g *Gateway) updateSuspects(now time.Duration) {
	g.logSuspectChanges(ownReporter, g.quarantine.Expire(now))
	g.logPartChanges(ownReporter, g.parts.Expire(now))
	if !g.freshness.ConfigCurrent() {
		return // the server list may be outdated
	}
	if servers := g.state().Servers; servers != g.rosterView {
		g.rosterView = servers
		g.roster.Update(instances(servers), now)
	}
	listing := func(s uint32) quarantine.Listing { return g.roster.Listing(s, now) }
	changes, ofParts := g.quarantine.Reconcile(listing, now), g.parts.Reconcile(listing, now)
	g.logSuspectChanges(ownReporter, changes)
	g.logPartChanges(ownReporter, ofParts)
	changes = append(changes, ofParts...)
	if slices.ContainsFunc(changes, func(change quarantine.Change) bool { return !change.Removed }) {
		g.suspectsChanged()
	}
}

// instances returns the listed servers in the form that a roster needs.
func instances(servers *backend.View) []quarantine.Instance {
	var list []quarantine.Instance
	for _, id := range servers.IDs() {
		s, _ := servers.Get(id)
		list = append(list, quarantine.Instance{ID: s.ID, Name: s.PlatformID(), Hall: s.Hall})
	}
	return list
}
