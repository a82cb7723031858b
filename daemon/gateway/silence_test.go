package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/boottime"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/gateway"
)

// silentLater answers the first request of each connection, once all servers
// have one, and says nothing more on it: the connection stays open.
func silentLater(all *sync.WaitGroup) reply {
	var mu sync.Mutex
	seen := map[io.Writer]bool{}
	var once sync.Once
	answer := plain(200, "fine")
	return func(r *http.Request, w io.Writer) bool {
		mu.Lock()
		silent := seen[w]
		seen[w] = true
		mu.Unlock()
		if silent {
			return true
		}
		once.Do(func() { all.Done(); all.Wait() })
		return answer(r, w)
	}
}

// TestKeptConnectionsFallSilent has all connections that this host keeps go
// silent at once, without a reset, while new ones work.
func TestKeptConnectionsFallSilent(t *testing.T) {
	var all sync.WaitGroup
	all.Add(2)
	f := start(t, silentLater(&all), silentLater(&all))
	var first sync.WaitGroup
	for n := range f.servers {
		first.Go(func() { f.ask("GET", fmt.Sprintf("/quick/%d", n), "") }) // copies would go to one server
	}
	first.Wait()
	if a := f.ask("GET", "/quick/", ""); a.status != http.StatusOK {
		t.Errorf("status %d once the kept connections are silent, want 200", a.status)
	}
}

// TestServerThatServesOthersIsNoSilentOne has engines begin to answer 1.8 s after
// they are asked, above the bound on silence, and begin to answer others meanwhile,
// or not.
func TestServerThatServesOthersIsNoSilentOne(t *testing.T) {
	for name, tc := range map[string]struct {
		others bool
		tries  int64
		status int
	}{
		"serves others": {true, 1, http.StatusOK}, "serves nobody": {false, 2, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			var tries atomic.Int64
			slow := func(r *http.Request, w io.Writer) bool {
				tries.Add(1)
				<-time.After(1800 * time.Millisecond)
				return streamFrom(events)(r, w)
			}
			clock := boottime.New()
			f := startWith(t, []gateway.Option{gateway.WithClock(clock)}, slow, slow)
			done := make(chan struct{})
			var all sync.WaitGroup
			all.Go(func() {
				tick := time.NewTicker(200 * time.Millisecond)
				defer tick.Stop()
				for n := uint32(0); tc.others; n++ {
					select {
					case <-done:
						return
					case <-tick.C:
						id := schedule.ID{Host: 9, Number: n}
						f.board.AddRemote(schedule.Placement{ID: id, Lead: fmt.Sprintf("e%d", n%2)})
						f.board.RecordStart(id, clock.Now())
						f.board.RecordEnd(id)
					}
				}
			})
			a := f.ask("POST", "/wait/", "b", "Size", "1000,10")
			close(done)
			all.Wait()
			if a.status != tc.status || tries.Load() != tc.tries {
				t.Errorf("status %d after %d tries, want %d after %d", a.status, tries.Load(), tc.status, tc.tries)
			}
		})
	}
}
