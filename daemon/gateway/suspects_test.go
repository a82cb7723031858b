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
	book := quarantine.NewBook()
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
	if n := len(book.All()); n != 1 {
		t.Fatalf("%d suspects are known, want 1", n)
	}
	if r := book.All()[0]; len(r.Ends) != 1 || r.Ends[0].Apart {
		t.Errorf("known of the suspect: %+v", r)
	}
}

// TestBreakAloneIsNoEvidence breaks each answer on servers that live on.
func TestBreakAloneIsNoEvidence(t *testing.T) {
	book := quarantine.NewBook()
	closes := func(*http.Request, io.Writer) bool { return false }
	f := startWith(t, []gateway.Option{gateway.WithQuarantine(book, func() {})}, closes, closes, closes)
	for range 5 {
		f.ask("POST", "/safe/", "b")
	}
	if n := len(book.All()); n != 0 {
		t.Errorf("%d suspects are known", n)
	}
}
