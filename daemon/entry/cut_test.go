package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/gateway"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/watch"
)

// logText is the output of a log. It is safe for concurrent use.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// has reports whether there is a line of an event about a request.
func (l *logText) has(e event.Event, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for text := range strings.Lines(l.text.String()) {
		var line struct {
			Event int
			ID    string
		}
		if json.Unmarshal([]byte(text), &line) == nil && line.Event == e.Number && line.ID == id {
			return true
		}
	}
	return false
}

// newLoggedEntry returns what newStoppableEntry returns, with its log.
func newLoggedEntry(t *testing.T, grace time.Duration) (*Entry, *logText) {
	t.Helper()
	log := &logText{}
	e, err := newEntry(settings.Entry{
		Host: "h", Listen: settings.EntryListen{News: "127.0.0.1:0"}, Bounds: settings.Bounds{Grace: grace},
	}, Platform{Tables: watch.Tables{Hosts: "hosts"}, Dialect: gateway.Dialect{AttemptID: "Try"}}, log)
	if err != nil {
		t.Fatal(err)
	}
	_, e.cancel = context.WithCancel(t.Context())
	e.callerServer, e.delegated = e.newServer(e.gateway), e.newServer(e.gateway.DelegatedHandler())
	return e, log
}

// TestAnswerCutAfterItsHandlerIsNamed guards against connections that the end of the process closes without a line.
func TestAnswerCutAfterItsHandlerIsNamed(t *testing.T) {
	t.Parallel()
	l := listenHeld(t)
	defer close(l.release)
	e, log := newLoggedEntry(t, time.Second)
	go e.serve(e.callerServer, l)
	go func() {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", nil)
		if err != nil {
			t.Error(err)
			return
		}
		r.Header.Set("Try", "held")
		if a, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_ = a.Body.Close()
		}
	}()
	<-l.writing
	e.Stop(context.Background())
	if !log.has(event.RequestCut, "held") {
		t.Error("the request whose answer was not written has no line")
	}
}

// TestWrittenAnswerIsNotNamedAsCut guards against lines about requests whose callers have their answers.
func TestWrittenAnswerIsNotNamedAsCut(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, log := newLoggedEntry(t, time.Second)
	go e.serve(e.callerServer, l)
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	const requests = 3
	for n := range requests {
		_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: shop.example\r\nTry: r%d\r\n\r\n", n)
		a, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	e.Stop(context.Background())
	for n := range requests {
		if log.has(event.RequestCut, fmt.Sprint("r", n)) {
			t.Errorf("r%d was answered, and its line says that it was cut", n)
		}
	}
}

// TestRequestReadAtExitIsNamed guards against requests whose heads come while the connections are closed.
func TestRequestReadAtExitIsNamed(t *testing.T) {
	t.Parallel()
	e, log := newLoggedEntry(t, time.Second)
	e.gateway.Drain(time.Now(), time.Now().Add(time.Second))
	e.gateway.LogCut()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://shop.example/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Try", "crossing")
	e.gateway.ServeHTTP(discard{}, r)
	e.log.Close()
	if !log.has(event.RequestCut, "crossing") {
		t.Error("the request has no line")
	}
}

// discard is an http.ResponseWriter whose connection is closed.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return 0, net.ErrClosed }
func (discard) WriteHeader(int)             {}
