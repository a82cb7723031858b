package engine

import (
	"container/list"
	"time"

	protocol "slipcrank.example/clients/engine"
)

type (
	// cache is a prefix cache with LRU eviction. It has only the hashes of the
	// blocks.
	cache struct {
		lru    *list.List // of block hashes, most recently used first
		blocks map[uint64]*list.Element
		events []timedEvent
		number uint64
	}

	timedEvent struct {
		at    time.Time
		event protocol.Event
	}
)

// maxEvents is the maximum number of cache events kept for readers.
const maxEvents = 10_000

func newCache() *cache {
	return &cache{lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// touchPrefix returns how many of the first blocks of chain are cached, and marks
// them as used.
func (c *cache) touchPrefix(chain []uint64) int {
	for i, b := range chain {
		l, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.lru.MoveToFront(l)
	}
	return len(chain)
}

// add inserts the blocks of chain, then evicts blocks until at most maxBlocks are
// left. It calls onChange for each block, with true if the block was evicted.
func (c *cache) add(chain []uint64, maxBlocks int, onChange func(uint64, bool)) {
	for i := len(chain) - 1; i >= 0; i-- {
		if l, ok := c.blocks[chain[i]]; ok {
			c.lru.MoveToFront(l)
			continue
		}
		c.blocks[chain[i]] = c.lru.PushFront(chain[i])
		onChange(chain[i], false)
	}
	c.shrink(maxBlocks, onChange)
}

// shrink evicts the least recently used blocks until at most maxBlocks are left.
func (c *cache) shrink(maxBlocks int, onChange func(uint64, bool)) {
	for c.lru.Len() > max(maxBlocks, 0) {
		l := c.lru.Back()
		b, ok := c.lru.Remove(l).(uint64)
		if !ok {
			return
		}
		delete(c.blocks, b)
		onChange(b, true)
	}
}

// recordEvent records a cache event. If dropEvent says that the event is lost, only
// its number is used up.
func (e *Engine) recordEvent(block uint64, evicted bool) {
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

// Events returns the cache events with numbers above after that are older than
// Params.EventLag or, for a resync, the hashes of all cached blocks.
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
	cutoff := time.Now().Add(-e.params.EventLag)
	for _, t := range e.cache.events {
		if t.event.Number > after && !t.at.After(cutoff) {
			p.Events = append(p.Events, t.event)
		}
	}
	return p
}
