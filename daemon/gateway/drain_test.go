package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/gateway"
)

// lateBody is a request body whose end arrives after a function was called.
type lateBody struct {
	io.Reader
	beforeEnd func()
}

func (b lateBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.beforeEnd()
	}
	return n, err
}

// TestRequestThatWaitsIntoStopIsNotSent has a planned stop begin while a request waits, with
// too little time left for the request.
func TestRequestThatWaitsIntoStopIsNotSent(t *testing.T) {
	const limitLine = "Limit: 5\r\n"
	for name, tc := range map[string]struct {
		path       string
		during     string // what the request waits for
		status     int
		sends      int
		headIsSent bool // before the stop begins
	}{
		"body of a stream":                         {"/resume/", "body", 503, 0, false},
		"body of a call":                           {"/once/", "body", 503, 0, false},
		"grant of a server":                        {"/resume/", "grant", 503, 0, false},
		"second try after a refusal":               {"/once-two/", "refusal", 503, 1, false},
		"second try after a break":                 {"/safe/", "break", 502, 1, false},
		"second try after a failure of the server": {"/safe/", "failure", 500, 1, false},
		"resumption of a stream":                   {"/resume/", "event", 200, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			stop := func(step string) {
				if step == tc.during {
					for f.gateway.Active() == 0 {
						_ = pause.For(t.Context(), time.Millisecond) // until the head has arrived
					}
					now := time.Now()
					f.gateway.Drain(now, now.Add(time.Second))
				}
			}
			answer := func(r *http.Request, w io.Writer) bool {
				stop("refusal")
				stop("break")
				stop("failure")
				switch tc.during {
				case "refusal":
					return plainReply(503, "full", "Not-Run: 1\r\n", limitLine)(r, w)
				case "failure":
					return plainReply(500, "x", limitLine)(r, w)
				case "event":
					_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n")
					stop("event")
				}
				return false
			}
			notices := notice.NewRegistry()
			f = startWith(t, []gateway.Option{
				gateway.WithNotices(notices, gateway.NoticeSender{SendLimit: func(string, notice.Limit) {}, SendLeaving: func(string) {}}),
				gateway.WithGrants(func(context.Context, backend.Server) (bool, time.Duration) {
					stop("grant")
					return true, 0
				}),
			}, answer, answer)
			for _, id := range []string{"i0", "i1"} {
				notices.MergeLimit(id, notice.Limit{Version: 1, Limited: true, Rate: 5}, 0)
			}
			r, err := http.NewRequest(http.MethodPost, f.httpServer.URL+tc.path, lateBody{strings.NewReader("b"), func() { stop("body") }})
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "shop.example"
			r.Header.Set("Try", "t1")
			r.Header.Set("Authorization", "Key k1")
			began := time.Now()
			resp, err := transport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != tc.status || (err != nil) != tc.headIsSent {
				t.Errorf("status %d and error %v, want status %d", resp.StatusCode, err, tc.status)
			}
			if n := f.requestCount(); n != tc.sends {
				t.Errorf("sent %d times, want %d", n, tc.sends)
			}
			if d := time.Since(began); d > 500*time.Millisecond {
				t.Errorf("answered after %v", d)
			}
		})
	}
}

// TestStoppingHostRefusesStreamsOfOtherHosts has another host delegate a stream, a new one and one that
// was sent before, right after a stop has begun, and a caller send the same.
func TestStoppingHostRefusesStreamsOfOtherHosts(t *testing.T) {
	f := start(t, plainReply(200, "id: 1\n\n"))
	now := time.Now()
	f.gateway.Drain(now.Add(time.Minute), now.Add(time.Hour))
	for _, sends := range []string{"", ", sent=1, paid=plain, paid_ms=0"} {
		a, report := f.delegated("/resume/", "k1", "attempts=0, version=1, elapsed=10, counted=true"+sends)
		if a.status != http.StatusServiceUnavailable || !strings.HasPrefix(report, "origin=host,") || f.requestCount() != 0 {
			t.Errorf("status %d with report %q after %d requests, want a refusal of this host", a.status, report, f.requestCount())
		}
	}
	if a := f.do("POST", "/resume/", "b"); a.status != http.StatusOK {
		t.Errorf("status %d for a caller, want %d", a.status, http.StatusOK)
	}
}
