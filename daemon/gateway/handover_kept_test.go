package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/site"
)

// TestServerThatMayGetTheStreamIsKeptWhenThePresentOneFails has the present server of a stream fail, in some way, while another one reads the prompt.
func TestServerThatMayGetTheStreamIsKeptWhenThePresentOneFails(t *testing.T) {
	begin := func(r *http.Request, w io.Writer, events ...string) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Try"))
		for _, e := range events {
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
	}
	fail := func(r *http.Request, w io.Writer) bool {
		begin(r, w, formatEvent(1), formatEvent(2))
		return false
	}
	goOnAfter := func(d time.Duration) reply {
		return func(r *http.Request, w io.Writer) bool {
			<-time.After(d)
			return streamFrom(eventCount)(r, w)
		}
	}
	breakOff := func(r *http.Request, w io.Writer) bool {
		begin(r, w, formatEvent(1), formatEvent(2))
		<-time.After(1600 * time.Millisecond)
		return false
	}
	for name, tc := range map[string]struct {
		attempts int
		runs     []reply
	}{
		"breaks off, and the other one takes long": {2, []reply{breakOff, goOnAfter(2 * time.Second)}},
		"breaks off, and a third one goes on":      {3, []reply{breakOff, goOnAfter(6 * time.Second), goOnAfter(0)}},
		"refuses": {3, []reply{fail, func(r *http.Request, w io.Writer) bool {
			<-time.After(1600 * time.Millisecond)
			return plainReply(503, "full", "Not-Run: 1\r\n")(r, w)
		}, goOnAfter(time.Second)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			answer := func(r *http.Request, w io.Writer) bool {
				if n := int(runs.Add(1)); n <= len(tc.runs) {
					return tc.runs[n-1](r, w)
				}
				return false
			}
			f := start(t, answer, answer, answer, answer)
			f.config = configWithAttempts(tc.attempts)
			if a := f.do("POST", "/wait/", "b", "Size", "1000,10"); a.err != nil || a.body != allEvents() || int(runs.Load()) != len(tc.runs) {
				t.Errorf("error %v, got %q after %d runs, want all events after %d", a.err, a.body, runs.Load(), len(tc.runs))
			}
		})
	}
}

// configWithAttempts returns a configuration whose only route has that many attempts.
func configWithAttempts(attempts int) *site.Config {
	return site.New(1, []site.Route{{
		Name: "wait", Host: "shop.example", Prefix: "/wait/", Kind: site.Stream, Attempts: attempts, Timeout: 8 * time.Second,
		Objective: 1500 * time.Millisecond, Gap: 100 * time.Millisecond, Resume: true, Targets: []site.Target{{Service: "engine", Weight: 1}},
	}}, []site.Service{{Name: "engine", Engine: engine}}, site.KeysOf(map[string]site.Workspace{"k1": {Name: "w1"}}),
		site.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 10})
}
