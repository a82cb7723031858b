package main_test

import (
	"encoding/json"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/event"
)

// freezeBound is the time in which changes have to be in force, as in stopSettings.
const freezeBound = 2 * time.Second

// logLine has what the tests read of a line.
type logLine struct {
	Time    time.Time `json:"time"`
	Event   int       `json:"event"`
	Hears   string    `json:"hears"`
	Server  string    `json:"server"`
	Version int64     `json:"version"`
}

// lines returns the lines of the host's process that one of some events has.
func (h *stopHost) lines(events ...event.Event) []logLine {
	var out []logLine
	for text := range strings.Lines(h.log.String()) {
		var l logLine
		if json.Unmarshal([]byte(text), &l) == nil && slices.ContainsFunc(events, func(e event.Event) bool { return e.Number == l.Event }) {
			out = append(out, l)
		}
	}
	return out
}

// sources returns the hosts from which most others hear the platform's tables, and waits until
// there are two.
func (w *stopWorld) sources() []*stopHost {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); _ = pause.For(w.ctx, 100*time.Millisecond) {
		heardBy := map[string]int{}
		for _, h := range w.hosts {
			if chosen := h.lines(event.SourcesChosen); len(chosen) > 0 {
				for addr := range strings.SplitSeq(chosen[len(chosen)-1].Hears, ",") {
					heardBy[strings.TrimSuffix(addr, ":7103")]++
				}
			}
		}
		found := slices.DeleteFunc(slices.Clone(w.hosts), func(h *stopHost) bool { return heardBy[h.ip] < len(w.hosts)/2 })
		if len(found) == 2 {
			return found
		}
	}
	w.t.Fatal("no two hosts relay the tables to most others")
	return nil
}

// TestChangesReachHostsWhoseSourcesFreeze guards against hosts that go by old tables while the hosts that relay them stand still: the store
// answers, but nobody asks it in time.
func TestChangesReachHostsWhoseSourcesFreeze(t *testing.T) {
	for name, more := range map[string]int{"both sources": 0, "both sources and two more": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startStopWorld(t, stopKind{grace: 8 * time.Second, hosts: 12})
			sources := w.sources()
			_ = pause.For(t.Context(), 5*time.Second) // what was chosen at the start is kept for a while
			frozen := slices.Clone(sources)
			for _, h := range w.hosts {
				if len(frozen) < len(sources)+more && !slices.Contains(frozen, h) {
					frozen = append(frozen, h)
				}
			}
			for _, h := range frozen {
				if err := h.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
			}
			w.store.PutServer(backend.Server{ID: w.servers[0].id, Service: stopService, Addr: "127.0.0.1:1", Hall: "hall-0", Slots: 1, Draining: true})
			w.store.PutConfig(2, []site.Route{{Name: "new", Host: stopSite, Prefix: "/new/", Timeout: time.Second, Attempts: 1, Targets: []site.Target{{Service: stopService, Weight: 1}}}},
				[]string{stopService}, nil)
			written := time.Now()
			_ = pause.For(t.Context(), freezeBound)
			for _, h := range w.hosts {
				if slices.Contains(frozen, h) {
					continue
				}
				leaving := slices.ContainsFunc(h.lines(event.ServerLeavingOrReturned), func(l logLine) bool {
					return l.Server == w.servers[0].id && l.Time.Sub(written) < freezeBound
				})
				changed := slices.ContainsFunc(h.lines(event.ConfigInForce), func(l logLine) bool { return l.Version == 2 && l.Time.Sub(written) < freezeBound })
				if !leaving || !changed {
					t.Errorf("%s: within %v the server leaves %t, the configuration is in force %t", h.name, freezeBound, leaving, changed)
				}
			}
		})
	}
}
