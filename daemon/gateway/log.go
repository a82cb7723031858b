package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
)

// Results of requests whose callers have no whole answer.
const (
	resultStreamBroken = "stream_broken"
	resultWriteFailed  = "write_failed"
	resultCallerGone   = "caller_gone"
)

// logAnswered records the end and the latencies of an answered call.
func (g *Gateway) logAnswered(c *call, out outcome) {
	g.logEnd(c, "answered", out.answer.status, out)
	g.metrics.Time("gateway_answer", time.Since(c.arrivedAt), "route", c.route.Name)
	if out.firstEvent > 0 {
		g.metrics.Time("gateway_first_event", out.firstEvent, "route", c.route.Name)
	}
}

// endLog returns how the end of a call is logged: lines of answers that were cut get a reserve.
// A caller that goes is the cause itself, unless this host is stopping.
func (g *Gateway) endLog(resultLabel string) func(event.Event, ...slog.Attr) {
	switch {
	case resultLabel == resultStreamBroken, resultLabel == resultWriteFailed, resultLabel == resultCallerGone && g.stop.Load() != nil:
		return g.log.WriteReserved
	}
	return g.log.Write
}

// logEnd logs the end of a call and counts its result.
func (g *Gateway) logEnd(c *call, resultLabel string, status int, out outcome) {
	g.metrics.Count("gateway_requests", 1, "result", resultLabel, "status", strconv.Itoa(status))
	if out.framing != "" {
		g.metrics.Count("gateway_answers", 1, "framing", string(out.framing), "inside_event", strconv.FormatBool(out.partial > 0))
	}
	write := g.endLog(resultLabel)
	write(event.RequestEnded, slog.String("id", c.id), slog.String("same", c.headHash.String()), slog.String("route", c.route.Name),
		slog.String("workspace", c.workspace.Name), slog.String("result", resultLabel), slog.Int("status", status),
		slog.String("server", out.server),
		slog.String("why", c.lastFailure), slog.Int("attempts", c.attempts), slog.Bool("delegated", c.delegated != nil),
		slog.Int("sent", c.sent), slog.String("last_event", c.lastEventID),
		slog.String("framing", string(out.framing)), slog.Int("partial", out.partial),
		slog.Duration("first", out.firstEvent), slog.Duration("pause", c.maxPause), slog.Duration("held", time.Since(c.arrivedAt)))
}

// logPanic logs a panic in the handler of a request, whose connection is then closed. It panics
// again, so that the stack is printed.
func (g *Gateway) logPanic(p *progress) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		g.log.WriteReserved(event.InternalError, slog.String("id", p.id), slog.String("error", fmt.Sprint(v)))
	}
	panic(v)
}

// logRetried logs a failed try that is followed by another. The times tell a server that
// fails by itself from a path that fails: how long the try took, and when any server was
// last heard.
func (g *Gateway) logRetried(c *call, out outcome) {
	attrs := []slog.Attr{
		slog.String("id", c.id), slog.String("same", c.headHash.String()), slog.String("why", out.reason),
		slog.String("server", out.server), slog.Int("attempts", c.attempts), slog.Any("ports", c.sends.Ports()), slog.Duration("took", out.took),
		slog.String("framing", string(out.framing)), slog.Int("partial", out.partial),
	}
	if c.balance != (limit.Balance{}) {
		attrs = append(attrs, slog.Group("budget", slog.Int("requests", c.balance.Requests), slog.Float64("spent", c.balance.Spent),
			slog.Float64("allowed", c.balance.Allowed)))
	}
	if out.err != nil {
		attrs = append(attrs, slog.String("error", errorKind(out.err)))
	}
	if heard, ok := g.reach.LastHeard(); ok {
		attrs = append(attrs, slog.Duration("heard_ago", g.clock.Now()-heard))
	}
	g.log.Write(event.RequestRetried, attrs...)
	g.metrics.Count("gateway_retries", 1, "why", out.reason)
}

// errorKind returns a short name of a network error.
func errorKind(err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "canceled"
	}
	return "other"
}

// logPlaced logs a placement with the data that it was decided by.
func (g *Gateway) logPlaced(c *call, s State, p schedule.Placement) {
	g.log.Write(event.RequestPlaced, slog.String("id", c.id), slog.String("same", c.headHash.String()), slog.String("route", c.route.Name),
		slog.String("server", p.Lead), slog.Int("readers", len(p.Helpers)), slog.Int("shares", len(p.MemoryShares)),
		slog.Float64("price", p.Share.DisplacedWeight), slog.Bool("over_share", p.Share.OverShare), slog.Float64("full", p.SlotScarcity),
		slog.Float64("displaces", p.DisplacedRatio), slog.Int("priority", p.Priority), slog.Bool("returning", p.Returning), slog.Float64("used", p.SlotsUsed), slog.Float64("risk", p.LateRisk),
		slog.Int("lead_runs", p.LeadRunning), slog.Duration("lead_reads", p.LeadBacklog),
		slog.Int("prompt", c.work.Prompt), slog.Duration("predicted", p.FirstToken), slog.Duration("idle", p.IdleFirstToken),
		slog.Int64("configuration", s.Config.Version()), slog.Duration("proof_age", g.freshness.ConfigAge()),
		slog.Duration("servers_age", g.freshness.ServersAge()))
}
