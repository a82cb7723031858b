package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/gateway"
)

// delegated sends a request as another host would delegate it, and returns the answer and the
// report of where it is from; headers are pairs of name and value.
func (f *fixture) delegated(path, key, report string, headers ...string) (answer, string) {
	f.t.Helper()
	s := httptest.NewServer(f.gateway.DelegatedHandler())
	f.t.Cleanup(s.Close)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.URL+path, strings.NewReader("b"))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set("Try", "t1")
	r.Header.Set("Authorization", "Key "+key)
	r.Header.Set("Slipcrank-Delegation", report)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, a.Header, string(b), err, a.Close, a.Trailer}, a.Header.Get("Slipcrank-Delegation")
}

// TestDelegatedRequestIsServedOnce checks what a host does with a request that another host
// delegates to it: which server requests it causes, and what it reports.
func TestDelegatedRequestIsServedOnce(t *testing.T) {
	header := func(attempts, version int) string {
		return fmt.Sprintf("attempts=%d, version=%d, elapsed=10, counted=true", attempts, version)
	}
	for name, tc := range map[string]struct {
		path, key, header string
		reply             reply
		status, requests  int
		origin            string
	}{
		"served":                      {"/safe/", "k1", header(0, 1), plainReply(200, "fine"), 200, 1, "server"},
		"runs once":                   {"/once/", "k1", header(0, 1), plainReply(200, "fine"), 200, 1, "server"},
		"failure of the server":       {"/once/", "k1", header(0, 1), plainReply(500, "bad"), 500, 1, "server"},
		"older configuration":         {"/safe/", "k1", header(0, 2), plainReply(200, "fine"), 503, 0, "host"},
		"unknown key":                 {"/safe/", "k9", header(0, 1), plainReply(200, "fine"), 401, 0, "fleet"},
		"no attempts left to retry":   {"/safe/", "k1", header(1, 1), plainReply(500, "bad"), 500, 1, "server"},
		"retried here, attempts left": {"/safe/", "k1", header(0, 1), plainReply(500, "bad"), 500, 2, "server"},
		"malformed":                   {"/safe/", "k1", "attempts=x", plainReply(200, "fine"), 400, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, tc.reply, tc.reply)
			a, report := f.delegated(tc.path, tc.key, tc.header)
			if a.status != tc.status || f.requestCount() != tc.requests {
				t.Errorf("status %d after %d requests to servers, want %d after %d: %s", a.status, f.requestCount(), tc.status, tc.requests, a.body)
			}
			if got, _, _ := strings.Cut(strings.TrimPrefix(report, "origin="), ","); got != tc.origin {
				t.Errorf("report %q, want origin %q", report, tc.origin)
			}
			for _, s := range f.servers {
				for _, r := range s.received() {
					if r.request.Header.Get("Slipcrank-Delegation") != "" {
						t.Error("the server received the header of the delegation")
					}
				}
			}
		})
	}
}

// TestEachRepeatIsPaid delegates requests of which sends may have reached servers, paid for or not.
func TestEachRepeatIsPaid(t *testing.T) {
	for name, tc := range map[string]struct {
		header             string
		reply              reply
		budget             int
		payments, requests int
	}{
		"first send":              {"attempts=0, sent=0, paid=", plainReply(200, "fine"), 9, 0, 1},
		"first send, and a retry": {"attempts=0, sent=0, paid=", plainReply(500, "bad"), 9, 1, 2},
		"paid by the other host":  {"attempts=0, sent=1, paid=plain", plainReply(200, "fine"), 9, 0, 1},
		"paid, and a retry":       {"attempts=0, sent=1, paid=plain", plainReply(500, "bad"), 9, 1, 2},
		"not paid":                {"attempts=0, sent=1, paid=", plainReply(200, "fine"), 9, 1, 1},
		"paid for other servers":  {"attempts=0, sent=1, paid=engine", plainReply(200, "fine"), 9, 1, 1},
		"an earlier version":      {"attempts=1", plainReply(200, "fine"), 9, 1, 1},
		"no budget":               {"attempts=0, sent=1, paid=", plainReply(200, "fine"), 0, 0, 0},
		"no budget for the retry": {"attempts=0, sent=0, paid=", plainReply(500, "bad"), 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			payments := 0
			f := startWith(t, []gateway.Option{gateway.WithRetryPayment(func(context.Context, string, time.Time) (limit.Balance, bool) {
				if payments == tc.budget {
					return limit.Balance{}, false
				}
				payments++
				return limit.Balance{}, true
			})}, tc.reply, tc.reply)
			a, _ := f.delegated("/safe/", "k1", tc.header+", version=1, elapsed=10, counted=true")
			if payments != tc.payments || f.requestCount() != tc.requests {
				t.Errorf("%d payments and %d requests to servers, want %d and %d; status %d: %s",
					payments, f.requestCount(), tc.payments, tc.requests, a.status, a.body)
			}
		})
	}
}

// TestDelegatedRequestAvoidsLeavingServersOfBothHosts guards against a host that knows a server to be
// leaving, but no longer lists it, and has another one that lists it serve a request.
func TestDelegatedRequestAvoidsLeavingServersOfBothHosts(t *testing.T) {
	leaving := plainReply(200, "fine", "Leaving: 1\r\n")
	f := start(t, leaving)
	first := f.startDelegating()
	unreachable := first.view
	first.view = f.view
	if a := first.do("POST", "/safe/", "b"); a.status != 200 || a.header.Get("Leaving") == "" {
		t.Fatalf("got %+v, want the answer of the server that leaves", a)
	}
	first.view = unreachable
	if a := first.do("POST", "/safe/", "b"); a.status != 503 || f.requestCount() != 1 {
		t.Errorf("got %d, and the server that leaves received %d requests; want 503 and one", a.status, f.requestCount())
	}
}

// TestDelegatedStreamThatContinuesIsAdmitted guards against streams whose callers have a part, and which another host refuses like new ones.
func TestDelegatedStreamThatContinuesIsAdmitted(t *testing.T) {
	for name, tc := range map[string]struct {
		path, header, lastEvent string
		status, runs            int
	}{
		"new":                                    {"/wait/", "attempts=0, sent=0", "", 503, 0},
		"sent before, the attempt doesn't count": {"/wait/", "attempts=0, sent=1, paid=engine, paid_ms=0", "2", 200, 1},
		"sent before, without an event":          {"/wait/", "attempts=0, sent=1, paid=engine, paid_ms=0", "", 200, 1},
		"resumed by its caller":                  {"/wait/", "attempts=0, sent=0", "2", 200, 1},
		"event of a stream that isn't resumed":   {"/late/", "attempts=0, sent=0", "2", 503, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, streamFrom(eventCount))
			for n := range 2 {
				f.scheduler.AddRemote(schedule.Placement{
					ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: "engine", Lead: "e0",
					Work: schedule.Work{Prompt: 130_000, Answer: 10}, FirstToken: time.Minute,
					MemoryShares: []schedule.MemoryShare{{Server: "elsewhere", Tokens: 130_000}},
				})
			}
			a, _ := f.delegated(tc.path, "k1", tc.header+", version=1, elapsed=10, counted=true", "Size", "1000,10", "After-Event", tc.lastEvent)
			if a.err != nil || a.status != tc.status || f.requestCount() != tc.runs {
				t.Errorf("status %d, error %v after %d runs, want %d after %d: %s", a.status, a.err, f.requestCount(), tc.status, tc.runs, a.body)
			}
		})
	}
}
