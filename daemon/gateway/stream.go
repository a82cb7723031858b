package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/upstream"
)

const (
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	readSize = 8 << 10
)

var errEventTooLarge = errors.New("an event of the stream is larger than 1 MiB")

// relay passes the events of a stream on, each as soon as it is whole. What
// stands behind the last whole event of a stream that breaks is dropped, so
// that it can go on at another server.
func (g *Gateway) relay(w http.ResponseWriter, c *call, p schedule.Placement, a *upstream.Answer, al *alarm) outcome {
	events := bufio.NewReaderSize(a.Body, readSize)
	control := http.NewResponseController(w)
	out := outcome{}
	last := time.Now()
	for n := 0; ; n++ {
		e, err := nextEvent(events)
		al.heard()
		now := time.Now()
		if c.begun {
			c.pause = max(c.pause, now.Sub(last))
			g.board.RecordPass(p.Lead, now.Sub(last), p.PassTime, g.clock.Now())
		}
		last = now
		if errors.Is(err, io.EOF) && len(e) == 0 {
			break
		}
		if err != nil && !errors.Is(err, io.EOF) {
			no := g.failure(c, err, "stream")
			out.result, out.why, out.broken = no.result, "stream_broken", no.broken
			return out
		}
		if n == 0 {
			out.first = time.Since(c.arrived)
			g.board.RecordStart(p.ID, g.clock.Now())
			g.started(p.ID)
		}
		begin(w, c, a)
		if _, err := w.Write(e); err != nil {
			out.result, out.why = callerGone, "caller_gone"
			return out
		}
		if err := control.Flush(); err != nil {
			out.result, out.why = callerGone, "caller_gone"
			return out
		}
		if id := eventID(e); id != "" {
			c.lastEvent = id
		}
		if err != nil {
			break
		}
	}
	begin(w, c, a)
	a.Finish()
	out.result, out.answer = answered, &whole{status: a.Status}
	return out
}

// begin sends the head of a stream, unless that of an earlier try has gone out.
func begin(w http.ResponseWriter, c *call, a *upstream.Answer) {
	if c.begun {
		return
	}
	head(w, a.Header)
	w.WriteHeader(a.Status)
	c.begun = true
}

// nextEvent reads one event with the empty line that ends it. At the end of
// the stream it returns what is left and io.EOF.
func nextEvent(r *bufio.Reader) ([]byte, error) {
	var e []byte
	for {
		line, err := r.ReadSlice('\n')
		e = append(e, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
			if len(e) <= maxEvent {
				continue
			}
		}
		if err != nil {
			return e, err
		}
		if len(e) > maxEvent {
			return e, errEventTooLarge
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e, nil
		}
	}
}

// eventID returns the id of an event, or "" if it has none.
func eventID(e []byte) string {
	for line := range bytes.Lines(e) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id := string(bytes.TrimSpace(v))
			if _, err := strconv.ParseUint(id, 10, 64); err == nil {
				return id
			}
		}
	}
	return ""
}
