package engine

import (
	"context"
	"slices"
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/standin/listen"
)

// linkCheckPeriod is the period of checks that the linked holdings of other engines
// still exist.
const linkCheckPeriod = 200 * time.Millisecond

// link is a holding of another engine, under the same id, that extends a holding of
// this one.
type link struct {
	from   string
	tokens int
	broken bool // the other engine is down or has released the holding
}

// Link extends the holding id with the given number of tokens of a holding on the
// engine at from.
func (e *Engine) Link(id, from string, tokens int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.holdings[id]; !ok {
		return ErrTooLarge
	}
	e.links[id] = append(e.links[id], link{from: from, tokens: tokens})
	return nil
}

// capacityFor returns the maximum number of KV tokens for a job: those of the holding
// id and its links or, without such a holding, those of the engine.
func (e *Engine) capacityFor(id string) int {
	h, ok := e.holdings[id]
	if !ok {
		return e.params.KVTokens
	}
	n := h.Tokens
	for _, l := range e.links[id] {
		n += l.tokens
	}
	return n
}

// blocked reports whether a stream depends on a broken link. Such a stream makes no
// progress, and the engine does not end it.
func (e *Engine) blocked(s *stream) bool {
	return slices.ContainsFunc(e.links[s.job.ReservationID], func(l link) bool { return l.broken })
}

// importFrom links the holding of another engine to the one of this engine that has
// the same id.
func (e *Engine) importFrom(r moveRequest) error {
	h, err := holdingAt(r.From, r.ID)
	if err != nil {
		return err
	}
	return e.Link(r.ID, r.From, h.Tokens)
}

// holdingAt reads the holding id of the engine at addr.
func holdingAt(addr, id string) (protocol.Holding, error) {
	var h holdingsReply
	if err := listen.Get(addr, "/engine/holdings", &h); err != nil {
		return protocol.Holding{}, err
	}
	i := slices.IndexFunc(h.Holdings, func(x protocol.Holding) bool { return x.ID == id })
	if i < 0 {
		return protocol.Holding{}, ErrTooLarge
	}
	return h.Holdings[i], nil
}

// watchLinks periodically checks all links until ctx ends, and marks those that are
// broken.
func (e *Engine) watchLinks(ctx context.Context) {
	t := time.NewTicker(linkCheckPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for id, addrs := range e.linkedEngines() {
			for _, a := range addrs {
				if _, err := holdingAt(a, id); err != nil {
					e.breakLink(id, a)
				}
			}
		}
	}
}

// linkedEngines returns the addresses of the linked engines by the id of the holding.
func (e *Engine) linkedEngines() map[string][]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string][]string{}
	for id, ls := range e.links {
		for _, l := range ls {
			out[id] = append(out[id], l.from)
		}
	}
	return out
}

func (e *Engine) breakLink(id, from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.links[id] {
		if e.links[id][i].from == from {
			e.links[id][i].broken = true
		}
	}
}
