package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/reach"
	"slipcrank.example/daemon/gateway"
	"slipcrank.example/daemon/upstream"
)

// streamUntil streams the events after the one given in the request up to last, and holds the rest until done is closed.
func streamUntil(last int, done <-chan struct{}) reply {
	return func(r *http.Request, w io.Writer) bool {
		after, _ := strconv.Atoi(r.Header.Get("After-Event"))
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Try"))
		for n := after + 1; n <= last; n++ {
			e := formatEvent(n)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		<-done
		return false
	}
}

// delegateToAll has a gateway delegate calls to the hosts that the servers stand for, in their order.
func delegateToAll(servers ...*httptest.Server) gateway.Option {
	return gateway.WithDelegation(gateway.Delegation{
		Pool: upstream.New(),
		Peers: func([]string) []reach.Peer {
			var peers []reach.Peer
			for n, s := range servers {
				peers = append(peers, reach.Peer{Number: uint32(n + 2), Addr: strings.TrimPrefix(s.URL, "http://")})
			}
			return peers
		},
		Alive:       func(uint32) bool { return true },
		Lost:        func(uint32, string) bool { return false },
		PathChanged: func() {},
	})
}

// TestStreamGoesOnWhenItsOtherHostStops guards against delegated streams that end with the process of the other host, although its server was at work.
func TestStreamGoesOnWhenItsOtherHostStops(t *testing.T) {
	const left = 600 * time.Millisecond
	for name, tc := range map[string]struct {
		path          string
		broken        bool // the first server of the stopping host breaks off
		runs, resumed int  // at the servers of the stopping host, and of the third one
		whole         bool
		firstLeft     time.Duration // until the end of the stop of the delegating host; 0: it doesn't stop
	}{
		"attempts left":      {"/resume/", false, 1, 1, true, 0},
		"attempts used":      {"/resume/", true, 2, 0, false, 0},
		"can not be resumed": {"/stream/", false, 1, 0, false, 0},
		"both hosts stop":    {"/resume/", false, 1, 1, true, left + 700*time.Millisecond},
		"both end at once":   {"/resume/", false, 1, 0, false, left},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			var stopping, first *fixture
			var s *httptest.Server
			stop := func(r *http.Request, w io.Writer) bool {
				if tc.broken && r.Header.Get("After-Event") == "" {
					return streamFrom(1)(r, w)
				}
				now := time.Now()
				stopping.gateway.Drain(now, now.Add(left))
				if tc.firstLeft > 0 {
					first.gateway.Drain(now, now.Add(tc.firstLeft))
				}
				time.AfterFunc(left, func() {
					s.CloseClientConnections()
					close(ended)
				})
				return streamUntil(2, ended)(r, w)
			}
			stopping = start(t, stop, stop)
			third := start(t, streamFrom(eventCount))
			s = httptest.NewServer(stopping.gateway.DelegatedHandler())
			defer s.Close()
			s3 := httptest.NewServer(third.gateway.DelegatedHandler())
			defer s3.Close()
			first = startWith(t, []gateway.Option{delegateToAll(s, s3)})
			first.view = unreachableServers()
			a := first.do("POST", tc.path, "b")
			if tc.whole != (a.err == nil) || tc.whole != (a.body == allEvents()) || !strings.HasPrefix(allEvents(), a.body) {
				t.Errorf("got %d, %v, %q, want a whole stream: %t", a.status, a.err, a.body, tc.whole)
			}
			if stopping.requestCount() != tc.runs || third.requestCount() != tc.resumed {
				t.Errorf("%d and %d runs, want %d and %d", stopping.requestCount(), third.requestCount(), tc.runs, tc.resumed)
			}
			for _, r := range third.servers[0].received() {
				if after := r.request.Header.Get("After-Event"); after != "2" {
					t.Errorf("resumed after event %q, want 2", after)
				}
			}
		})
	}
}

