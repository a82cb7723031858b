package gateway

import (
	"log/slog"
	"strconv"
	"time"

	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
)

// done notes an answered call.
func (g *Gateway) done(c *call, out outcome) {
	g.logEnd(c, "answered", out.answer.status, out)
	g.metrics.Time("gateway_answer", time.Since(c.arrived), "route", c.route.Name)
	if out.first > 0 {
		g.metrics.Time("gateway_first_event", out.first, "route", c.route.Name)
	}
}

// logEnd writes the one line that tells how a call ended.
func (g *Gateway) logEnd(c *call, how string, status int, out outcome) {
	g.metrics.Count("gateway_requests", 1, "result", how, "status", strconv.Itoa(status))
	g.log.Write(event.RequestEnded, slog.String("id", c.id), slog.String("same", c.mark.String()), slog.String("route", c.route.Name),
		slog.String("workspace", c.workspace.Name), slog.String("result", how), slog.Int("status", status),
		slog.String("server", out.server),
		slog.String("why", c.note), slog.Int("attempts", c.attempts), slog.String("last_event", c.lastEvent),
		slog.Duration("first", out.first), slog.Duration("pause", c.pause), slog.Duration("held", time.Since(c.arrived)))
}

// logPlaced writes where a call goes, and by what that was decided.
func (g *Gateway) logPlaced(c *call, s State, p schedule.Placement) {
	g.log.Write(event.RequestPlaced, slog.String("id", c.id), slog.String("same", c.mark.String()), slog.String("route", c.route.Name),
		slog.String("server", p.Lead), slog.Int("readers", len(p.Helpers)), slog.Int("shares", len(p.Shares)),
		slog.Float64("price", p.Part.Price), slog.Bool("over_share", p.Part.Over), slog.Float64("full", p.Full),
		slog.Float64("displaces", p.Displaces), slog.Int("lead_runs", p.LeadRuns), slog.Duration("lead_reads", p.LeadReads),
		slog.Int("prompt", c.work.Prompt), slog.Duration("predicted", p.First),
		slog.Int64("configuration", s.Config.Version()), slog.Duration("proof_age", g.proof.ConfigAge()),
		slog.Duration("servers_age", g.proof.ServersAge()))
}
