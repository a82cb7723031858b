// Package decision writes one line of JSON to standard output for each
// decision that touches a request or changes what the daemon believes.
//
// Writers never wait: lines go through a bounded queue, and what finds it
// full, or is over the rate, is dropped and counted. The count is written
// with the next line that passes.
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
	// queue holds a second's lines at the rate.
	queue = 512
	// lines a second, and in a burst, bound the volume: three lines for each
	// of 130 requests a second, a few times what one host gets.
	lines, burst = 400, 800
)

// Log writes lines. It is safe for use by many goroutines.
type Log struct {
	handler slog.Handler
	records chan slog.Record
	limiter *rate.Limiter
	dropped atomic.Int64
	closing chan struct{} // closed by Close; records never is, since others may write
	done    chan struct{}
	once    sync.Once
}

// New returns a log that writes to w until it is closed.
func New(w io.Writer, attrs ...slog.Attr) *Log {
	l := &Log{
		handler: slog.NewJSONHandler(w, nil).WithAttrs(attrs),
		records: make(chan slog.Record, queue),
		limiter: rate.NewLimiter(lines, burst),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go l.run()
	return l
}

// Write queues a line.
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

// Dropped returns how many lines were dropped and not yet reported.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes what is queued and ends the log. Lines written later are lost.
func (l *Log) Close() {
	l.once.Do(func() { close(l.closing) })
	<-l.done
}

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

// drain writes what is queued.
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

func (l *Log) handle(r slog.Record) {
	if n := l.dropped.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64("dropped_before", n))
	}
	if err := l.handler.Handle(context.Background(), r); err != nil {
		l.dropped.Add(1) // standard output is gone; there is nowhere to say so
	}
}
