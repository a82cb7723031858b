package main_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"slipcrank.example/core/pause"
)

// TestLateBodyInPlannedStopIsNotCut sends the heads of streams before a stopping host refuses
// them, and the bodies when it does.
func TestLateBodyInPlannedStopIsNotCut(t *testing.T) {
	w := startStopWorld(t, 1, 8*time.Second)
	h := w.hosts[0]
	signalled := time.Now()
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for n := range 10 {
		wg.Go(func() {
			headAt := 2*time.Second + time.Duration(n)*70*time.Millisecond
			_ = pause.For(w.ctx, time.Until(signalled.Add(headAt)))
			c := &stopCaller{w: w, name: fmt.Sprint("late-", n)}
			defer c.close()
			r := c.send(h, stopWork{path: "/stream/6000/0/", bodyDelay: 3200*time.Millisecond - headAt})
			if !r.whole {
				t.Errorf("%s: the body was sent %v after SIGTERM, and the stream ended without a whole answer after %v: %v, %d runs",
					r.id, r.lastByte.Sub(signalled), r.end.Sub(signalled), r.err, len(w.runsOf(r.id)))
			} else if r.status != http.StatusOK && len(w.runsOf(r.id)) > 0 {
				t.Errorf("%s got status %d, and ran", r.id, r.status)
			}
		})
	}
	wg.Wait()
	if err := <-h.exited; err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
}
