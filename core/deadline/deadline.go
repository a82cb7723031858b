// Package deadline checks the deadline of a context against the clock.
//
// A context expires only when its timer fires. After a process was paused beyond
// the deadline (it was stopped, or its host had no CPU time to give), a goroutine
// that is about to send may resume before the timer fires, while [context.Context.Err]
// still returns nil. Code that must not act after the deadline calls [Err] instead.
//
// # Usage
//
//	if err := deadline.Err(ctx); err != nil { return err } // do not send
package deadline

import (
	"context"
	"time"
)

// Err returns ctx.Err(), or [context.DeadlineExceeded] if the deadline of ctx has
// passed but its timer has not fired yet. It returns nil while there is time left.
func Err(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return context.DeadlineExceeded
	}
	return nil
}
