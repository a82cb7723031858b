package dispatch

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/web"
	"slipcrank.example/core/group"
	"slipcrank.example/core/member"
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
