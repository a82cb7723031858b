// Package decision is a structured log with one line of JSON for each decision
// that affects a request or changes the daemon's view of the fleet.
//
// Writing never blocks. Lines are written by a goroutine from a bounded queue. Lines
// above the rate limit, and those that find the queue full, are dropped and counted,
// and the next line that is written contains the count. Each event has a rate that no other
// event can use up, and half of the queue takes only lines within these rates. The lines of
// [Log.WriteLast] are always written.
//
// # Usage
//
//	l := decision.New(os.Stdout)
//	defer l.Close()
//	l.Write(event.RequestEnded, slog.String("id", id))
//	l.WriteLast(event.RequestCut, slog.String("id", id)) // the process is about to end
package decision

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"slipcrank.example/daemon/event"
)

const (
	// queueLines is enough for a second at linesPerSecond.
	queueLines = 512
	// linesPerSecond and burstLines bound the volume: three lines for each of 130
	// requests per second, several times the load of one host.
	linesPerSecond, burstLines = 400, 800
	// eventLinesPerSecond and eventBurstLines are the rate that each event has to itself.
	eventLinesPerSecond, eventBurstLines = 40, 80
	// sharedQueueLines is the part of the queue that lines above the rate of their event
	// may use.
	sharedQueueLines = queueLines / 2
)

// Log is a log of decisions. It is safe for concurrent use.
type Log struct {
	handler slog.Handler
	records chan slog.Record
	limiter *rate.Limiter
	byEvent sync.Map // *rate.Limiter by event number
	dropped atomic.Int64

	mu   sync.Mutex
	last []slog.Record // written after the queue when the log is closed

	closing chan struct{} // closed by Close; records stays open, since Write may be called concurrently
	done    chan struct{}
	once    sync.Once
}

// New returns a log that writes to w until it is closed, and adds the attributes to
// each line.
func New(w io.Writer, attrs ...slog.Attr) *Log {
	l := &Log{
		handler: slog.NewJSONHandler(w, nil).WithAttrs(attrs),
		records: make(chan slog.Record, queueLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go l.run()
	return l
}

// Write queues a line with an event and its attributes, or drops it if the queue is full
// or the rate exceeded.
func (l *Log) Write(e event.Event, attrs ...slog.Attr) {
	if !l.allow(e) {
		l.dropped.Add(1)
		return
	}
	select {
	case l.records <- record(e, attrs):
	default:
		l.dropped.Add(1)
	}
}

// WriteLast has a line written when the log is closed, after all others. It is for the few
// lines at the end of the process that must not be lost.
func (l *Log) WriteLast(e event.Event, attrs ...slog.Attr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = append(l.last, record(e, attrs))
}

// allow reports whether the rates allow a line. An event that is logged very often takes
// neither the rate nor the place in the queue that others need.
func (l *Log) allow(e event.Event) bool {
	own, ok := l.byEvent.Load(e.Number)
	if !ok {
		own, _ = l.byEvent.LoadOrStore(e.Number, rate.NewLimiter(eventLinesPerSecond, eventBurstLines))
	}
	return own.(*rate.Limiter).Allow() || len(l.records) < sharedQueueLines && l.limiter.Allow()
}

func record(e event.Event, attrs []slog.Attr) slog.Record {
	r := slog.NewRecord(time.Now(), slog.LevelInfo, e.Message, 0)
	r.AddAttrs(slog.Int("event", e.Number))
	r.AddAttrs(attrs...)
	return r
}

// Dropped returns the number of dropped lines that no written line has reported yet.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines and those of [Log.WriteLast], and stops the log. Lines that
// are queued later are lost.
func (l *Log) Close() {
	l.once.Do(func() { close(l.closing) })
	<-l.done
}

// run writes lines from the queue until the log is closed.
func (l *Log) run() {
	defer close(l.done)
	for {
		select {
		case r := <-l.records:
			l.handle(r)
		case <-l.closing:
			l.drain()
			return
		}
	}
}

// drain writes the queued lines and the last ones.
func (l *Log) drain() {
	for {
		select {
		case r := <-l.records:
			l.handle(r)
			continue
		default:
		}
		break
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.last {
		l.handle(r)
	}
}

// handle writes a line, with the number of lines that were dropped before it.
func (l *Log) handle(r slog.Record) {
	if n := l.dropped.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64("dropped_before", n))
	}
	if err := l.handler.Handle(context.Background(), r); err != nil {
		l.dropped.Add(1) // the output has failed, so the error can't be reported
	}
}
