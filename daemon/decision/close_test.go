package decision_test

import (
	"io"
	"sync"
	"testing"

	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
)

// TestWriteDuringClose has goroutines write while the log is closed, as do the background
// tasks of a daemon that is stopping. Write must neither panic nor block.
func TestWriteDuringClose(t *testing.T) {
	for range 50 {
		l := decision.New(io.Discard)
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 50 {
					l.Write(event.DaemonReady)
				}
			})
		}
		l.Close()
		writers.Wait()
	}
}
