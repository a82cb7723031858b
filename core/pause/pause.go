// Package pause provides sleeps that end early when a context ends.
//
// # Usage
//
//	if err := pause.For(ctx, time.Second); err != nil { return err }
//	_ = pause.UpTo(ctx, 50*time.Millisecond) // at random below 50 ms
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d. If ctx ends first, it returns the context's error.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// UpTo waits as [For] does, for a random duration in [0, limit), so that retries
// that start simultaneously are spread out. It panics if limit is not positive.
func UpTo(ctx context.Context, limit time.Duration) error {
	return For(ctx, rand.N(limit))
}
