package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

const eventCount = 6

func formatEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func allEvents() string {
	var b strings.Builder
	for n := 1; n <= eventCount; n++ {
		b.WriteString(formatEvent(n))
	}
	return b.String()
}

// streamFrom writes the events after the one given in the request, up to last. If that
// isn't the final event, it then writes an incomplete event and closes the connection.
func streamFrom(last int) reply {
	return func(r *http.Request, w io.Writer) bool {
		after, _ := strconv.Atoi(r.Header.Get("After-Event"))
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: from-%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("Try"), after)
		for n := after + 1; n <= last; n++ {
			e := formatEvent(n)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		if last < eventCount {
			_, _ = io.WriteString(w, "8\r\nid: 99\nd\r\n")
			return false
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

func TestStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		path     string
		answers  []reply
		complete bool
		runs     int
	}{
		"complete stream":                      {"/resume/", []reply{streamFrom(eventCount)}, true, 1},
		"breaks again after a resume":          {"/resume/", []reply{streamFrom(3), streamFrom(3)}, false, 2},
		"not resumable":                        {"/stream/", []reply{streamFrom(3), streamFrom(eventCount)}, false, 1},
		"broken before the first event, twice": {"/resume/", []reply{streamFrom(0), streamFrom(0)}, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, tc.answers...)
			a := f.do("POST", tc.path, "b")
			if complete := a.err == nil && a.status == 200; complete != tc.complete || f.requestCount() != tc.runs {
				t.Errorf("status %d, error %v after %d runs, want a complete stream: %v, after %d", a.status, a.err, f.requestCount(), tc.complete, tc.runs)
			}
			if tc.complete && a.body != allEvents() {
				t.Errorf("the caller received %q", a.body)
			}
			if !strings.HasPrefix(allEvents(), a.body) && a.status == 200 {
				t.Errorf("the caller received events with gaps or duplicates: %q", a.body)
			}
		})
	}
}

// TestResumedStreamIsOneAnswer lets each server break off a stream after the first
// events unless it resumes one. Whichever server is chosen first, the other one resumes
// the stream.
func TestResumedStreamIsOneAnswer(t *testing.T) {
	breakOnce := func(r *http.Request, w io.Writer) bool {
		if r.Header.Get("After-Event") == "" {
			return streamFrom(3)(r, w)
		}
		return streamFrom(eventCount)(r, w)
	}
	f := start(t, breakOnce, breakOnce)
	a := f.do("POST", "/resume/", "b")
	if a.err != nil || a.status != 200 || a.body != allEvents() {
		t.Fatalf("got %d %v %q", a.status, a.err, a.body)
	}
	if a.header.Get("Seal") != "from-0" {
		t.Errorf("the answer has the head of try %q, want that of the first one", a.header.Get("Seal"))
	}
	if f.requestCount() != 2 {
		t.Errorf("%d runs, want 2", f.requestCount())
	}
}

func TestCallerResumesStream(t *testing.T) {
	f := start(t, streamFrom(eventCount))
	a := f.do("POST", "/resume/", "b", "After-Event", "4")
	if a.err != nil || a.body != formatEvent(5)+formatEvent(6) {
		t.Errorf("got %v %q", a.err, a.body)
	}
}

// TestResumedStreamGetsNoBytesOfOtherAnswers has a stream break off, and the next server answer it with a failure.
func TestResumedStreamGetsNoBytesOfOtherAnswers(t *testing.T) {
	const begin = "id: 1\ndata: piece 1\n\n"
	var runs atomic.Int64
	answer := func(r *http.Request, w io.Writer) bool {
		if runs.Add(1) > 1 {
			return plainReply(404, "gone")(r, w)
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(begin), begin)
		return false
	}
	f := start(t, answer, answer)
	if a := f.do("POST", "/resume/", "b"); a.err == nil || a.body != begin || runs.Load() != 2 {
		t.Errorf("error %v, got %q after %d runs, want a truncated answer with one event after 2", a.err, a.body, runs.Load())
	}
}
