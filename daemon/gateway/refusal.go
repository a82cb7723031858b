package gateway

import (
	"encoding/json"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"slipcrank.example/daemon/event"
)

// Retry-After times of refusals.
const (
	// startupRetryAfter is how long the hosts of a large fleet that all start at once need to
	// receive their first configuration. Callers meet a host without one only then, since
	// the balancer prefers hosts that are ready.
	startupRetryAfter = 700 * time.Millisecond
	// startupRetryFraction is the fraction of their time after which callers still return: a
	// third, less the jitter.
	startupRetryFraction = 0.2
	// otherHostRetryAfter makes a caller try another host at once. Each host has its
	// own connection to the platform, so another one may be able to serve the call.
	otherHostRetryAfter = 100 * time.Millisecond
	// busyRetryAfter is about two passes of an engine.
	busyRetryAfter = 150 * time.Millisecond
	// memoryRetryAfter is about how long a large prompt occupies its memory.
	memoryRetryAfter = 1500 * time.Millisecond
	// retryAfterJitter is the maximum random extension of a Retry-After time, as a
	// fraction of it. It keeps callers from returning at the same time.
	retryAfterJitter = 0.5
)

type (
	// refusalResponse is an answer that the gateway generates instead of a server.
	refusalResponse struct {
		status     int
		reason     string
		retryAfter time.Duration // 0: no Retry-After header
		// available is the time until servers with limits accept a request, 0 if the
		// call is refused for another reason.
		available time.Duration
		// hereOnly reports that other hosts may be able to serve the call.
		hereOnly bool
	}

	refusalBody struct {
		Error refusalError `json:"error"`
	}

	refusalError struct {
		Kind string `json:"kind"`
	}
)

func refuse(status int, reason string, retryAfter time.Duration) *refusalResponse {
	return &refusalResponse{status: status, reason: reason, retryAfter: retryAfter}
}

// refuseHere refuses a call that another host may be able to serve now.
func refuseHere(reason string) *refusalResponse {
	r := refuse(http.StatusServiceUnavailable, reason, otherHostRetryAfter)
	r.hereOnly = true
	return r
}

// origin returns the origin that a delegating host gets to know.
func (r *refusalResponse) origin() origin {
	if r.hereOnly {
		return originHost
	}
	return originFleet
}

// writeRefusal sends and logs a refusal of a call.
func (g *Gateway) writeRefusal(w http.ResponseWriter, c *call, refusal *refusalResponse) {
	g.writeRefusalOf(w, c.id, c, refusal)
}

// writeRefusalOf sends and logs a refusal of a request. c is nil if the request could not be read.
func (g *Gateway) writeRefusalOf(w http.ResponseWriter, id string, c *call, refusal *refusalResponse) {
	if refusal.retryAfter > 0 {
		w.Header().Set("Retry-After", formatRetryAfter(refusal.retryAfter, rand.Float64()))
	}
	b, err := json.Marshal(refusalBody{refusalError{refusal.reason}})
	if err != nil {
		b = nil // can't happen: the body is a struct with one string
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if c != nil && c.id != "" {
		w.Header().Set(g.dialect.AttemptID, c.id)
	}
	g.closeIfStopping(w)
	g.setReport(w, c, refusal.origin())
	w.WriteHeader(refusal.status)
	_, err = w.Write(b)
	g.metrics.Count("gateway_refusals", 1, "why", refusal.reason, "status", strconv.Itoa(refusal.status))
	attrs := []slog.Attr{slog.String("why", refusal.reason), slog.Int("status", refusal.status), slog.String("id", id)}
	if c != nil {
		attrs = append(attrs, slog.String("same", c.headHash.String()), slog.String("route", c.route.Name),
			slog.String("workspace", c.workspace.Name),
			slog.Int("attempts", c.attempts), slog.Any("ports", c.sends.Ports()), slog.Bool("may_have_run", c.mayHaveRun),
			slog.Bool("delegated", c.delegated != nil), slog.Int("sent", c.sent), slog.String("last_event", c.lastEventID),
			slog.Duration("held", time.Since(c.arrivedAt)))
	}
	write := g.log.Write
	if err != nil {
		write = g.log.WriteReserved // the caller may have no answer
		attrs = append(attrs, slog.String("write_error", err.Error()))
	}
	write(event.RequestRefused, attrs...)
}

// formatRetryAfter returns a Retry-After time in seconds, extended by a part of the jitter
// from 0 to 1. It is rounded up to milliseconds, since 0 would mean at once.
func formatRetryAfter(after time.Duration, jitter float64) string {
	ms := math.Ceil(1000 * after.Seconds() * (1 + retryAfterJitter*jitter))
	return strconv.FormatFloat(ms/1000, 'f', 3, 64)
}

// finishFailed answers a call that no server has answered. A status that means that the
// request was not run is used only if that is certain.
func (g *Gateway) finishFailed(w http.ResponseWriter, c *call, out outcome) {
	if c.headSent && c.reportEnd(w, false) {
		g.logEnd(c, "stream_handed_back", 0, out)
		return
	}
	if c.headSent {
		g.logEnd(c, resultStreamBroken, 0, out)
		panic(http.ErrAbortHandler) // the caller sees that the answer is truncated
	}
	overdue := g.clock.Now() >= c.bootDeadline
	switch {
	case out.refusal != nil && (!c.mayHaveRun || !meansNotRun(out.refusal.status)):
		g.writeRefusal(w, c, out.refusal)
	case !c.mayHaveRun:
		refusal := refuse(http.StatusServiceUnavailable, c.lastFailure, busyRetryAfter)
		refusal.hereOnly = out.result == unsent || g.stop.Load() != nil
		g.writeRefusal(w, c, refusal)
	case out.answer != nil && !out.answer.bodyLost && !meansNotRun(out.answer.status):
		g.forwardAnswer(w, c, out)
	case overdue:
		g.writeRefusal(w, c, refuse(http.StatusGatewayTimeout, c.lastFailure, 0))
	default:
		g.writeRefusal(w, c, refuse(http.StatusBadGateway, c.lastFailure, 0))
	}
}

// meansNotRun reports whether a status tells the caller that the request was not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
