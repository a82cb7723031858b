package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/event"
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
