package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"slipcrank.example/core/reach"
	"slipcrank.example/core/site"
)

// TestDelegatedStreamIsWholeOnlyIfItsHostSaysSo delegates to hosts of this version and an earlier one, which end a stream in each way.
func TestDelegatedStreamIsWholeOnlyIfItsHostSaysSo(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, tc := range map[string]struct {
		announced      bool
		trailer        string // empty: none is sent
		broken         bool
		result         result
		attempts, sent int
	}{
		"earlier version, whole":      {false, "", false, answered, 3, 1},
		"earlier version, broken off": {false, "", true, failed, 3, 1},
		"whole":                       {true, "whole=true, attempts=1, sent=2", false, answered, 3, 1},
		"broken off":                  {true, "", true, failed, 3, 1},
		"handed back":                 {true, "whole=false, attempts=1, sent=2", false, failed, 1, 2},
		"all attempts used":           {true, "whole=false, attempts=3, sent=3", false, failed, 3, 3},
		"fewer than were known":       {true, "whole=false, attempts=0, sent=0", false, failed, 1, 1},
		"announced, but missing":      {true, "", false, failed, 3, 1},
		"malformed":                   {true, "whole=true", false, failed, 3, 1},
	} {
		t.Run(name, func(t *testing.T) {
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(delegationHeader, report{origin: originServer, attempts: 1, sent: 1, version: 1}.String())
				w.Header().Set("Content-Type", eventStreamType)
				if tc.announced {
					w.Header().Set("Trailer", endHeader)
				}
				_, _ = fmt.Fprint(w, event)
				_ = http.NewResponseController(w).Flush()
				if tc.broken {
					panic(http.ErrAbortHandler)
				}
				if tc.trailer != "" {
					w.Header().Set(endHeader, tc.trailer)
				}
			}))
			defer other.Close()
			g, c, s := newDelegating(t)
			c.route = site.Route{Kind: site.Stream, Resume: true, Attempts: 3}
			c.attempts, c.sent = 1, 1
			w := httptest.NewRecorder()
			out := g.sendToPeer(t.Context(), w, c, s, reach.Peer{Addr: other.Listener.Addr().(*net.TCPAddr).String()})
			if out.result != tc.result || c.attempts != tc.attempts || c.sent != tc.sent || w.Body.String() != event || w.Result().Header.Get(endHeader) != "" {
				t.Errorf("result %d (%s, %v), attempts %d, sent %d, %q, want %d, %d, %d", out.result, out.reason, out.err, c.attempts, c.sent, w.Body, tc.result, tc.attempts, tc.sent)
			}
		})
	}
}

func TestStreamEndKeepsItsValues(t *testing.T) {
	for name, e := range map[string]streamEnd{"whole": {true, 1, 2}, "not whole": {false, 0, 1}, "many": {false, 1 << 15, 1 << 15}} {
		t.Run(name, func(t *testing.T) {
			if got, ok := parseStreamEnd(e.String()); !ok || got != e {
				t.Errorf("got %+v, %t, want %+v", got, ok, e)
			}
		})
	}
	for name, text := range map[string]string{"empty": "", "no end": "attempts=1, sent=1", "negative": "whole=true, attempts=-1, sent=1", "no sends": "whole=true, attempts=1"} {
		t.Run(name, func(t *testing.T) {
			if got, ok := parseStreamEnd(text); ok {
				t.Errorf("no error, got %+v", got)
			}
		})
	}
}
