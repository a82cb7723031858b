package gateway

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"slipcrank.example/daemon/event"
)

// When callers may come back.
const (
	// startWait is about how long a daemon needs for its first
	// configuration.
	startWait = 300 * time.Millisecond
	// staleWait sends a caller to another host at once: each has its own way
	// to the platform.
	staleWait = 100 * time.Millisecond
	// busyWait is about two passes of an engine.
	busyWait = 150 * time.Millisecond
	// memoryWait is about how long a large prompt keeps its memory.
	memoryWait = 1500 * time.Millisecond
	// spread is the part of a wait by which callers are spread.
	spread = 0.5
)

type (
	// refusal is an answer of ours.
	refusal struct {
		status int
		why    string
		after  time.Duration // zero: don't come back for it
	}

	refusalBody struct {
		Error refusalError `json:"error"`
	}

	refusalError struct {
		Kind string `json:"kind"`
	}
)

func refuse(status int, why string, after time.Duration) *refusal {
	return &refusal{status: status, why: why, after: after}
}

// answerRefusal sends a refusal. c may be nil if the request wasn't read.
func (g *Gateway) answerRefusal(w http.ResponseWriter, c *call, no *refusal) {
	if no.after > 0 {
		s := no.after.Seconds() * (1 + spread*rand.Float64())
		w.Header().Set("Retry-After", strconv.FormatFloat(s, 'f', 3, 64))
	}
	b, err := json.Marshal(refusalBody{refusalError{no.why}})
	if err != nil {
		b = nil // a struct of one text always encodes
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if c != nil && c.id != "" {
		w.Header().Set(g.dialect.AttemptID, c.id)
	}
	w.WriteHeader(no.status)
	_, err = w.Write(b)
	g.metrics.Count("gateway_refusals", 1, "why", no.why, "status", strconv.Itoa(no.status))
	attrs := []slog.Attr{slog.String("why", no.why), slog.Int("status", no.status)}
	if c != nil {
		attrs = append(attrs, slog.String("id", c.id), slog.String("same", c.mark.String()), slog.String("route", c.route.Name),
			slog.String("workspace", c.workspace.Name),
			slog.Int("attempts", c.attempts), slog.Bool("may_have_run", c.may),
			slog.Duration("held", time.Since(c.arrived)))
	}
	if err != nil {
		attrs = append(attrs, slog.String("write_error", err.Error()))
	}
	g.log.Write(event.RequestRefused, attrs...)
}

// giveUp ends a call that no server has answered.
func (g *Gateway) giveUp(w http.ResponseWriter, c *call, out outcome) {
	if c.begun {
		g.logEnd(c, "stream_broken", 0, out)
		panic(http.ErrAbortHandler) // the caller sees that the answer is cut
	}
	late := g.clock.Now() >= c.due
	switch {
	case out.no != nil && (!c.may || !promises(out.no.status)):
		g.answerRefusal(w, c, out.no)
	case !c.may:
		g.answerRefusal(w, c, refuse(http.StatusServiceUnavailable, c.note, busyWait))
	case out.answer != nil && !promises(out.answer.status):
		g.pass(w, c, out)
	case late:
		g.answerRefusal(w, c, refuse(http.StatusGatewayTimeout, c.note, 0))
	default:
		g.answerRefusal(w, c, refuse(http.StatusBadGateway, c.note, 0))
	}
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
