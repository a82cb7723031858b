package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/gateway"
)

// TestHelperCrashIsEvidence crashes a helper that reads a part of a prompt. This breaks
// the connection to the lead, although the lead is alive.
func TestHelperCrashIsEvidence(t *testing.T) {
	registry := quarantine.NewRegistry()
	var f *fixture
	crash := func(r *http.Request, _ io.Writer) bool {
		for _, s := range f.servers {
			if strings.Contains(r.Header.Get("Readers"), s.addr) {
				_ = s.listener.Close()
			}
		}
		return false
	}
	f = startWith(t, []gateway.Option{gateway.WithQuarantine(registry, func() {})}, crash, crash)
	f.do("POST", "/split/", "b", "Size", "60000,10")
	if n := len(registry.Records()); n != 1 {
		t.Fatalf("%d suspects, want 1", n)
	}
	if r := registry.Records()[0]; len(r.Crashes) != 1 || r.Crashes[0].Isolated {
		t.Errorf("record of the suspect: %+v", r)
	}
}

// TestBrokenConnectionIsNoEvidence breaks off all answers, on servers that stay alive.
func TestBrokenConnectionIsNoEvidence(t *testing.T) {
	registry := quarantine.NewRegistry()
	closes := func(*http.Request, io.Writer) bool { return false }
	f := startWith(t, []gateway.Option{gateway.WithQuarantine(registry, func() {})}, closes, closes, closes)
	for range 5 {
		f.do("POST", "/safe/", "b")
	}
	if n := len(registry.Records()); n != 0 {
		t.Errorf("%d suspects, want none", n)
	}
}

// TestEachCrashIsReported crashes two servers with the same request, observed by this
// host alone. The second crash doesn't change the stage of the request. It must be
// reported to other hosts nevertheless, so that they probe the second server too.
func TestEachCrashIsReported(t *testing.T) {
	registry, reports := quarantine.NewRegistry(), 0
	var f *fixture
	crash := func(n int) reply {
		return func(*http.Request, io.Writer) bool {
			_ = f.servers[n].listener.Close()
			return false
		}
	}
	otherHosts := func() []quarantine.Host { return []quarantine.Host{{Number: 9}} }
	f = startWith(t, []gateway.Option{gateway.WithQuarantine(registry, func() { reports++ }), gateway.WithHosts(otherHosts)}, crash(0), crash(1))
	f.do("GET", "/safe/", "")
	if r := registry.Records(); len(r) != 1 || len(r[0].Crashes) != 2 || reports != 2 {
		t.Errorf("%d reports of %+v, want two reports of two crashes", reports, r)
	}
}
