package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/daemon/upstream"
)

const (
	// maxEventBytes bounds the size of one stream event.
	maxEventBytes   = 1 << 20
	readBufferBytes = 8 << 10
)

var errEventTooLarge = errors.New("stream event larger than 1 MiB")

// relay forwards the events of a stream, each as soon as it is complete. If the stream
// breaks, an incomplete event is dropped, so that the stream can be resumed at another
// server.
func (g *Gateway) relay(w http.ResponseWriter, c *call, a *upstream.Answer, timer *silenceTimer, hooks relayHooks) outcome {
	events := bufio.NewReaderSize(a.Body, readBufferBytes)
	control := http.NewResponseController(w)
	out := outcome{}
	last := time.Now()
	for n := 0; ; n++ {
		e, err := readEvent(events)
		timer.reset()
		now := time.Now()
		if c.headSent {
			c.maxPause = max(c.maxPause, now.Sub(last))
		}
		if errors.Is(err, io.EOF) && len(e) == 0 {
			break
		}
		if err != nil {
			out.partial = len(e)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			failure := g.failure(c, err, "stream")
			out.result, out.reason, out.connBroken, out.err = failure.result, "stream_broken", failure.connBroken, err
			return out
		}
		if hooks.event != nil {
			hooks.event(now.Sub(last))
		}
		last = now
		if n == 0 {
			out.firstEvent = time.Since(c.arrivedAt)
			if hooks.first != nil {
				hooks.first()
			}
		}
		g.sendHead(w, c, a)
		if _, err := w.Write(e); err != nil {
			out.result, out.reason = callerGone, "caller_gone"
			return out
		}
		if err := control.Flush(); err != nil {
			out.result, out.reason = callerGone, "caller_gone"
			return out
		}
		if id := eventID(e); id != "" {
			c.lastEventID = id
		}
		if err != nil {
			break
		}
	}
	g.sendHead(w, c, a)
	a.Finish()
	out.result, out.answer = answered, &bufferedAnswer{status: a.Status}
	return out
}

// sendHead sends the head of a stream, unless an earlier try has sent one.
func (g *Gateway) sendHead(w http.ResponseWriter, c *call, a *upstream.Answer) {
	if c.headSent {
		return
	}
	copyHeaders(w, a.Header)
	g.setReport(w, c, originServer)
	w.WriteHeader(a.Status)
	c.headSent = true
}

// readEvent reads one event including the empty line that ends it. At the end of the
// stream it returns the remaining bytes and io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var e []byte
	for {
		line, err := r.ReadSlice('\n')
		e = append(e, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
			if len(e) <= maxEventBytes {
				continue
			}
		}
		if err != nil {
			return e, err
		}
		if len(e) > maxEventBytes {
			return e, errEventTooLarge
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e, nil
		}
	}
}

// eventID returns the numeric ID of an event, or "" if it has none.
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
