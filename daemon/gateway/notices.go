package gateway

import (
	"log/slog"
	"net/http"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/notice"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

// notice takes in what an answer says of the server that made it. One of another
// server, at the address of the one that was meant, says nothing of that one.
func (g *Gateway) notice(c *call, server backend.Server, a *upstream.Answer) {
	if a.Status == http.StatusMisdirectedRequest || g.dialect.Limit == "" {
		return
	}
	now := g.clock.Now()
	l, err := notice.ReadLimit(a.Header.Get(g.dialect.Limit))
	if err != nil {
		if g.notices.Unreadable(server.ID, now) {
			g.log.Write(event.ServerUnreadable, slog.String("id", c.id), slog.String("server", server.ID), slog.String("error", err.Error()))
		}
		return
	}
	if l, changed := g.notices.Answered(server.ID, l, c.sent, now); changed {
		g.logLimit(byThisHost, server.ID, l)
	}
}

// logLimit writes the limit that holds for a server now, with who saw it.
func (g *Gateway) logLimit(by, server string, l notice.Limit) {
	g.metrics.Count("gateway_server_limits", 1, "by", by)
	g.log.Write(event.ServerLimit, slog.String("server", server), slog.Bool("limited", l.Named),
		slog.Float64("rate", l.Rate), slog.Uint64("version", l.Version), slog.String("by", by))
}

// forgetNotices drops what servers have said that are gone.
func (g *Gateway) forgetNotices(now time.Duration) {
	servers := g.state().Servers
	g.notices.Forget(func(id string) bool { _, ok := servers.Get(id); return ok }, now)
}
