package decision_test

import (
	"io"
	"sync"
	"testing"

	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
)

// TestWritesMayOutlastTheLog has others write while the log is closed, as what a host
// still waits for does at its stop.
func TestWritesMayOutlastTheLog(t *testing.T) {
	for range 50 {
		l := decision.New(io.Discard)
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() {
				for range 50 {
					l.Write(event.DaemonReady)
				}
			})
		}
		l.Close()
		all.Wait()
	}
}