// TestStreamOfStoppingHostLooksCompleteToNoHost has hosts of this version and an earlier one delegate a stream to one that stops.
func TestStreamOfStoppingHostLooksCompleteToNoHost(t *testing.T) {
	const left = 400 * time.Millisecond
	for name, tc := range map[string]struct {
		header  string
		trailer string // empty: the connection breaks
	}{
		"earlier version": {"attempts=0, sent=0", ""},
		"reads the end":   {"attempts=0, sent=0, ends=true", "whole=false, attempts=1, sent=1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			var f *fixture
			f = start(t, func(r *http.Request, w io.Writer) bool {
				now := time.Now()
				f.gateway.Drain(now, now.Add(left))
				time.AfterFunc(left, func() { close(ended) })
				return streamUntil(2, ended)(r, w)
			})
			a, _ := f.delegated("/resume/", "k1", tc.header+", version=1, elapsed=10, counted=true")
			if got := a.trailer.Get("Slipcrank-Delegation-End"); got != tc.trailer || (a.err == nil) != (tc.trailer != "") {
				t.Errorf("error %v, trailer %q, want %q", a.err, got, tc.trailer)
			}
			if want := formatEvent(1) + formatEvent(2); a.body != want {
				t.Errorf("got %q, want %q", a.body, want)
			}
		})
	}
}

// TestHandedBackStreamCountsSendsToOtherServers has the host stop while it offers a silent stream to a second server.
func TestHandedBackStreamCountsSendsToOtherServers(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	var f *fixture
	var runs atomic.Int64
	answer := func(r *http.Request, w io.Writer) bool {
		if runs.Add(1) == 1 {
			return streamUntil(2, ended)(r, w)
		}
		now := time.Now()
		f.gateway.Drain(now, now.Add(300*time.Millisecond))
		<-ended
		return false
	}
	f = start(t, answer, answer, answer)
	a, _ := f.delegated("/wait/", "k1", "attempts=0, sent=0, ends=true, version=1, elapsed=10, counted=true", "Size", "1000,10")
	if got, want := a.trailer.Get("Slipcrank-Delegation-End"), "whole=false, attempts=2, sent=2"; a.err != nil || got != want || runs.Load() != 2 {
		t.Errorf("error %v, trailer %q after %d runs, want %q after 2", a.err, got, runs.Load(), want)
	}
}

// TestUnansweredCallGoesOnWhenItsOtherHostStops guards against failures of calls that the end of the other host's stop cuts off from a server at work.
func TestUnansweredCallGoesOnWhenItsOtherHostStops(t *testing.T) {
	const left = 400 * time.Millisecond
	for name, tc := range map[string]struct {
		path            string
		status, resumed int
	}{
		"call":                       {"/safe/", 200, 1},
		"stream before its head":     {"/resume/", 200, 1},
		"call that may run once":     {"/once-two/", 502, 0},
		"stream that may run once":   {"/stream/", 502, 0},
		"call with a single attempt": {"/public/", 502, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			defer close(ended)
			var stopping *fixture
			stopping = start(t, func(*http.Request, io.Writer) bool {
				now := time.Now()
				stopping.gateway.Drain(now, now.Add(left))
				<-ended
				return false
			})
			third := start(t, streamFrom(eventCount))
			s := httptest.NewServer(stopping.gateway.DelegatedHandler())
			defer s.Close()
			s3 := httptest.NewServer(third.gateway.DelegatedHandler())
			defer s3.Close()
			first := startWith(t, []gateway.Option{delegateToAll(s, s3)})
			first.view = unreachableServers()
			a := first.do("POST", tc.path, "b")
			if a.err != nil || a.status != tc.status || stopping.requestCount() != 1 || third.requestCount() != tc.resumed {
				t.Errorf("status %d, error %v after %d and %d runs, want %d after 1 and %d: %s",
					a.status, a.err, stopping.requestCount(), third.requestCount(), tc.status, tc.resumed, a.body)
			}
		})
	}
}

// TestStreamThatNoHostMayResumeIsNotHandedBack guards against the loss of a stream that would end in the last moments of the stop.
func TestStreamThatNoHostMayResumeIsNotHandedBack(t *testing.T) {
	const left = 600 * time.Millisecond
	var f *fixture
	answer := func(r *http.Request, w io.Writer) bool {
		if r.Header.Get("After-Event") == "" {
			return streamFrom(1)(r, w) // breaks off
		}
		now := time.Now()
		f.gateway.Drain(now, now.Add(left))
		ended := make(chan struct{})
		time.AfterFunc(left-50*time.Millisecond, func() { close(ended) })
		streamUntil(2, ended)(r, w)
		for n := 3; n <= eventCount; n++ {
			e := formatEvent(n)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	f = start(t, answer, answer)
	a, _ := f.delegated("/resume/", "k1", "attempts=0, sent=0, ends=true, version=1, elapsed=10, counted=true")
	if a.err != nil || a.body != allEvents() {
		t.Errorf("error %v, got %q, trailer %q, want the whole stream", a.err, a.body, a.trailer.Get("Slipcrank-Delegation-End"))
	}
}
