package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

const events = 6

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func allEvents() string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// streamFrom writes the events after the one that the request names, up to
// last; then, if it is not the end, half an event and a broken connection.
func streamFrom(last int) reply {
	return func(r *http.Request, w io.Writer) bool {
		after, _ := strconv.Atoi(r.Header.Get("After-Event"))
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: from-%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("Try"), after)
		for n := after + 1; n <= last; n++ {
			e := event(n)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		if last < events {
			_, _ = io.WriteString(w, "8\r\nid: 99\nd\r\n")
			return false
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

func TestStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		path    string
		answers []reply
		whole   bool
		runs    int
	}{
		"whole":                          {"/resume/", []reply{streamFrom(events)}, true, 1},
		"resumed after a break":          {"/resume/", []reply{streamFrom(3), streamFrom(3)}, false, 2},
		"not to be resumed":              {"/stream/", []reply{streamFrom(3), streamFrom(events)}, false, 1},
		"broken before the first, twice": {"/resume/", []reply{streamFrom(0), streamFrom(0)}, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, tc.answers...)
			a := f.ask("POST", tc.path, "b")
			if whole := a.err == nil && a.status == 200; whole != tc.whole || f.runs() != tc.runs {
				t.Errorf("status %d, error %v after %d runs, want whole %v after %d", a.status, a.err, f.runs(), tc.whole, tc.runs)
			}
			if tc.whole && a.body != allEvents() {
				t.Errorf("the caller got %q", a.body)
			}
			if !strings.HasPrefix(allEvents(), a.body) && a.status == 200 {
				t.Errorf("the caller got pieces that don't join: %q", a.body)
			}
		})
	}
}

// TestResumedStreamIsOneAnswer has each server break once after its first
// events, so that whichever is first, the other goes on.
func TestResumedStreamIsOneAnswer(t *testing.T) {
	breaks := func(r *http.Request, w io.Writer) bool {
		if r.Header.Get("After-Event") == "" {
			return streamFrom(3)(r, w)
		}
		return streamFrom(events)(r, w)
	}
	f := start(t, breaks, breaks)
	a := f.ask("POST", "/resume/", "b")
	if a.err != nil || a.status != 200 || a.body != allEvents() {
		t.Fatalf("got %d %v %q", a.status, a.err, a.body)
	}
	if a.header.Get("Seal") != "from-0" {
		t.Errorf("the answer has the head of run %q, want that of the first", a.header.Get("Seal"))
	}
	if f.runs() != 2 {
		t.Errorf("%d runs, want 2", f.runs())
	}
}

func TestCallerResumes(t *testing.T) {
	f := start(t, streamFrom(events))
	a := f.ask("POST", "/resume/", "b", "After-Event", "4")
	if a.err != nil || a.body != event(5)+event(6) {
		t.Errorf("got %v %q", a.err, a.body)
	}
}
