package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/gateway"
)

type (
	// logLines is the output of a log. It is safe for concurrent use.
	logLines struct {
		mu   sync.Mutex
		text strings.Builder
	}

	// logLine has the attributes of a line that say how a request has ended.
	logLine struct {
		Event  int    `json:"event"`
		ID     string `json:"id"`
		Result string `json:"result"`
		Why    string `json:"why"`
	}
)

// Write implements io.Writer.
func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// all returns the lines that have been written.
func (l *logLines) all(t *testing.T) []logLine {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []logLine
	for text := range strings.Lines(l.text.String()) {
		var line logLine
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Errorf("line %q: %v", text, err)
		}
		out = append(out, line)
	}
	return out
}

// find returns the first line of an event about a request, and waits for it.
func (l *logLines) find(t *testing.T, e event.Event, id string) (logLine, bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); _ = pause.For(t.Context(), 5*time.Millisecond) {
		for _, line := range l.all(t) {
			if line.Event == e.Number && line.ID == id {
				return line, true
			}
		}
	}
	return logLine{}, false
}

// TestEachBrokenStreamIsNamedInFlood guards against rates that drop the lines of streams that break off together.
func TestEachBrokenStreamIsNamedInFlood(t *testing.T) {
	const streams, refusals = 300, 5000
	release := make(chan struct{})
	f := start(t, func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 100\r\n\r\nid: 1\ndata: x\n\n",
			r.Header.Get("Try"))
		<-release
		return false
	})
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() {
			if a := f.do("POST", "/stream/", "b", "Try", fmt.Sprint("s", n)); a.err == nil {
				t.Errorf("stream %d ended with %d %q, want it cut", n, a.status, a.body)
			}
		})
	}
	for f.requestCount() < streams && t.Context().Err() == nil {
		_ = pause.For(t.Context(), 5*time.Millisecond)
	}
	for range refusals {
		f.decisions.Write(event.RequestRefused)
		f.decisions.Write(event.RequestEnded)
	}
	close(release)
	callers.Wait()
	f.decisions.Close()
	named := map[string]bool{}
	for _, line := range f.log.all(t) {
		named[line.ID] = named[line.ID] || line.Event == event.RequestEnded.Number && line.Result == "stream_broken"
	}
	missing := 0
	for n := range streams {
		if !named[fmt.Sprint("s", n)] {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d streams that were cut have no line", missing, streams)
	}
}

