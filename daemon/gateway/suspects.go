package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

const (
	// probeTime bounds the look at a server whose connection broke: ten times the
	// longest way between halls, and little beside the time of any caller. Ports of
	// ended servers refuse within one way there and back.
	probeTime = 50 * time.Millisecond
	// wordTime is for the word of other hosts to come: some ways between halls, and the
	// time in which hosts with a fifth of a core take it in.
	wordTime = 30 * time.Millisecond
	// lookPause lies between two looks at one server for other hosts, which tell
	// of what they found several times a second.
	lookPause = time.Second
	// apartWait is when a caller may come back whose request has to wait for the
	// verdict on a copy of it, or for a server without another suspect: somewhat
	// more than what a short request takes.
	apartWait = 300 * time.Millisecond
	// confinedWait is the same for a workspace under which a server has just ended.
	confinedWait = time.Second
	// heldStatus tells a caller that the request itself is at fault, and so not to
	// come back with it.
	heldStatus = http.StatusBadRequest
	// byThisHost names this host's own evidence in the log.
	byThisHost = "own"
)

// stage is what becomes of a call by what is known of its request. The body of a
// request is hashed only if a suspect looks like it.
func (g *Gateway) stage(c *call) quarantine.Stage {
	if !g.quarantine.MayContain(c.mark) {
		return quarantine.Clear
	}
	if c.print == (quarantine.Fingerprint{}) {
		c.print = c.identity().Fingerprint()
	}
	return g.quarantine.Stage(c.print)
}

// awaitVerdict waits while it is undecided whether servers have ended under a call's
// request. Right after one has, it waits for the word of hosts that lost a copy of the
// request at the same moment: else each of them would try another server.
func (g *Gateway) awaitVerdict(ctx context.Context, c *call) {
	if c.ended && pause.For(ctx, wordTime) != nil {
		return // whoever tries it next looks at ctx
	}
	c.ended = false
	for g.stage(c) != quarantine.Clear && g.quarantine.AwaitsConfirmation(c.print, g.clock.Now()) {
		if pause.For(ctx, quarantine.ConfirmationPollInterval) != nil {
			return // whoever tries it next looks at ctx
		}
	}
}

// held refuses a call whose request has ended too many servers.
func (g *Gateway) held(c *call) *refusal {
	if g.stage(c) != quarantine.Blocked {
		return nil
	}
	r, age := g.quarantine.Lookup(c.print, g.clock.Now())
	g.log.Write(event.SuspectRefused, slog.String("id", c.id), slog.String("same", c.mark.String()),
		slog.String("print", c.print.String()), slog.String("workspace", c.workspace.Name),
		slog.Int("ended", len(r.Crashes)), slog.Duration("evidence_age", age))
	return refuse(heldStatus, "request_ends_servers", 0)
}

// inquire finds out which of the servers have ended on which a call broke. A
// connection breaks for many reasons: reset, garbled, cut. Only the end of a server
// says something of the request. The lead's answer breaks also when a server has
// ended that read a part of the prompt for it.
func (g *Gateway) inquire(c *call, lead backend.Server, helpers []string, out outcome) {
	if c.ended = g.endedUnder(c, lead, out); c.ended || len(helpers) == 0 {
		return
	}
	servers := g.state().Servers
	var all sync.WaitGroup
	var ended atomic.Bool
	for _, id := range helpers {
		if h, ok := servers.Get(id); ok {
			all.Go(func() {
				if g.endedUnder(c, h, out) {
					ended.Store(true)
				}
			})
		}
	}
	all.Wait()
	c.ended = ended.Load()
}

// endedUnder notes what a call says of a server on which it broke, and reports whether
// that server has ended. One that was to leave ends in any case.
func (g *Gateway) endedUnder(c *call, server backend.Server, out outcome) bool {
	servers := g.state().Servers
	now, listed := servers.Get(server.ID)
	replaced := servers.Replaced(server)
	if now.Draining || g.notices.Leaving(server.ID) || !listed && !replaced {
		return false
	}
	if listed && !g.closed(server) {
		return false
	}
	g.log.Write(event.ServerEnded, slog.String("server", server.ID), slog.String("id", c.id),
		slog.String("same", c.mark.String()), slog.String("workspace", c.workspace.Name), slog.String("why", out.why),
		slog.Bool("apart", out.apart), slog.Bool("replaced", replaced))
	changes := g.quarantine.AddCrash(c.identity().Identity(), quarantine.Crash{
		Server:    quarantine.ServerDigest(server.ID),
		Reporter:  g.board.Host(),
		Isolated:  out.apart,
		Confirmed: replaced || len(g.hosts()) == 0, // a host that is alone misleads nobody
	}, g.clock.Now())
	g.suspected(byThisHost, changes)
	g.suspects() // others look at this server too, whatever stage that makes
	return true
}

