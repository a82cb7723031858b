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

// replyOncePerConn answers the first request of each connection as soon as all servers
// have received one. On later requests it sends nothing, and keeps the connection open.
func replyOncePerConn(firstRequests *sync.WaitGroup) reply {
	var mu sync.Mutex
	seen := map[io.Writer]bool{}
	var once sync.Once
	answer := plainReply(200, "fine")
	return func(r *http.Request, w io.Writer) bool {
		mu.Lock()
		silent := seen[w]
		seen[w] = true
		mu.Unlock()
		if silent {
			return true
		}
		once.Do(func() { firstRequests.Done(); firstRequests.Wait() })
		return answer(r, w)
	}
}

// TestRetryIfPooledConnectionsFallSilent makes all pooled connections silent at the
// same time without a reset, as in a network partition, while new connections work.
func TestRetryIfPooledConnectionsFallSilent(t *testing.T) {
	var firstRequests sync.WaitGroup
	firstRequests.Add(2)
	f := start(t, replyOncePerConn(&firstRequests), replyOncePerConn(&firstRequests))
	var first sync.WaitGroup
	for n := range f.servers {
		first.Go(func() { f.do("GET", fmt.Sprintf("/quick/%d", n), "") }) // equal requests would be sent to the same server
	}
	first.Wait()
	if a := f.do("GET", "/quick/", ""); a.status != http.StatusOK {
		t.Errorf("status %d after the pooled connections fell silent, want 200", a.status)
	}
}

// TestServerThatAnswersOthersIsNotSilent lets engines begin to answer 1.8 s after a
// request, later than the silence timeout. Meanwhile they begin to answer other
// requests, or not.
func TestServerThatAnswersOthersIsNotSilent(t *testing.T) {
	for name, tc := range map[string]struct {
		others bool
		tries  int64
		status int
	}{
		"answers others": {true, 1, http.StatusOK}, "answers nobody": {false, 2, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			var tries atomic.Int64
			slowReply := func(r *http.Request, w io.Writer) bool {
				tries.Add(1)
				<-time.After(1800 * time.Millisecond)
				return streamFrom(eventCount)(r, w)
			}
			clock := boottime.New()
			f := startWith(t, []gateway.Option{gateway.WithClock(clock)}, slowReply, slowReply)
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
						f.scheduler.AddRemote(schedule.Placement{ID: id, Lead: fmt.Sprintf("e%d", n%2)})
						f.scheduler.RecordStart(id, clock.Now())
						f.scheduler.RecordEnd(id)
					}
				}
			})
			a := f.do("POST", "/wait/", "b", "Size", "1000,10")
			close(done)
			all.Wait()
			if a.status != tc.status || tries.Load() != tc.tries {
				t.Errorf("status %d after %d tries, want %d after %d", a.status, tries.Load(), tc.status, tc.tries)
			}
		})
	}
}
