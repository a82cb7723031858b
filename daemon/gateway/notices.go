package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/grant"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

// notice takes in what an answer says of the server that made it. One of another
// server, at the address of the one that was meant, says nothing of that one.
func (g *Gateway) notice(c *call, server backend.Server, a *upstream.Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	g.noticeLimit(c, server, a.Header)
	g.noticeLeaving(c, server, a.Header)
	if a.Status == http.StatusServiceUnavailable {
		g.noticeRest(c, server, a.Header)
	}
}

func (g *Gateway) noticeLimit(c *call, server backend.Server, h http.Header) {
	now := g.clock.Now()
	l, err := notice.ParseLimit(h.Get(g.dialect.Limit))
	if err != nil {
		g.unreadable(c, server, err)
		return
	}
	if l, changed := g.notices.UpdateLimit(server.ID, l, c.sent, now); changed {
		g.logLimit(byThisHost, server.ID, l)
		g.tell.SendLimit(server.ID, l)
	}
}

func (g *Gateway) noticeLeaving(c *call, server backend.Server, h http.Header) {
	leaves, err := notice.ParseLeaving(h.Get(g.dialect.Leaving))
	if err != nil {
		g.unreadable(c, server, err)
		return
	}
	if leaves && g.notices.SetLeaving(server.ID, g.clock.Now()) {
		g.log.Write(event.ServerSaysLeaving, slog.String("id", c.id), slog.String("server", server.ID), slog.String("by", byThisHost))
		g.tell.SendLeaving(server.ID)
	}
}

func (g *Gateway) noticeRest(c *call, server backend.Server, h http.Header) {
	rest, err := notice.ParseBackoff(h.Get(g.dialect.Backoff))
	if err != nil {
		g.unreadable(c, server, err)
		return
	}
	if now := g.clock.Now(); rest > 0 {
		g.notices.ExtendBackoff(server.ID, now+rest, now)
		g.log.Write(event.ServerWantsRest, slog.String("id", c.id), slog.String("server", server.ID), slog.Duration("rest", rest))
	}
}

// ReceiveLeaving takes in that a server has said to another host that it leaves.
func (g *Gateway) ReceiveLeaving(by, server string) {
	if !g.notices.SetReportedLeaving(server, g.clock.Now()) {
		return // each host that has such an answer tells of it
	}
	g.log.Write(event.ServerSaysLeaving, slog.String("server", server), slog.String("by", by))
}

// unreadable notes that an answer says something of its server that can't be read. What
// it said before holds on.
func (g *Gateway) unreadable(c *call, server backend.Server, err error) {
	if g.notices.SetUnreadable(server.ID, g.clock.Now()) {
		g.log.Write(event.ServerUnreadable, slog.String("id", c.id), slog.String("server", server.ID), slog.String("error", err.Error()))
	}
}

// ReceiveLimit takes in what another host tells of a server.
func (g *Gateway) ReceiveLimit(by, server string, l notice.Limit) {
	if g.notices.MergeLimit(server, l, g.clock.Now()) {
		g.logLimit(by, server, l)
	}
}

// ReceivePlacement takes in that another host has sent a request to a server: if that is
// limited, it takes no more for a while, and it need not be asked for.
func (g *Gateway) ReceivePlacement(server string) {
	if l := g.notices.Limit(server); l.Limited {
		g.notices.CloseUntil(server, g.clock.Now()+grant.RequestInterval(l.Rate))
	}
}

// granted reports whether a call may be sent to the lead of its placement, by the limit
// that this names. If it may not, it tells after how long one may.
func (g *Gateway) granted(ctx context.Context, c *call, s State, p schedule.Placement) (time.Duration, bool) {
	c.granted = ""
	l := g.notices.Limit(p.Lead)
	if !l.Limited {
		return 0, true
	}
	server, known := s.Servers.Get(p.Lead)
	if !known {
		return 0, true // nothing is sent to it
	}
	ok, wait := g.grant(ctx, server)
	if ok {
		c.granted, wait = p.Lead, grant.RequestInterval(l.Rate)
	}
	g.notices.CloseUntil(p.Lead, g.clock.Now()+wait)
	g.metrics.Count("gateway_grants", 1, "granted", strconv.FormatBool(ok))
	return wait, ok
}

// willing reports whether a call may leave for the lead of its placement, by what this
// has said since the call was placed.
func (g *Gateway) willing(c *call, p schedule.Placement) bool {
	return !g.notices.Leaving(p.Lead) && g.notices.Backoff(p.Lead, g.clock.Now()) == 0 && (c.granted == p.Lead || !g.notices.Limit(p.Lead).Limited)
}

// shut refuses a call since no server of its service takes one for a time, by what they
// have said: they have all the requests that they take, or want rest. Where limits are the
// cause, others wait too: the caller is told the time in which all servers take one more.
func (g *Gateway) shut(servers []backend.Server, wait time.Duration) *refusal {
	limited := g.notices.LimitedServers(servers)
	if len(limited) == 0 {
		return refuse(http.StatusServiceUnavailable, "servers_rest", wait)
	}
	var all float64
	for id := range limited {
		all += grant.GrantRate(g.notices.Limit(id).Rate)
	}
	return refuse(http.StatusServiceUnavailable, "server_limits", wait+time.Duration(float64(time.Second)/all))
}

// maxAsks is how many limited servers are asked for in one try of a call: each takes a
// way there and back, and who is told that one takes nothing asks no more meanwhile.
const maxAsks = 3

// logLimit writes the limit that holds for a server now, with who saw it.
func (g *Gateway) logLimit(by, server string, l notice.Limit) {
	g.metrics.Count("gateway_server_limits", 1, "own", strconv.FormatBool(by == byThisHost))
	g.log.Write(event.ServerLimit, slog.String("server", server), slog.Bool("limited", l.Limited),
		slog.Float64("rate", l.Rate), slog.Uint64("version", l.Version), slog.String("by", by))
}

// forgetNotices drops what servers have said that are gone.
func (g *Gateway) forgetNotices(now time.Duration) {
	servers := g.state().Servers
	g.notices.Prune(func(id string) bool { _, ok := servers.Get(id); return ok }, now)
}