// closed reports whether a server's port is found closed.
func (g *Gateway) closed(s backend.Server) bool { return upstream.PortClosed(g.probe(s)) }

// probe looks whether a server takes connections. Calls that ask for one server
// together look once.
func (g *Gateway) probe(s backend.Server) error {
	_, err, _ := g.probes.Do(s.Addr, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTime)
		defer cancel()
		return nil, g.pool.Probe(ctx, s.Addr)
	})
	return err
}

// answeredWhole clears a suspect: a request that was answered ends no servers.
func (g *Gateway) answeredWhole(c *call) {
	if g.stage(c) != quarantine.Clear && g.quarantine.ClearAnswered(c.print, g.clock.Now()) {
		g.log.Write(event.SuspectCleared, slog.String("id", c.id), slog.String("same", c.mark.String()),
			slog.String("print", c.print.String()))
		g.suspects()
	}
}

// Pardon clears a suspect for an operator, and reports whether there was one.
func (g *Gateway) Pardon(p quarantine.Fingerprint) bool {
	if !g.quarantine.Pardon(p, g.clock.Now()) {
		return false
	}
	g.log.Write(event.SuspectCleared, slog.String("print", p.String()), slog.String("by", "operator"))
	g.suspects()
	return true
}

// HearSuspects takes in what others know of requests under which servers ended,
// with by whom it was told. It reports whether what becomes of one has changed.
func (g *Gateway) HearSuspects(by string, rs []quarantine.Record) bool {
	changed := false
	for _, r := range rs {
		if err := r.Validate(); err != nil {
			g.log.Write(event.NewsLost, slog.String("by", by), slog.String("error", err.Error()))
			continue
		}
		changes := g.quarantine.Merge(r, g.clock.Now())
		g.suspected(by, changes)
		changed = changed || len(changes) > 0
		g.witness(r)
	}
	return changed
}

// suspected notes changes of what becomes of requests, with who saw the evidence
// of them.
func (g *Gateway) suspected(by string, changes []quarantine.Change) {
	for _, k := range changes {
		g.metrics.Count("gateway_suspects", 1, "stage", k.Stage.String())
		if by != byThisHost && k.Stage < quarantine.Serialized {
			continue // its host writes it: with 72 hosts that is one line for 72
		}
		e := event.SuspectChanged
		if k.Removed {
			e = event.SuspectForgotten
		}
		g.log.Write(e, slog.String("same", k.Record.HeadHash.String()), slog.String("print", k.Record.Fingerprint.String()),
			slog.String("workspace", k.Record.Workspace), slog.String("stage", k.Stage.String()),
			slog.Int("ended", len(k.Record.Crashes)), slog.String("by", by))
	}
}

// checkSuspects drops what is too old, and compares ends with the platform's list.
func (g *Gateway) checkSuspects(now time.Duration) {
	g.suspected(byThisHost, g.quarantine.Expire(now))
	if !g.proof.Config() {
		return // the list may be old
	}
	if servers := g.state().Servers; servers != g.listed {
		g.listed = servers
		g.roster.Update(starts(servers), now)
	}
	says := func(s uint32) quarantine.Listing { return g.roster.Listing(s, now) }
	changes := g.quarantine.Reconcile(says, now)
	g.suspected(byThisHost, changes)
	if slices.ContainsFunc(changes, func(k quarantine.Change) bool { return !k.Removed }) {
		g.suspects()
	}
}

// starts lists the servers for a roster.
func starts(servers *backend.View) []quarantine.Instance {
	var list []quarantine.Instance
	for _, id := range servers.IDs() {
		s, _ := servers.Get(id)
		list = append(list, quarantine.Instance{ID: s.ID, Name: s.PlatformID(), Hall: s.Hall})
	}
	return list
}
