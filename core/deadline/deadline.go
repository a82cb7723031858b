// Package deadline tells by the clock whether a context's time is over.
//
// A context ends when its timer runs. In a process that was paused past the
// deadline (a stopped process, a host without processor time) the goroutine
// that goes on first may be the one that is about to send, and the context
// does not say yet that it has ended. Whoever must not act late asks here
// instead of asking the context alone.
//
// # Usage
//
//	if err := deadline.Passed(ctx); err != nil { return err } // do not send
package deadline

import (
	"context"
	"time"
)

// Err returns the error with which ctx has ended, or would have if its
// timer had run; nil while there is time left.
func Err(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return context.DeadlineExceeded
	}
	return nil
}
