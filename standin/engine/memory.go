package engine

import (
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/core/prefix"
)

// noExpiry is how long an engine without holdings rests unless it is roused.
const noExpiry = time.Minute

// holding is memory kept for somebody until a time.
type holding struct {
	protocol.Holding
	until time.Time
}

// Reserve keeps memory; a repeat with the same id only moves the expiry.
func (e *Engine) Reserve(h protocol.Holding) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if old, ok := e.holds[h.ID]; ok {
		old.until = time.Now().Add(h.Expires)
		return nil
	}
	if e.used+h.Tokens > e.params.KVTokens {
		return protocol.ErrBusy
	}
	e.used += h.Tokens
	e.holds[h.ID] = &holding{Holding: h, until: time.Now().Add(h.Expires)}
	e.cache.shrink(e.free()/prefix.BlockTokens, e.note)
	return nil
}

// Release gives a holding back.
func (e *Engine) Release(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(id)
	e.rouse()
}

func (e *Engine) release(id string) {
	h, ok := e.holds[id]
	if !ok {
		return
	}
	e.used -= h.Tokens
	delete(e.holds, id)
	delete(e.links, id)
}

// Holdings lists reservations, and the memory of each stream under the kind
// "stream".
func (e *Engine) Holdings() []protocol.Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	var out []protocol.Holding
	for _, h := range e.holds {
		c := h.Holding
		c.Expires = time.Until(h.until)
		out = append(out, c)
	}
	for _, s := range e.running {
		out = append(out, protocol.Holding{ID: s.job.Attempt, Owner: s.job.Request, Tokens: s.memory, Kind: "stream"})
	}
	return out
}

// nextExpiry is how long it takes until the next holding expires, or noExpiry if
// there is none.
func (e *Engine) nextExpiry() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := noExpiry
	for _, h := range e.holds {
		next = min(next, time.Until(h.until))
	}
	return next
}

// expire gives back the holdings whose time has passed, and lets jobs in that
// wait for their memory, whoever it is that notices.
func (e *Engine) expire() {
	now := time.Now()
	for id, h := range e.holds {
		if !now.Before(h.until) {
			e.release(id)
			e.rouse()
		}
	}
}
