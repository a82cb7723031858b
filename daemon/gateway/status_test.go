package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestStatusOutsideOfHTTPIsNoAnswer guards against statuses such as 000 that reach callers, or have them wait for an answer that never comes.
func TestStatusOutsideOfHTTPIsNoAnswer(t *testing.T) {
	const soon = time.Second // routes allow 5 s
	with := func(status string) reply {
		return func(r *http.Request, w io.Writer) bool {
			fmt.Fprintf(w, "HTTP/1.1 %s\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 4\r\n\r\nbody", status, r.Header.Get("Try"))
			return true
		}
	}
	sound := func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n", r.Header.Get("Try"))
		return true
	}
	for name, tc := range map[string]struct {
		answer    reply
		is        bool // an answer
		delegated bool
	}{
		"000":             {with("000 None"), false, false},
		"000, delegated":  {with("000 None"), false, true},
		"007":             {with("007 X"), false, false},
		"099":             {with("099 X"), false, false},
		"101":             {with("101 Switching Protocols"), false, false},
		"199":             {with("199 X"), false, false},
		"+20":             {with("+20 X"), false, false},
		"-20":             {with("-20 X"), false, false},
		"20":              {with("20 X"), false, false},
		"2000":            {with("2000 X"), false, false},
		"600":             {with("600 X"), false, false},
		"999":             {with("999 X"), false, false},
		"999, delegated":  {with("999 X"), false, true},
		"abc":             {with("abc X"), false, false},
		"none":            {with(""), false, false},
		"100 without end": {with("100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue"), false, false},
		"103 before it": {func(r *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 103 Early Hints\r\n\r\n")
			return sound(r, w)
		}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, route := range []string{"safe", "once", "resume"} {
				f := start(t, tc.answer, sound)
				if tc.delegated {
					f = f.startDelegating()
				}
				const calls = 12
				served := 0
				for n := range calls {
					began := time.Now()
					a := f.do("POST", "/"+route+"/", "b", "Try", fmt.Sprint("t", n))
					took := time.Since(began)
					switch {
					case took > soon:
						t.Errorf("%s: status %d after %v", route, a.status, took)
					case a.status == http.StatusOK && a.err == nil:
						served++
					case route == "safe", tc.is, a.status != http.StatusBadGateway:
						t.Errorf("%s: status %d %q, error %v", route, a.status, a.body, a.err)
					}
				}
				if served < calls/2 {
					t.Errorf("%s: %d of %d served, although one of two servers is sound", route, served, calls)
				}
			}
		})
	}
}
