package gateway

import (
	"log/slog"

	"slipcrank.example/core/backend"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

// checkMarks logs and counts an answer that lacks a mark of the answers that servers make.
func (g *Gateway) checkMarks(c *call, server backend.Server, a *upstream.Answer) {
	notRun := a.Header.Get(g.dialect.NotRun) != ""
	var why string
	switch {
	case c.id != "" && a.Header.Get(g.dialect.AttemptID) != c.id:
		why = "id"
	case g.dialect.Seal != "" && a.Header.Get(g.dialect.Seal) == "":
		why = "seal"
	default:
		return
	}
	g.metrics.Count("gateway_invalid_answers", 1, "why", why)
	g.log.Write(event.AnswerInvalid, slog.String("id", c.id), slog.String("server", server.ID), slog.String("why", why),
		slog.Int("status", a.Status), slog.Bool("not_run", notRun))
}
