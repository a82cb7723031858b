// Package decision is a structured log with one line of JSON for each decision
// that affects a request or changes the daemon's view of the fleet.
//
// Writing never blocks. Lines are written by a goroutine from a bounded queue. Lines
// above the rate limit, and those that find the queue full, are dropped and counted,
// and the next line that is written contains the count. Each event has a rate that no other
// event can use up, and half of the queue takes only lines within these rates.
//
// Lines about requests whose answers were cut, and about the end of the process, are written
// ahead of the queue, so that a slow output still gets them before the process is killed.
//
// # Usage
//
//	l := decision.New(os.Stdout)
//	l.Write(event.RequestEnded, slog.String("id", id))
//	l.WriteReserved(event.RequestEnded, slog.String("id", id)) // its answer was cut
//	l.WriteLast(event.RequestCut, slog.String("id", id))       // the process is about to end
//	err := l.Shutdown(ctx)                                     // waits for the output until ctx ends
package decision

import (
	"context"
	"io"
	"log/slog"
	"math"
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
	// reservedLines bounds the lines of WriteReserved that wait, a few MB, and with
	// reservedLinesPerSecond their volume: a host may lose all its streams at once, but no
	// load can break that many streams in each second.
	reservedLines          = 2048
	reservedLinesPerSecond = 200
)

// Log is a log of decisions. It is safe for concurrent use.
type Log struct {
	handler slog.Handler
	records chan slog.Record
	limiter *rate.Limiter
	byEvent sync.Map // *rate.Limiter by event number
	dropped atomic.Int64

	reserved *rate.Limiter
	mu       sync.Mutex
	first    []slog.Record // written ahead of the queue
	added    chan struct{} // has an entry after first has grown

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
		added:   make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),

		reserved: rate.NewLimiter(reservedLinesPerSecond, reservedLines),
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

// WriteReserved writes a line about a request whose answer was cut ahead of the queue. No
// volume of other lines can have it dropped: such lines have a rate and a space of their own.
// Above these, it is written like other lines.
func (l *Log) WriteReserved(e event.Event, attrs ...slog.Attr) {
	if !l.reserved.Allow() || !l.writeFirst(record(e, attrs), reservedLines) {
		l.Write(e, attrs...)
	}
}

// WriteLast writes a line ahead of the queue, and is never dropped. It is for the few lines at
// the end of the process that must not be lost.
func (l *Log) WriteLast(e event.Event, attrs ...slog.Attr) {
	l.writeFirst(record(e, attrs), math.MaxInt)
}

// writeFirst adds a line to those that are written ahead of the queue, unless limit of them wait.
func (l *Log) writeFirst(r slog.Record, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.first) >= limit {
		return false
	}
	l.first = append(l.first, r)
	select {
	case l.added <- struct{}{}:
	default:
	}
	return true
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

// Close writes all lines that wait, and stops the log. Lines that are written later are lost.
func (l *Log) Close() { _ = l.Shutdown(context.Background()) }

// Shutdown does what [Log.Close] does. If ctx ends before the output has taken all lines, it
// returns the context's error.
func (l *Log) Shutdown(ctx context.Context) error {
	l.once.Do(func() { close(l.closing) })
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run writes lines until the log is closed.
func (l *Log) run() {
	defer close(l.done)
	for {
		l.handleFirst()
		select {
		case <-l.added:
		case r := <-l.records:
			l.handle(r)
		case <-l.closing:
			l.drain()
			return
		}
	}
}

// drain writes the lines that wait.
func (l *Log) drain() {
	for {
		l.handleFirst()
		select {
		case r := <-l.records:
			l.handle(r)
		default:
			return
		}
	}
}

// handleFirst writes the lines that go ahead of the queue.
func (l *Log) handleFirst() {
	for {
		l.mu.Lock()
		if len(l.first) == 0 {
			l.first = nil // the slice may have been large
			l.mu.Unlock()
			return
		}
		r := l.first[0]
		l.first = l.first[1:]
		l.mu.Unlock()
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
