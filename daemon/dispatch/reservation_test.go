package dispatch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/web"
	"slipcrank.example/core/group"
	"slipcrank.example/core/member"
	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/peers"
)

// TestReleaseWaitsForRenewalInFlight releases a reservation while a renewal is in
// flight. If the renewal arrived after the release, it would reserve the memory
// again.
func TestReleaseWaitsForRenewalInFlight(t *testing.T) {
	var mu sync.Mutex
	var order []string
	arrived, proceed := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/reserve") {
			close(arrived)
			<-proceed
		}
		mu.Lock()
		defer mu.Unlock()
		order = append(order, r.URL.Path)
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	x := &run{Dispatcher: &Dispatcher{
		loop:       control.New(member.Member{Addr: "self", Hall: "a", Incarnation: 1}),
		engines:    engine.New(web.New()),
		background: func(f func()) { f() },
	}}
	h := &reservation{id: "group", members: []group.Member{{Addr: strings.TrimPrefix(s.URL, "http://"), Tokens: 1}}}
	x.startRenewals(x.loop.View(), h)
	<-arrived
	freed := make(chan struct{})
	go func() {
		defer close(freed)
		x.releaseGroup(h)
	}()
	select {
	case <-freed:
	case <-time.After(renewTimeout / 4): // expected: the release waits for the renewal
	}
	close(proceed)
	<-freed
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"/engine/reserve", "/engine/release"}; !slices.Equal(order, want) {
		t.Errorf("engine received %v, want %v", order, want)
	}
}

// TestFailedReleaseIsRetried has the engine fail the first release. Without a retry,
// other requests could not use the memory until the reservation expires.
func TestFailedReleaseIsRetried(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	x := &run{Dispatcher: &Dispatcher{engines: engine.New(web.New()), background: func(f func()) { f() }}}
	x.releaseMember("group", group.Member{Addr: strings.TrimPrefix(s.URL, "http://"), Tokens: 1})
	if n := calls.Load(); n != 2 {
		t.Errorf("engine received %d releases, want 2: one that fails and its retry", n)
	}
}

// TestEachReserveTryHasItsOwnID lets the release of a failed try reach an engine
// after the next try has reserved memory there. The release must not free the new
// reservation.
func TestEachReserveTryHasItsOwnID(t *testing.T) {
	var mu sync.Mutex
	reserved, released := map[string]bool{}, 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var order struct {
			ID      string `json:"id"`
			Holding struct {
				ID string `json:"id"`
			} `json:"holding"`
		}
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			t.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		if strings.HasSuffix(r.URL.Path, "/release") {
			delete(reserved, order.ID)
			released++
		} else {
			reserved[order.Holding.ID] = true
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	var delayed []func()
	x := &run{Dispatcher: &Dispatcher{
		loop:       control.New(member.Member{Addr: "self", Hall: "a", Incarnation: 1}),
		engines:    engine.New(web.New()),
		background: func(f func()) { delayed = append(delayed, f) },
	}}
	addr := strings.TrimPrefix(s.URL, "http://")
	members := []group.Member{{Addr: addr, Tokens: 1}, {Addr: "127.0.0.1:1", Tokens: 1}}
	if _, err := x.reserve(t.Context(), x.loop.View(), "group", members); err == nil {
		t.Fatal("reserved memory on an engine that doesn't exist")
	}
	h, err := x.reserve(t.Context(), x.loop.View(), "group", members[:1])
	if err != nil {
		t.Fatal(err)
	}
	defer h.cancel(nil)
	for _, f := range delayed {
		go f()
	}
	deadline := time.Now().Add(10 * time.Second)
	for n := 0; n == 0; _ = pause.For(t.Context(), 5*time.Millisecond) {
		mu.Lock()
		n = released
		mu.Unlock()
		if time.Now().After(deadline) {
			t.Fatal("the failed try released nothing within 10 s")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if !reserved[h.id] || len(reserved) != 1 {
		t.Errorf("engine has the reservations %v, want only %s", reserved, h.id)
	}
}

// TestGroupThatGoesOnIsKept has all renewals at a member fail. A lead can send no tokens without the memory of its members.
func TestGroupThatGoesOnIsKept(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens int // that the lead sends, two a second, before it sends nothing more
		want   bool
	}{
		"lead goes on": {14, true}, "lead falls silent": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := httptest.NewServer(http.NotFoundHandler())
			defer other.Close()
			lead := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/completions" {
					_, _ = w.Write([]byte("{}"))
					return
				}
				send := func(p engine.Piece) {
					p.Request, p.Attempt, p.Incarnation = "r", "a", 1
					b, _ := json.Marshal(p) // a struct of texts and numbers
					_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
					_ = http.NewResponseController(w).Flush()
				}
				_ = http.NewResponseController(w).Flush()
				for n := range tc.tokens {
					send(engine.Piece{Offset: n, Text: "x"})
					_ = pause.For(r.Context(), 500*time.Millisecond)
				}
				if tc.tokens == 0 {
					_ = pause.For(r.Context(), 7*time.Second)
				}
				send(engine.Piece{Offset: tc.tokens, End: true, Finish: "stop"})
			}))
			defer lead.Close()
			l := control.New(member.Member{Addr: "self", Hall: "a", Incarnation: 1})
			go l.Run(t.Context())
			d := New(l, peers.NewClient(), engine.New(web.New()))
			tokens := 0
			x := &run{
				Dispatcher: d, request: Request{ID: "r", Path: "/v1/completions", Deadline: time.Now().Add(time.Minute)},
				excluded: map[string]bool{}, emit: func(engine.Piece) error { tokens++; return nil },
			}
			addr := lead.Listener.Addr().String()
			h := &reservation{id: "group", members: []group.Member{{Addr: addr, Tokens: 2}, {Addr: other.Listener.Addr().String(), Tokens: 1}}}
			x.startRenewals(l.View(), h)
			defer h.cancel(nil)
			if err := x.runOnLead(t.Context(), "a", h, addr); (err == nil) != tc.want || tc.want && tokens != tc.tokens {
				t.Errorf("got %d tokens and %v, want that the answer is whole: %v", tokens, err, tc.want)
			}
		})
	}
}
