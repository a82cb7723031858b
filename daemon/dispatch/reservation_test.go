package dispatch

import (
	"encoding/json"
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
)

// TestRenewalUnderWayIsNotOvertaken gives a reservation back while a renewal of
// it is on its way, which would reserve the memory anew if it came later.
func TestRenewalUnderWayIsNotOvertaken(t *testing.T) {
	var mu sync.Mutex
	var order []string
	arrived, let := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/reserve") {
			close(arrived)
			<-let
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
	x.keep(x.loop.View(), h)
	<-arrived
	freed := make(chan struct{})
	go func() {
		defer close(freed)
		x.free(h)
	}()
	select {
	case <-freed:
	case <-time.After(renewTime / 4): // it waits, as it should
	}
	close(let)
	<-freed
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"/engine/reserve", "/engine/release"}; !slices.Equal(order, want) {
		t.Errorf("the engine got %v, want %v", order, want)
	}
}

// TestReleaseThatGetsLostIsRepeated has an engine that fails the first order to
// give memory back, which others would else lack until the reservation expires.
func TestReleaseThatGetsLostIsRepeated(t *testing.T) {
	var asked atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	x := &run{Dispatcher: &Dispatcher{engines: engine.New(web.New()), background: func(f func()) { f() }}}
	x.release("group", group.Member{Addr: strings.TrimPrefix(s.URL, "http://"), Tokens: 1})
	if n := asked.Load(); n != 2 {
		t.Errorf("the engine was asked %d times, want again until it agreed", n)
	}
}

// TestTriesOfAGroupHaveNamesOfTheirOwn has a release of a try that failed reach
// an engine after the next try has reserved there.
func TestTriesOfAGroupHaveNamesOfTheirOwn(t *testing.T) {
	var mu sync.Mutex
	held, released := map[string]bool{}, 0
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
			delete(held, order.ID)
			released++
		} else {
			held[order.Holding.ID] = true
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	var late []func()
	x := &run{Dispatcher: &Dispatcher{
		loop:       control.New(member.Member{Addr: "self", Hall: "a", Incarnation: 1}),
		engines:    engine.New(web.New()),
		background: func(f func()) { late = append(late, f) },
	}}
	addr := strings.TrimPrefix(s.URL, "http://")
	gone := []group.Member{{Addr: addr, Tokens: 1}, {Addr: "127.0.0.1:1", Tokens: 1}}
	if _, err := x.reserve(t.Context(), x.loop.View(), "group", gone); err == nil {
		t.Fatal("an engine that isn't there gave memory")
	}
	h, err := x.reserve(t.Context(), x.loop.View(), "group", gone[:1])
	if err != nil {
		t.Fatal(err)
	}
	defer h.end(nil)
	for _, f := range late {
		go f()
	}
	by := time.Now().Add(10 * time.Second)
	for n := 0; n == 0; _ = pause.For(t.Context(), 5*time.Millisecond) {
		mu.Lock()
		n = released
		mu.Unlock()
		if time.Now().After(by) {
			t.Fatal("the try that failed gave nothing back")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if !held[h.id] || len(held) != 1 {
		t.Errorf("the engine holds %v, want %s alone", held, h.id)
	}
}
