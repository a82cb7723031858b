package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/gateway"
)

// TestHelperThatEndsIsEvidence has a server end that reads a part of a prompt for
// another one. The connection to the lead breaks, and the lead lives on.
func TestHelperThatEndsIsEvidence(t *testing.T) {
	book := quarantine.NewRegistry()
	var f *fixture
	ends := func(r *http.Request, _ io.Writer) bool {
		for _, s := range f.servers {
			if strings.Contains(r.Header.Get("Readers"), s.addr) {
				_ = s.listener.Close()
			}
		}
		return false
	}
	f = startWith(t, []gateway.Option{gateway.WithQuarantine(book, func() {})}, ends, ends)
	f.ask("POST", "/split/", "b", "Size", "60000,10")
	if n := len(book.Records()); n != 1 {
		t.Fatalf("%d suspects are known, want 1", n)
	}
	if r := book.Records()[0]; len(r.Crashes) != 1 || r.Crashes[0].Isolated {
		t.Errorf("known of the suspect: %+v", r)
	}
}

// TestBreakAloneIsNoEvidence breaks each answer on servers that live on.
func TestBreakAloneIsNoEvidence(t *testing.T) {
	book := quarantine.NewRegistry()
	closes := func(*http.Request, io.Writer) bool { return false }
	f := startWith(t, []gateway.Option{gateway.WithQuarantine(book, func() {})}, closes, closes, closes)
	for range 5 {
		f.ask("POST", "/safe/", "b")
	}
	if n := len(book.Records()); n != 0 {
		t.Errorf("%d suspects are known", n)
	}
}

// TestEachEndIsToldAtOnce ends two servers under one request, by the word of this host
// alone: the second end changes nothing in what becomes of the request, and others have
// to know of it all the same, to look at that server too.
func TestEachEndIsToldAtOnce(t *testing.T) {
	book, told := quarantine.NewRegistry(), 0
	var f *fixture
	ends := func(n int) reply {
		return func(*http.Request, io.Writer) bool {
			_ = f.servers[n].listener.Close()
			return false
		}
	}
	others := func() []quarantine.Host { return []quarantine.Host{{Number: 9}} }
	f = startWith(t, []gateway.Option{gateway.WithQuarantine(book, func() { told++ }), gateway.WithHosts(others)}, ends(0), ends(1))
	f.ask("GET", "/safe/", "")
	if r := book.Records(); len(r) != 1 || len(r[0].Crashes) != 2 || told != 2 {
		t.Errorf("others were told %d times of %+v, want twice of two ends", told, r)
	}
}
