package gateway

import "testing"

// TestPanicWhileWaitingForServerEndsNoProcess guards against a lock that is released twice, which no handler recovers from.
func TestPanicWhileWaitingForServerEndsNoProcess(t *testing.T) {
	x := &exchange{}
	func() {
		defer func() { _ = recover() }()
		x.work.Lock()
		x.await(func() { panic("while reading") })
	}()
	if x.work.TryLock() {
		t.Error("the call's work goes on without its lock")
	}
}
