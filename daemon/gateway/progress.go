package gateway

import (
	"log/slog"
	"sync"
	"time"

	"slipcrank.example/daemon/event"
)

type (
	// progresses are the requests in progress. It is safe for concurrent use.
	progresses struct {
		mu   sync.Mutex
		open map[*progress]bool
	}

	// progress is how far a request has come, for the log line that names it if the process
	// ends before it. It is safe for concurrent use.
	progress struct {
		id        string
		delegated bool // by another host
		arrivedAt time.Time

		mu     sync.Mutex
		readAt time.Time // when its body was complete, zero before
		route  string
		server string    // to which it was sent last, empty for none
		sentAt time.Time // when it was sent last
		sends  int
	}
)

func newProgresses() *progresses { return &progresses{open: map[*progress]bool{}} }

// add registers a request whose head has arrived.
func (s *progresses) add(id string, delegated bool, now time.Time) *progress {
	p := &progress{id: id, delegated: delegated, arrivedAt: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[p] = true
	return p
}

func (s *progresses) remove(p *progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, p)
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
	var out []*progress
	for p := range s.open {
		out = append(out, p)
	}
	return out
}

// setRead records that the request was read and has a route.
func (p *progress) setRead(route string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt, p.route = now, route
}

// setSent records that the request is about to be sent to a server.
func (p *progress) setSent(server string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server, p.sentAt = server, now
	p.sends++
}

// attrs returns the attributes of the log line of a request. Times are relative to the
// start of the planned stop, and missing for what has not happened.
func (p *progress) attrs(begun, now time.Time) []slog.Attr {
	p.mu.Lock()
	defer p.mu.Unlock()
	attrs := []slog.Attr{
		slog.String("id", p.id), slog.String("route", p.route), slog.String("server", p.server), slog.Int("sends", p.sends),
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

// LogCut logs each request in progress, since the process is about to end. It returns their
// number.
func (g *Gateway) LogCut() int {
	now, begun := time.Now(), time.Time{}
	if d := g.drain.Load(); d != nil {
		begun = d.begun
	}
	cut := g.progresses.all()
	for _, p := range cut {
		g.log.WriteLast(event.RequestCut, p.attrs(begun, now)...)
	}
	return len(cut)
}
