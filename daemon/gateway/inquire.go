package gateway

import (
	"context"
	"log/slog"
	"time"

	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

// probeTime bounds the look at a server whose connection broke: ten times the
// longest way between halls, and little beside the time of any caller. Ports of
// ended servers refuse within one way there and back.
const probeTime = 50 * time.Millisecond

// inquire finds out whether the server on which a call broke has ended. A
// connection breaks for many reasons; only an end says something of the request.
func (g *Gateway) inquire(c *call, out outcome) {
	server, ok := g.state().Servers.Get(out.server)
	if !ok {
		return
	}
	_, err, _ := g.probes.Do(server.Addr, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTime)
		defer cancel()
		return nil, g.pool.Probe(ctx, server.Addr)
	})
	if upstream.Refused(err) {
		g.log.Write(event.ServerEnded, slog.String("server", server.ID), slog.String("id", c.id),
			slog.String("same", c.mark.String()), slog.String("workspace", c.workspace.Name), slog.String("why", out.why))
	}
}
