package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/reach"
	"slipcrank.example/daemon/gateway"
	"slipcrank.example/daemon/upstream"
)

// TestCallsStayAtSoundServersWhileOthersAreDown guards against calls that run on more servers than their route allows, since the path to
// a server that works on them for a while is taken for lost.
func TestCallsStayAtSoundServersWhileOthersAreDown(t *testing.T) {
	const (
		workTime = 1500 * time.Millisecond
		calls    = 6
	)
	plain := func(n int, addr string) backend.Server {
		return backend.Server{ID: fmt.Sprint("i", n), Service: "plain", Hall: fmt.Sprint("hall-", n), Addr: addr, Slots: 40}
	}
	sameHall := func(n int, addr string) backend.Server {
		s := plain(n, addr)
		s.Hall = "hall"
		return s
	}
	down := func(service, hall string) []backend.Server {
		var out []backend.Server
		for n := range 3 {
			out = append(out, backend.Server{ID: fmt.Sprint("down", n), Service: service, Hall: hall, Addr: unusedAddr, Slots: 40})
		}
		return out
	}
	for name, tc := range map[string]struct {
		sound int // servers
		place func(n int, addr string) backend.Server
		down  []backend.Server
		path  string // of calls to those that are down
	}{
		"all servers of another service":             {3, plain, down("engine", "hall-0"), "/read/"},
		"another service, in one hall with this one": {3, sameHall, down("engine", "hall"), "/read/"},
		"most servers of the service and hall":       {2, sameHall, down("plain", "hall"), "/public/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			work := func(r *http.Request, w io.Writer) bool {
				<-time.After(workTime)
				return plainReply(http.StatusOK, "done")(r, w)
			}
			none := gateway.Delegation{
				Pool: upstream.New(), Peers: func([]string) []reach.Peer { return nil }, Alive: func(uint32) bool { return false },
				Lost: func(uint32, string) bool { return false }, PathChanged: func() {},
			}
			f := startWith(t, []gateway.Option{gateway.WithDelegation(none)}, slices.Repeat([]reply{work}, tc.sound)...)
			servers := backend.NewRegistry()
			for n, s := range f.servers {
				servers.Put(tc.place(n, s.addr), int64(n+1))
			}
			for n, s := range tc.down {
				servers.Put(s, int64(n+100))
			}
			f.view = servers.View(0)
			var answers [calls]answer
			var wg sync.WaitGroup
			for n := range answers {
				wg.Go(func() { answers[n] = f.do("GET", fmt.Sprint("/public/", n), "", "Try", fmt.Sprint("t", n)) })
			}
			_ = pause.For(t.Context(), 100*time.Millisecond) // until the calls are at their servers
			for until := time.Now().Add(workTime); time.Now().Before(until); _ = pause.For(t.Context(), 50*time.Millisecond) {
				wg.Go(func() { f.do("POST", tc.path, "b", "Size", "1000,10", "Try", "to-those-that-are-down") })
				f.gateway.Maintain(time.Now())
			}
			wg.Wait()
			runs := map[string]int{}
			for _, s := range f.servers {
				for _, r := range s.received() {
					runs[r.request.Header.Get("Try")]++
				}
			}
			for n, a := range answers {
				if got := runs[fmt.Sprint("t", n)]; a.status != http.StatusOK || got != 1 {
					t.Errorf("call %d got status %d after %d runs, want 200 after one: %s", n, a.status, got, a.body)
				}
			}
		})
	}
}
