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

// applyNotices applies what an answer reports about the server that sent it. A
// misdirected request was answered by another server at the same address, so its
// headers don't apply to the intended one.
func (g *Gateway) applyNotices(c *call, server backend.Server, a *upstream.Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	g.applyLimit(c, server, a.Header)
	g.applyLeaving(c, server, a.Header)
	if a.Status == http.StatusServiceUnavailable {
		g.applyBackoff(c, server, a.Header)
	}
}

func (g *Gateway) applyLimit(c *call, server backend.Server, h http.Header) {
	now := g.clock.Now()
	l, err := notice.ParseLimit(h.Get(g.dialect.Limit))
	if err != nil {
		g.logUnreadable(c, server, err)
		return
	}
	if l, changed := g.notices.UpdateLimit(server.ID, l, c.sentAt, now); changed {
		g.logLimit(ownReporter, server.ID, l)
		g.noticeSender.SendLimit(server.ID, l)
	}
}

func (g *Gateway) applyLeaving(c *call, server backend.Server, h http.Header) {
	leaving, err := notice.ParseLeaving(h.Get(g.dialect.Leaving))
	if err != nil {
		g.logUnreadable(c, server, err)
		return
	}
	if leaving && g.notices.SetLeaving(server.ID, g.clock.Now()) {
		g.log.Write(event.ServerReportsLeaving, slog.String("id", c.id), slog.String("server", server.ID), slog.String("by", ownReporter))
		g.noticeSender.SendLeaving(server.ID)
	}
}

func (g *Gateway) applyBackoff(c *call, server backend.Server, h http.Header) {
	backoff, err := notice.ParseBackoff(h.Get(g.dialect.Backoff))
	if err != nil {
		g.logUnreadable(c, server, err)
		return
	}
	if now := g.clock.Now(); backoff > 0 {
		g.notices.ExtendBackoff(server.ID, now+backoff, now)
		g.log.Write(event.ServerRequestsBackoff, slog.String("id", c.id), slog.String("server", server.ID), slog.Duration("rest", backoff))
	}
}

// ReceiveLeaving processes the report of the host named reporter that a server is
// leaving.
func (g *Gateway) ReceiveLeaving(reporter, server string) {
	if !g.notices.SetReportedLeaving(server, g.clock.Now()) {
		return // each host that got such an answer reports it
	}
	g.log.Write(event.ServerReportsLeaving, slog.String("server", server), slog.String("by", reporter))
}

// logUnreadable logs, once for each server, that a notice in an answer can't be parsed.
// The values reported before stay in effect.
func (g *Gateway) logUnreadable(c *call, server backend.Server, err error) {
	if g.notices.SetUnreadable(server.ID, g.clock.Now()) {
		g.log.Write(event.ServerNoticeUnreadable, slog.String("id", c.id), slog.String("server", server.ID), slog.String("error", err.Error()))
	}
}

// ReceiveLimit merges a server's limit received from the host named reporter.
func (g *Gateway) ReceiveLimit(reporter, server string, l notice.Limit) {
	if g.notices.MergeLimit(server, l, g.clock.Now()) {
		g.logLimit(reporter, server, l)
	}
}

// ReceivePlacement records that another host has placed a request. If the lead is rate-limited,
// it is closed for one request interval, so that this host requests no grant that would be
// denied.
func (g *Gateway) ReceivePlacement(p schedule.Placement) {
	now := g.clock.Now()
	if l := g.notices.Limit(p.Lead, now); l.Limited {
		g.notices.CloseUntil(p.Lead, now+grant.RequestInterval(l.Rate), now)
	}
}

// acquireGrant reports whether a call may be sent to the lead of its placement within
// the lead's rate limit. If not, it returns the time until the next request may be
// sent.
func (g *Gateway) acquireGrant(ctx context.Context, c *call, s State, p schedule.Placement) (time.Duration, bool) {
	c.grantedServer = ""
	l := g.notices.Limit(p.Lead, g.clock.Now())
	if !l.Limited {
		return 0, true
	}
	server, known := s.Servers.Get(p.Lead)
	if !known {
		return 0, true // checkBeforeSend rejects the call
	}
	ok, wait := g.takeGrant(ctx, server)
	if ok {
		c.grantedServer, wait = p.Lead, grant.RequestInterval(l.Rate)
	}
	now := g.clock.Now()
	g.notices.CloseUntil(p.Lead, now+wait, now)
	g.metrics.Count("gateway_grants", 1, "granted", strconv.FormatBool(ok))
	return wait, ok
}

// acceptsCall reports whether the lead of a placement still accepts the call, by what
// it has reported since the call was placed.
func (g *Gateway) acceptsCall(c *call, p schedule.Placement) bool {
	now := g.clock.Now()
	return !g.notices.Leaving(p.Lead) && g.notices.Backoff(p.Lead, now) == 0 && (c.grantedServer == p.Lead || !g.notices.Limit(p.Lead, now).Limited)
}

// refuseUnavailable refuses a call because no server of its service accepts requests
// for the given time: all are at their limits or have asked for a backoff. If limits
// are among the causes, other callers wait too, so the retry time is extended by the
// time in which the limited servers together accept one more request.
func (g *Gateway) refuseUnavailable(servers []backend.Server, wait time.Duration) *refusalResponse {
	now := g.clock.Now()
	limited := g.notices.LimitedServers(servers, now)
	if len(limited) == 0 {
		return refuse(http.StatusServiceUnavailable, "servers_rest", wait)
	}
	var totalRate float64
	for id := range limited {
		totalRate += grant.GrantRate(g.notices.Limit(id, now).Rate)
	}
	refusal := refuse(http.StatusServiceUnavailable, "server_limits", wait+time.Duration(float64(time.Second)/totalRate))
	refusal.available = wait
	return refusal
}

// maxGrantRequests bounds the servers for which one try requests a grant. Each request
// takes a round trip, and a server whose grant was denied is not asked for again until
// it is open.
const maxGrantRequests = 3

// grantPatience is the part of the time until its answer is late for which a call waits for
// grants.
const grantPatience = 0.4

// logLimit logs and counts a new limit of a server. reporter names the host that has
// learned of it, or is ownReporter.
func (g *Gateway) logLimit(reporter, server string, l notice.Limit) {
	g.metrics.Count("gateway_server_limits", 1, "own", strconv.FormatBool(reporter == ownReporter))
	g.log.Write(event.ServerLimitChanged, slog.String("server", server), slog.Bool("limited", l.Limited),
		slog.Float64("rate", l.Rate), slog.Uint64("version", l.Version), slog.String("by", reporter))
}

// pruneNotices drops the notices of servers that no longer exist.
func (g *Gateway) pruneNotices(now time.Duration) {
	servers := g.state().Servers
	g.notices.Prune(func(id string) bool { _, ok := servers.Get(id); return ok }, now)
}
