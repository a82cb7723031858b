package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/reach"
	"slipcrank.example/daemon/gateway"
	"slipcrank.example/daemon/upstream"
)

// TestSilentStreamIsKeptUntilAnotherServerGoesOn has the servers to which a silent stream might move refuse or fail it.
func TestSilentStreamIsKeptUntilAnotherServerGoesOn(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, other := range map[string]reply{
		"refused, has not run":        plainReply(503, "full", "Not-Run: 1\r\n"),
		"refused with its own answer": plainReply(404, "gone"),
		"closed without an answer":    func(*http.Request, io.Writer) bool { return false },
		"silent, too": func(*http.Request, io.Writer) bool {
			<-time.After(4 * time.Second)
			return false
		},
		"closed after the head": func(_ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, head)
			return false
		},
		"closed inside an event": func(_ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, head+"8\r\nid: 3\nda\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			answer := func(r *http.Request, w io.Writer) bool {
				if runs.Add(1) == 1 {
					return streamWithSilence(r, w)
				}
				return other(r, w)
			}
			f := startWith(t, nil, slices.Repeat([]reply{answer}, 6)...)
			a := f.do("POST", "/wait/", "b", "Size", "1000,10")
			if a.err != nil || a.body != allEvents() || f.requestCount() != 2 {
				t.Errorf("error %v, got %q after %d runs, want all events after 2", a.err, a.body, f.requestCount())
			}
		})
	}
}

// TestSilentStreamIsKeptWhenOtherHostRefusesIt has the path to all servers get lost during a stream, or seem so.
func TestSilentStreamIsKeptWhenOtherHostRefusesIt(t *testing.T) {
	var runs atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Slipcrank-Delegation", "origin=fleet, attempts=0, sent=1, version=1, server=")
		http.Error(w, `{"error":{"kind":"queue_too_long"}}`, http.StatusServiceUnavailable)
	}))
	t.Cleanup(other.Close)
	delegation := gateway.WithDelegation(gateway.Delegation{
		Pool:        upstream.New(),
		Peers:       func([]string) []reach.Peer { return []reach.Peer{{Number: 1, Addr: other.Listener.Addr().String()}} },
		Alive:       func(uint32) bool { return true },
		Lost:        func(uint32, string) bool { return false },
		PathChanged: func() {},
	})
	f := startWith(t, []gateway.Option{delegation}, slices.Repeat([]reply{streamWithSilence}, 4)...)
	var answers [4]chan answer
	for n := range answers {
		answers[n] = make(chan answer, 1)
		go func() {
			answers[n] <- f.do("POST", fmt.Sprint("/wait/", n), "b", "Size", "1000,10", "Try", fmt.Sprint("t", n))
		}()
	}
	<-time.After(600 * time.Millisecond) // the streams have begun
	for _, s := range f.servers {
		_ = s.listener.Close() // no further connection is opened
	}
	for n := range answers {
		if a := <-answers[n]; a.err != nil || a.body != allEvents() {
			t.Errorf("error %v, got %q, want all events", a.err, a.body)
		}
	}
	if runs.Load() == 0 {
		t.Error("no stream was delegated")
	}
}

// TestLogTellsThatCallerHasGoneDuringHandover has a server break off while its silent stream is offered to another one, and the caller leave then.
func TestLogTellsThatCallerHasGoneDuringHandover(t *testing.T) {
	var runs atomic.Int64
	answer := func(r *http.Request, w io.Writer) bool {
		if runs.Add(1) > 1 {
			<-time.After(time.Second)
			return false
		}
		const begin = "id: 1\ndata: piece 1\n\n"
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(begin), begin)
		<-time.After(1500 * time.Millisecond)
		return false
	}
	f := start(t, answer, answer)
	ctx, cancel := context.WithTimeout(t.Context(), 1800*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.httpServer.URL+"/wait/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set("Try", "t1")
	r.Header.Set("Authorization", "Key k1")
	if a, err := transport.RoundTrip(r); err == nil {
		_, _ = io.Copy(io.Discard, a.Body) // ends with ctx
		_ = a.Body.Close()
	}
	f.httpServer.Close() // waits for the handler
	if text := f.metrics.Text(); !strings.Contains(text, "caller_gone") || strings.Contains(text, "stream_broken") {
		t.Errorf("the metrics have no caller that has gone, or a broken stream:\n%s", text)
	}
}

// TestStreamStaysWithTheLastServerThatHasIt has the present server of a silent stream break off while the next one is silent, too.
func TestStreamStaysWithTheLastServerThatHasIt(t *testing.T) {
	var runs atomic.Int64
	answer := func(r *http.Request, w io.Writer) bool {
		if runs.Add(1) > 1 {
			<-time.After(2 * time.Second)
			return streamFrom(eventCount)(r, w)
		}
		begin := formatEvent(1) + formatEvent(2)
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(begin), begin)
		<-time.After(1500 * time.Millisecond)
		return false
	}
	f := start(t, slices.Repeat([]reply{answer}, 6)...)
	a := f.do("POST", "/wait/", "b", "Size", "1000,10")
	if a.err != nil || a.body != allEvents() || runs.Load() != 2 {
		t.Errorf("error %v, got %q after %d runs, want all events after 2", a.err, a.body, runs.Load())
	}
}
