package limit_test

import (
	"testing"
	"time"

	"slipcrank.example/core/limit"
)

// TestPauseOfBorrowingBeginsWhenItFails asks a host that waits for others in vain again at once.
func TestPauseOfBorrowingBeginsWhenItFails(t *testing.T) {
	w := limit.NewRetryWindow(span, share, func() float64 { return 0 })
	const waited = 150 * time.Millisecond
	asked, now := 0, time.Now()
	borrow := func(float64) (float64, time.Duration) {
		asked++
		return 0, waited
	}
	_, _ = w.Spend("engine", now, borrow)
	if _, ok := w.Spend("engine", now.Add(waited), borrow); ok || asked != 1 {
		t.Errorf("paid %v after the others were asked %d times, want false after once", ok, asked)
	}
}
