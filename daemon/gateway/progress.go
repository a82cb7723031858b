package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"slipcrank.example/core/drain"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/event"
)

type (
	// progresses are the requests in progress. It is safe for concurrent use.
	progresses struct {
		mu        sync.Mutex
		open      map[*progress]bool
		unwritten map[net.Conn]*progress // whose handlers have returned, until their answers are written
		ended     bool                   // the end of the process has begun
	}

	// progress is how far a request has come: whether a planned stop may still refuse it, and
	// what the log says of it if the process ends before it. It is safe for concurrent use.
	progress struct {
		id        string
		delegated bool // by another host
		arrivedAt time.Time
		late      bool     // the end of the process had begun
		conn      net.Conn // nil if it isn't known

		mu         sync.Mutex
		readAt     time.Time // when its body was complete, zero before
		route      site.Route
		deadline   time.Time
		cancel     context.CancelCauseFunc // nil before it may be sent
		waiting    bool                    // no server has it
		canceled   bool                    // while waiting, or before its head was sent
		headSent   bool                    // to the caller
		handsBack  bool                    // the host that delegates it may go on with its stream
		handedBack bool                    // by the host to which it was delegated
		server     string                  // to which it was sent last, empty for none
		firstAt    time.Time               // when it was sent first, zero before
		sentAt     time.Time               // when it was sent last
		sends      int
	}
)

func newProgresses() *progresses {
	return &progresses{open: map[*progress]bool{}, unwritten: map[net.Conn]*progress{}}
}

// add registers a request whose head has arrived.
func (s *progresses) add(id string, delegated bool, now time.Time) *progress {
	p := &progress{id: id, delegated: delegated, arrivedAt: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[p], p.late = true, s.ended
	return p
}

// remove removes a request whose handler returns.
func (s *progresses) remove(p *progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, p)
	if p.conn != nil {
		s.unwritten[p.conn] = p
	}
}

// setWritten records that the answers on a connection are written, or that it is closed.
func (s *progresses) setWritten(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unwritten, c)
}

// hasEnded reports whether the end of the process has begun.
func (s *progresses) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// end begins the end of the process, and returns the requests in progress and those whose answers
// aren't written.
func (s *progresses) end() (open, unwritten []*progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return slices.Collect(maps.Keys(s.open)), slices.Collect(maps.Values(s.unwritten))
}

// count returns the number of requests in progress.
func (s *progresses) count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.open))
}

// all returns the requests in progress.
func (s *progresses) all() []*progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// setRead records that the call was read.
func (p *progress) setRead(c *call, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt, p.route, p.deadline = now, c.route, c.deadline
}

// setWaiting records that no server has the call, and how it can be canceled.
func (p *progress) setWaiting(cancel context.CancelCauseFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting, p.cancel = true, cancel
}

// beginSending records that the call is about to be sent to a server. It returns an error if
// the call was canceled, or isn't allowed: then nothing may be sent.
func (p *progress) beginSending(server string, allowed func(*progress, time.Time) bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.canceled || !allowed(p, now) {
		return errStopping
	}
	if p.sends == 0 {
		p.firstAt = now
	}
	p.waiting, p.server, p.sentAt = false, server, now
	p.sends++
	return nil
}

// sinceFirstSend returns the time since the call was sent first, and false if it wasn't.
func (p *progress) sinceFirstSend() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.firstAt), p.sends > 0
}

// setServer records the server to which another host has sent the call.
func (p *progress) setServer(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
}

// cancelWaiting cancels the call if it waits and is no longer allowed.
func (p *progress) cancelWaiting(allowed func(*progress, time.Time) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting && !p.canceled && !allowed(p, time.Now()) {
		p.canceled = true
		p.cancel(errStopping)
	}
}

// cancelUnanswered cancels the call if its caller has no part of an answer, or another host may go
// on with it.
func (p *progress) cancelUnanswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil && (!p.headSent || p.handsBack) && !p.canceled {
		p.canceled = true
		p.cancel(errStopping)
	}
}

// setHeadSent records that the caller has the head of a stream, and whether that may be handed back
// to the host that delegates it.
func (p *progress) setHeadSent(handsBack bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.headSent, p.handsBack = true, handsBack
}

// setHandedBack records that the host to which the call was delegated has handed its stream back.
func (p *progress) setHandedBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handedBack = true
}

// setHandsBack records whether a stream may be handed back to the host that delegates it.
func (p *progress) setHandsBack(handsBack bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handsBack = handsBack
}

// isAllowed reports whether the call is allowed now.
func (p *progress) isAllowed(allowed func(*progress, time.Time) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return allowed(p, time.Now())
}

// drainRequest returns what a planned stop decides by. The progress must be locked.
func (p *progress) drainRequest(expected time.Duration, now time.Time) drain.Request {
	if p.handedBack {
		expected = 0 // a part of its answer is there, and its caller gets the rest from no other host
	}
	return drain.Request{
		Stream: p.route.Kind == site.Stream, Continued: p.sends > 0,
		Expected: expected, Left: p.deadline.Sub(now),
	}
}

// attrs returns the attributes of the log line of a request. Times are relative to the
// start of the planned stop, and missing for what has not happened.
func (p *progress) attrs(begun, now time.Time) []slog.Attr {
	p.mu.Lock()
	defer p.mu.Unlock()
	attrs := []slog.Attr{
		slog.String("id", p.id), slog.String("route", p.route.Name), slog.String("server", p.server), slog.Int("sends", p.sends),
		slog.Bool("delegated", p.delegated), slog.Duration("age", now.Sub(p.arrivedAt)),
		slog.Duration("arrived", p.arrivedAt.Sub(begun)),
	}
	if !p.readAt.IsZero() {
		attrs = append(attrs, slog.Duration("read", p.readAt.Sub(begun)))
	}
	if !p.sentAt.IsZero() {
		attrs = append(attrs, slog.Duration("sent", p.sentAt.Sub(begun)), slog.Duration("sent_ago", now.Sub(p.sentAt)))
	}
	return attrs
}

// AnswerWritten has to be called when the answers on a connection are written, or it is closed.
// Until then, [Gateway.LogCut] counts its last request as cut.
func (g *Gateway) AnswerWritten(c net.Conn) { g.progresses.setWritten(c) }

// LogCut logs each request in progress, since the process is about to end, and has later ones
// refused and logged. It returns their number.
func (g *Gateway) LogCut() int {
	open, unwritten := g.progresses.end()
	for _, p := range open {
		g.logCut(p, false)
	}
	for _, p := range unwritten {
		g.logCut(p, true)
	}
	return len(open) + len(unwritten)
}

// logCut logs a request that the end of the process cuts.
func (g *Gateway) logCut(p *progress, handled bool) {
	g.log.WriteLast(event.RequestCut, append(p.attrs(g.stopBegun(), time.Now()), slog.Bool("handled", handled))...)
}

// logOpen logs each request in progress shortly before the end of the process.
func (g *Gateway) logOpen() {
	now, begun := time.Now(), g.stopBegun()
	for _, p := range g.progresses.all() {
		g.log.WriteReserved(event.RequestNearEnd, p.attrs(begun, now)...)
	}
}

// stopBegun returns when the planned stop has begun, and the zero time if there is none.
func (g *Gateway) stopBegun() time.Time {
	if s := g.stop.Load(); s != nil {
		return s.begun
	}
	return time.Time{}
}
