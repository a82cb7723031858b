// Package decision is a structured log with one line of JSON for each decision
// that affects a request or changes the daemon's view of the fleet.
//
// Writing never blocks. Lines are written by a goroutine from a bounded queue. Lines
// above the rate limit, and those that find the queue full, are dropped and counted,
// and the next line that is written contains the count.
//
// # Usage
//
//	l := decision.New(os.Stdout)
//	defer l.Close()
//	l.Write(event.RequestEnded, slog.String("id", id))
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
)

// Log is a log of decisions. It is safe for concurrent use.
type Log struct {
	handler slog.Handler
	records chan slog.Record
	limiter *rate.Limiter
	dropped atomic.Int64
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
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	r := slog.NewRecord(time.Now(), slog.LevelInfo, e.Message, 0)
	r.AddAttrs(slog.Int("event", e.Number))
	r.AddAttrs(attrs...)
	select {
	case l.records <- r:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of dropped lines that no written line has reported yet.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines and stops the log. Lines that are queued later are lost.
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

// drain writes the queued lines.
func (l *Log) drain() {
	for {
		select {
		case r := <-l.records:
			l.handle(r)
		default:
			return
		}
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
