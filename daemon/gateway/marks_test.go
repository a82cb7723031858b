package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"slipcrank.example/daemon/gateway"
)

// invalidHeads are heads of successes that lack a mark of the answers that servers make.
var invalidHeads = map[string]string{
	"no seal":            "Try: t1\r\n",
	"empty seal":         "Try: t1\r\nSeal:\r\n",
	"spoiled seal":       "Try: t1\r\nxxxx:xxxx\r\n",
	"no ID":              "Seal: s\r\n",
	"neither":            "",
	"encoded body":       "Try: t1\r\nSeal: s\r\nContent-Encoding: gzip\r\n",
	"also not run":       "Try: t1\r\nNot-Run: 1\r\n",
	"seal for one hop":   "Try: t1\r\nSeal: s\r\nConnection: keep-alive, seal\r\n",
	"ID for one hop":     "Try: t1\r\nSeal: s\r\nConnection: try\r\n",
	"seal after the end": "Try: t1\r\n\r\nSeal: s\r\n",
}

// spoiledReply answers with a success that has the given head.
func spoiledReply(head string) reply {
	return func(r *http.Request, w io.Writer) bool {
		head, body := head, "spoiled"
		if strings.Contains(r.RequestURI, "/stream/") || strings.Contains(r.RequestURI, "/resume/") {
			body = allEvents()
			head += "Content-Type: text/event-stream\r\n"
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return true
	}
}

// spoilFirst answers the first request to any of the servers with first, and all others with rest.
func spoilFirst(first, rest reply) reply {
	var spoiled atomic.Bool
	return func(r *http.Request, w io.Writer) bool {
		if spoiled.CompareAndSwap(false, true) {
			return first(r, w)
		}
		return rest(r, w)
	}
}

// TestUnmarkedSuccessIsNotForwarded guards against successes that no server is proven to have made.
func TestUnmarkedSuccessIsNotForwarded(t *testing.T) {
	routes := map[string]struct {
		sound  reply
		status int // when the first answer is spoiled
		body   string
	}{
		"/safe/":     {plainReply(200, "fine"), 200, "fine"},
		"/once-two/": {plainReply(200, "fine"), 502, ""},
		"/resume/":   {streamFrom(eventCount), 200, allEvents()},
		"/stream/":   {streamFrom(eventCount), 502, ""},
	}
	callers := map[string]caller{"own caller": usualCaller, "delegated": callerOfAnotherHost}
	for mark, head := range invalidHeads {
		for path, tc := range routes {
			for by, call := range callers {
				t.Run(mark+path+by, func(t *testing.T) {
					t.Parallel()
					answer := spoilFirst(spoiledReply(head), tc.sound)
					f := start(t, answer, answer)
					a := call(f, path)
					if a.err != nil || a.status != tc.status || tc.status == 200 && (a.body != tc.body || a.header.Get("Seal") == "") {
						t.Errorf("got %d %q, seal %q, %v; want %d", a.status, a.body, a.header.Get("Seal"), a.err, tc.status)
					}
					if want := map[int]int{200: 2, 502: 1}[tc.status]; f.requestCount() != want {
						t.Errorf("servers received %d requests, want %d", f.requestCount(), want)
					}
				})
			}
		}
	}
}

// TestResumedStreamNeedsMarks guards against a stream that is continued by an answer without a seal.
func TestResumedStreamNeedsMarks(t *testing.T) {
	for mark, head := range invalidHeads {
		t.Run(mark, func(t *testing.T) {
			answer := spoilFirst(streamFrom(3), spoiledReply(head))
			a := start(t, answer, answer).do("POST", "/resume/", "b")
			if a.err == nil || strings.Contains(a.body, formatEvent(4)) {
				t.Errorf("the caller got %q, %v; want the first three events and a broken stream", a.body, a.err)
			}
		})
	}
}

// TestUnmarkedFailureIsNotForwarded guards against noise that is taken for a server's own refusal.
func TestUnmarkedFailureIsNotForwarded(t *testing.T) {
	for name, head := range map[string]string{
		"not found":            "HTTP/1.1 404 X\r\nTry: t1\r\n",
		"redirect":             "HTTP/1.1 302 X\r\nTry: t1\r\nLocation: /\r\n",
		"refusal without ID":   "HTTP/1.1 503 X\r\nNot-Run: 1\r\n",
		"misdirected, no ID":   "HTTP/1.1 421 X\r\n",
		"not run, but success": "HTTP/1.1 204 X\r\nTry: t1\r\nNot-Run: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			noise := func(_ *http.Request, w io.Writer) bool {
				_, _ = io.WriteString(w, head+"Content-Length: 0\r\n\r\n")
				return true
			}
			fine := plainReply(200, "fine")
			if a := start(t, spoilFirst(noise, fine)).do("POST", "/once/", "b"); a.status != 502 {
				t.Errorf("a request that may run only once got %d, want 502", a.status)
			}
			answer := spoilFirst(noise, fine)
			if a := start(t, answer, answer).do("POST", "/safe/", "b"); a.status != 200 || a.body != "fine" {
				t.Errorf("a request that may be repeated got %d %q, want the answer of the sound server", a.status, a.body)
			}
		})
	}
}

// TestHostPassesOnOnlySealedSuccess guards against a host of an earlier version, which checks no seals.
func TestHostPassesOnOnlySealedSuccess(t *testing.T) {
	for name, origin := range map[string]string{"of a server": "server", "of the host": "fleet"} {
		t.Run(name, func(t *testing.T) {
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Slipcrank-Delegation", "origin="+origin+", attempts=1, sent=1, version=1, server=i0")
				w.Header().Set("Try", r.Header.Get("Try"))
				_, _ = io.WriteString(w, "unsealed")
			}))
			t.Cleanup(peer.Close)
			f := startWith(t, []gateway.Option{delegateTo(peer)})
			f.view = unreachableServers()
			if a := f.do("POST", "/safe/", "b"); a.status == 200 {
				t.Errorf("the caller got %d %q", a.status, a.body)
			}
		})
	}
}

// TestServerWithoutSealsGetsLess guards against a server whose answers are never valid, and which goes
// on to get its share of requests: the retries would use up the budget.
func TestServerWithoutSealsGetsLess(t *testing.T) {
	sound := plainReply(200, "fine")
	f := start(t, spoiledReply(invalidHeads["no seal"]), sound, sound)
	const requests = 300
	served := 0
	for n := range requests {
		if a := f.do("GET", fmt.Sprintf("/safe/%d", n), ""); a.status == 200 && a.body == "fine" && a.header.Get("Seal") != "" {
			served++
		}
	}
	if served*100 < 95*requests {
		t.Errorf("%d of %d requests were served", served, requests)
	}
	if got := len(f.servers[0].received()); got > requests/3/2 {
		t.Errorf("the server without seals received %d of %d requests, want at most half of a third", got, requests)
	}
}
