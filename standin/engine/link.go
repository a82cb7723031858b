package engine

import (
	"context"
	"slices"
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/standin/listen"
)

// linkPeriod is how often an engine looks whether the memory that others lend
// to it is still there.
const linkPeriod = 200 * time.Millisecond

// link is memory of another engine that a holding uses.
type link struct {
	from   string
	tokens int
	broken bool // the other engine has gone, or does not hold it any more
}

// Link adds tokens of another engine's holding to the one called id here.
func (e *Engine) Link(id, from string, tokens int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.holds[id]; !ok {
		return ErrTooLarge
	}
	e.links[id] = append(e.links[id], link{from: from, tokens: tokens})
	return nil
}

// capacityFor returns the most tokens that one job may need.
func (e *Engine) capacityFor(id string) int {
	h, ok := e.holds[id]
	if !ok {
		return e.params.KVTokens
	}
	n := h.Tokens
	for _, l := range e.links[id] {
		n += l.tokens
	}
	return n
}

// stuck reports whether a stream needs memory that another engine has lost. It
// makes no progress then, and is not ended by the engine.
func (e *Engine) stuck(s *stream) bool {
	return slices.ContainsFunc(e.links[s.job.ReservationID], func(l link) bool { return l.broken })
}

// importFrom links the holding of another engine to the one here.
func (e *Engine) importFrom(r moveRequest) error {
	h, err := holdingAt(r.From, r.ID)
	if err != nil {
		return err
	}
	return e.Link(r.ID, r.From, h.Tokens)
}

// holdingAt reads a holding of another engine.
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

// watchLinks looks again and again whether lent memory is still there.
func (e *Engine) watchLinks(ctx context.Context) {
	t := time.NewTicker(linkPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for id, from := range e.lenders() {
			for _, a := range from {
				if _, err := holdingAt(a, id); err != nil {
					e.breakLink(id, a)
				}
			}
		}
	}
}

// lenders returns the addresses of the engines that lend memory, by holding.
func (e *Engine) lenders() map[string][]string {
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
