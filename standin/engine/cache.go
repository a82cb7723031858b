package engine

import (
	"container/list"
	"time"

	protocol "slipcrank.example/clients/engine"
)

type (
	// cache holds the names of cached blocks, least recently used last.
	cache struct {
		order  *list.List
		blocks map[uint64]*list.Element
		events []timedEvent
		number uint64
	}

	timedEvent struct {
		at    time.Time
		event protocol.Event
	}
)

const maxEvents = 10_000

func newCache() *cache {
	return &cache{order: list.New(), blocks: map[uint64]*list.Element{}}
}

// longest returns how many blocks of the chain are cached, and marks them as
// used.
func (c *cache) longest(chain []uint64) int {
	for i, b := range chain {
		l, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(l)
	}
	return len(chain)
}

// add caches the chain, and evicts down to room blocks.
func (c *cache) add(chain []uint64, room int, note func(uint64, bool)) {
	for i := len(chain) - 1; i >= 0; i-- {
		if l, ok := c.blocks[chain[i]]; ok {
			c.order.MoveToFront(l)
			continue
		}
		c.blocks[chain[i]] = c.order.PushFront(chain[i])
		note(chain[i], false)
	}
	c.shrink(room, note)
}

// shrink evicts the least recently used blocks above room.
func (c *cache) shrink(room int, note func(uint64, bool)) {
	for c.order.Len() > max(room, 0) {
		l := c.order.Back()
		b, ok := c.order.Remove(l).(uint64)
		if !ok {
			return
		}
		delete(c.blocks, b)
		note(b, true)
	}
}

// note records a cache event, unless it is lost.
func (e *Engine) note(block uint64, evicted bool) {
	c := e.cache
	c.number++
	if e.dropEvent(c.number) {
		return
	}
	c.events = append(c.events, timedEvent{
		at:    time.Now(),
		event: protocol.Event{Number: c.number, Block: block, Evicted: evicted},
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// Events returns the cache events after a number that are old enough to be
// shown, or the whole cache for a resync.
func (e *Engine) Events(after uint64, resync bool) protocol.EventPage {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := protocol.EventPage{Incarnation: e.incarnation, Number: e.cache.number}
	if resync {
		for b := range e.cache.blocks {
			p.Blocks = append(p.Blocks, b)
		}
		return p
	}
	shown := time.Now().Add(-e.params.EventLag)
	for _, t := range e.cache.events {
		if t.event.Number > after && !t.at.After(shown) {
			p.Events = append(p.Events, t.event)
		}
	}
	return p
}
