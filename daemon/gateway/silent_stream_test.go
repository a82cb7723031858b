package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/daemon/gateway"
)

// streamWithSilence streams all events after the one given in the request, and is silent for longer than a
// call waits before it is tried elsewhere, after the second of them.
func streamWithSilence(r *http.Request, w io.Writer) bool {
	after, _ := strconv.Atoi(r.Header.Get("After-Event"))
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Try"))
	for n := after + 1; n <= eventCount; n++ {
		if n == after+3 {
			<-time.After(2500 * time.Millisecond)
		}
		e := formatEvent(n)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
	}
	_, _ = io.WriteString(w, "0\r\n\r\n")
	return true
}

// TestSilenceDoesNotCutStreamThatCanNotBeResumed has servers fall silent amid a stream, and go on.
func TestSilenceDoesNotCutStreamThatCanNotBeResumed(t *testing.T) {
	deny := func(context.Context, string, time.Time) (limit.Balance, bool) { return limit.Balance{}, false }
	for name, tc := range map[string]struct {
		options []gateway.Option
		drain   bool
		runs    int
	}{
		"resumed once, no attempts left": {nil, false, 2},
		"retry budget used":              {[]gateway.Option{gateway.WithRetryPayment(deny)}, false, 1},
		"host stops":                     {nil, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var f *fixture
			answer := func(r *http.Request, w io.Writer) bool {
				if now := time.Now(); tc.drain {
					f.gateway.Drain(now, now.Add(2500*time.Millisecond))
				}
				return streamWithSilence(r, w)
			}
			f = startWith(t, tc.options, answer, answer)
			a := f.do("POST", "/wait/", "b", "Size", "1000,10")
			if a.err != nil || a.body != allEvents() || f.requestCount() != tc.runs {
				t.Errorf("error %v, got %q after %d runs, want all events after %d", a.err, a.body, f.requestCount(), tc.runs)
			}
		})
	}
}
