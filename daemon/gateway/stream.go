package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/daemon/upstream"
)

// relay forwards the events of a stream, each as soon as it is complete. If the stream
// breaks, an incomplete event is dropped, so that the stream can be resumed at another
// server.
func (g *Gateway) relay(w http.ResponseWriter, c *call, a *upstream.Answer, timer *silenceTimer, hooks relayHooks) outcome {
	events := newEventReader(a, g.buffers)
	control := http.NewResponseController(w)
	out := outcome{}
	last := time.Now()
	for {
		var e []byte
		var err error
		if !hooks.exchange.await(func() { e, err = events.next() }) {
			return outcome{result: handedOver}
		}
		now := time.Now()
		if err != nil && !errors.Is(err, io.EOF) {
			failure := g.failure(c, err, "stream")
			out.result, out.reason, out.connBroken, out.err = failure.result, "stream_broken", failure.connBroken, err
			out.partial = events.partial
			return out
		}
		hooks.exchange.goOn()
		if !c.mayForward() {
			return outcome{result: final, reason: reasonGoesOn}
		}
		if c.headSent {
			c.maxPause = max(c.maxPause, now.Sub(last))
		}
		if err != nil {
			break
		}
		if hooks.event != nil {
			hooks.event(now.Sub(last))
		}
		last = now
		if events.events == 1 {
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
		timer.reset() // a slow caller isn't the server's silence
		hooks.exchange.setWaiting(g.clock.Now())
	}
	g.sendHead(w, c, a)
	if err := control.Flush(); err != nil {
		out.result, out.reason = callerGone, "caller_gone"
		return out
	}
	c.endCloseFramed()
	c.reportEnd(w, true)
	a.Finish()
	out.result, out.answer = answered, &bufferedAnswer{status: a.Status}
	return out
}

// sendHead sends the head of a stream, unless an earlier try has sent one.
func (g *Gateway) sendHead(w http.ResponseWriter, c *call, a *upstream.Answer) {
	if c.headSent {
		return
	}
	c.progress.setHeadSent(c.mayHandBack())
	g.closeIfStopping(w)
	copyHeaders(w, a.Header)
	w.Header().Del("Content-Length") // the stream may be resumed at another server
	g.setReport(w, c, originServer)
	c.announceEnd(w)
	c.beginCloseFramed()
	w.WriteHeader(a.Status)
	c.headSent = true
	if c.exchange != nil {
		c.exchange.setHeadSent()
	}
}