// TestRequestWithoutWholeAnswerIsNamed guards against closed connections that the log doesn't tell of.
func TestRequestWithoutWholeAnswerIsNamed(t *testing.T) {
	event1 := "id: 1\ndata: x\n\n"
	head := func(r *http.Request, w io.Writer, length int) {
		fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Try"), length, event1)
	}
	whole := plainReply(200, "fine")
	for name, tc := range map[string]struct {
		path   string
		answer reply
		opts   []gateway.Option
		send   func(c net.Conn, request string) // nil sends the request and reads
		event  event.Event
		result string
		why    string
	}{
		"server breaks off": {path: "/stream/", answer: func(r *http.Request, w io.Writer) bool {
			head(r, w, 100)
			return false
		}, event: event.RequestEnded, result: "stream_broken"},
		"panic in a handler": {path: "/safe/", answer: whole, opts: []gateway.Option{
			gateway.WithPlacementHooks(func(schedule.Placement) { panic("a fault") }, func(schedule.ID) {}, func(schedule.ID) {}),
		}, event: event.InternalError},
		"caller goes before the answer": {path: "/safe/", answer: func(*http.Request, io.Writer) bool {
			_ = pause.For(t.Context(), time.Second)
			return false
		}, send: func(c net.Conn, request string) {
			_, _ = io.WriteString(c, request)
			_ = pause.For(t.Context(), 100*time.Millisecond)
		}, event: event.RequestEnded, result: "caller_gone"},
		"caller goes inside a stream": {path: "/stream/", answer: func(r *http.Request, w io.Writer) bool {
			head(r, w, 10_000)
			_ = pause.For(t.Context(), time.Second)
			return false
		}, send: func(c net.Conn, request string) {
			_, _ = io.WriteString(c, request)
			_, _ = io.ReadFull(c, make([]byte, 100))
		}, event: event.RequestEnded, result: "caller_gone"},
		"caller goes while it gets a large answer": {path: "/safe/", answer: func(r *http.Request, w io.Writer) bool {
			return plainReply(200, strings.Repeat("x", 12<<20))(r, w)
		}, send: func(c net.Conn, request string) {
			_, _ = io.WriteString(c, request)
			_, _ = io.ReadFull(c, make([]byte, 1000))
		}, event: event.RequestEnded, result: "write_failed"},
		"body breaks off": {path: "/safe/", answer: whole, send: func(c net.Conn, request string) {
			_, _ = io.WriteString(c, request[:len(request)-1])
		}, event: event.RequestRefused, why: "body_unreadable"},
		"body is too large": {path: "/safe/", answer: whole, send: func(c net.Conn, request string) {
			_, _ = io.WriteString(c, strings.Replace(request, "Content-Length: 1", "Content-Length: 5000", 1)+strings.Repeat("x", 4999))
			_, _ = io.Copy(io.Discard, c)
		}, event: event.RequestRefused, why: "body_too_large"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWith(t, tc.opts, tc.answer)
			c, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetDeadline(time.Now().Add(2 * time.Second))
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nTry: t7\r\nAuthorization: Key k1\r\nContent-Length: 1\r\n\r\nb", tc.path)
			if tc.send == nil {
				tc.send = func(c net.Conn, request string) {
					_, _ = io.WriteString(c, request)
					_, _ = io.Copy(io.Discard, c)
				}
			}
			tc.send(c, request)
			_ = c.Close()
			line, ok := f.log.find(t, tc.event, "t7")
			if !ok || line.Result != tc.result || line.Why != tc.why && tc.why != "" {
				t.Errorf("got line %+v, want event %d of t7 with result %q, reason %q", line, tc.event.Number, tc.result, tc.why)
			}
		})
	}
}

// TestRequestBeforeFirstConfigurationIsNamed guards against refusals right after a start that name no request.
func TestRequestBeforeFirstConfigurationIsNamed(t *testing.T) {
	f := start(t, plainReply(200, "fine"))
	f.config = nil
	if a := f.do("POST", "/safe/", "b"); a.status != http.StatusServiceUnavailable {
		t.Errorf("got %+v, want 503", a)
	}
	if line, ok := f.log.find(t, event.RequestRefused, "t1"); !ok {
		t.Errorf("got line %+v, want that of t1", line)
	}
}

// TestRequestIsNamedBeforeEndOfStop guards against a process that stands still near its end, and is killed without a line of its requests.
func TestRequestIsNamedBeforeEndOfStop(t *testing.T) {
	release := make(chan struct{})
	f := start(t, func(r *http.Request, w io.Writer) bool {
		<-release
		return plainReply(200, "fine")(r, w)
	})
	answered := make(chan answer, 1)
	go func() { answered <- f.do("POST", "/once/", "b", "Try", "open") }()
	for f.requestCount() == 0 && t.Context().Err() == nil {
		_ = pause.For(t.Context(), 5*time.Millisecond)
	}
	now := time.Now()
	f.gateway.Drain(now, now.Add(1200*time.Millisecond))
	if line, ok := f.log.find(t, event.RequestNearEnd, "open"); !ok {
		t.Errorf("got line %+v, want one about the open request", line)
	}
	if d := time.Since(now); d > time.Second {
		t.Errorf("the request was named %v after the start of a stop of 1.2 s", d)
	}
	close(release)
	if a := <-answered; a.status != http.StatusOK {
		t.Errorf("got %+v", a)
	}
}
