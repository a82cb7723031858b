// Package replies matches the replies of other hosts to requests that are sent in datagrams.
//
// # Usage
//
//	w := replies.NewWaiter[Reply]()
//	r, ok := w.Ask(ctx, timeout, func(id uint32) { send(Request{ID: id}) })
//	w.Deliver(reply.ID, reply) // when a reply arrives
package replies

import (
	"context"
	"sync"
	"time"
)

// Waiter waits for replies of a type. It is safe for concurrent use.
type Waiter[R any] struct {
	mu      sync.Mutex
	lastID  uint32
	pending map[uint32]chan R // by ID of the request
}

// NewWaiter returns a Waiter.
func NewWaiter[R any]() *Waiter[R] { return &Waiter[R]{pending: map[uint32]chan R{}} }

// Ask has a request sent under a new ID and returns the reply to it, or false if there is none
// within the timeout or before ctx ends.
func (w *Waiter[R]) Ask(ctx context.Context, timeout time.Duration, send func(id uint32)) (R, bool) {
	reply := make(chan R, 1)
	w.mu.Lock()
	w.lastID++
	id := w.lastID
	w.pending[id] = reply
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.pending, id)
	}()
	send(id)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-reply:
		return r, true
	case <-timer.C:
	case <-ctx.Done():
	}
	var none R
	return none, false
}

// Deliver passes a reply to the goroutine that waits for it, if one does.
func (w *Waiter[R]) Deliver(id uint32, r R) {
	w.mu.Lock()
	reply := w.pending[id]
	delete(w.pending, id)
	w.mu.Unlock()
	if reply != nil {
		reply <- r
	}
}
