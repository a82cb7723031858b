package limit_test

import (
	"context"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/pause"
)

// TestPauseOfBorrowingBeginsWhenItFails asks a host that waits for others in vain again at once.
func TestPauseOfBorrowingBeginsWhenItFails(t *testing.T) {
	w := limit.NewRetryWindow(span, share, func() float64 { return 0 })
	asked, failedAt := 0, time.Time{}
	borrow := func(float64) float64 {
		asked++
		_ = pause.For(context.Background(), 150*time.Millisecond) // never ends early
		failedAt = time.Now()
		return 0
	}
	_, _ = w.Spend("engine", time.Now(), borrow)
	if _, ok := w.Spend("engine", failedAt, borrow); ok || asked != 1 {
		t.Errorf("paid %v after the others were asked %d times, want false after once", ok, asked)
	}
}
