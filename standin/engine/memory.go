package engine

import (
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/core/prefix"
)

// maxIdleTime is the maximum time that an idle engine waits before it looks for work.
const maxIdleTime = time.Minute

// holding is a holding with its expiry on the local clock.
type holding struct {
	protocol.Holding
	expiry time.Time
}

// Reserve allocates the memory of a holding. If the id exists already, it only sets
// the expiry.
func (e *Engine) Reserve(h protocol.Holding) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if old, ok := e.holdings[h.ID]; ok {
		old.expiry = time.Now().Add(h.Expires)
		return nil
	}
	if e.used+h.Tokens > e.params.KVTokens {
		return protocol.ErrBusy
	}
	e.used += h.Tokens
	e.holdings[h.ID] = &holding{Holding: h, expiry: time.Now().Add(h.Expires)}
	e.cache.shrink(e.free()/prefix.BlockTokens, e.recordEvent)
	return nil
}

// Release frees the memory of a holding.
func (e *Engine) Release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(id)
	e.notify()
}

// release frees a holding and its links. The caller holds e.mu.
func (e *Engine) release(id string) {
	h, ok := e.holdings[id]
	if !ok {
		return
	}
	e.used -= h.Tokens
	delete(e.holdings, id)
	delete(e.links, id)
}

// Holdings lists the holdings, and the memory of each running stream as a holding of
// the kind "stream".
func (e *Engine) Holdings() []protocol.Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	var out []protocol.Holding
	for _, h := range e.holdings {
		c := h.Holding
		c.Expires = time.Until(h.expiry)
		out = append(out, c)
	}
	for _, s := range e.running {
		out = append(out, protocol.Holding{ID: s.job.Attempt, Owner: s.job.Request, Tokens: s.memory, Kind: "stream"})
	}
	return out
}

// nextExpiry returns the time until the next holding expires, at most maxIdleTime.
func (e *Engine) nextExpiry() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := maxIdleTime
	for _, h := range e.holdings {
		next = min(next, time.Until(h.expiry))
	}
	return next
}

// expire frees the expired holdings. It calls notify, since jobs may wait for their
// memory and the caller need not be [Engine.Run].
func (e *Engine) expire() {
	now := time.Now()
	for id, h := range e.holdings {
		if !now.Before(h.expiry) {
			e.release(id)
			e.notify()
		}
	}
}
