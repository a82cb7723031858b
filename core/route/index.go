package route

import "sort"

// maxBlocks bounds the index of one engine: at 256 tokens a block, enough
// for 16 million tokens of cache.
const maxBlocks = 1 << 16

// Index is what is known of one engine's prefix cache, from events that come
// late and with gaps. One goroutine owns it.
type Index struct {
	blocks map[uint64]struct{}
	number uint64
	trust  bool
}

// NewIndex returns an empty index that asks for a resync.
func NewIndex() *Index { return &Index{blocks: map[uint64]struct{}{}} }

// Reset forgets everything, for an engine that has restarted.
func (x *Index) Reset() {
	clear(x.blocks)
	x.number, x.trust = 0, false
}

// LastEvent returns the number of the last event taken.
func (x *Index) LastEvent() uint64 { return x.number }

// InSync reports whether no event was missed since the last resync.
func (x *Index) InSync() bool { return x.trust }

// Len returns the number of blocks known.
func (x *Index) Len() int { return len(x.blocks) }

// Resync replaces the index by the whole cache as of an event number.
func (x *Index) Resync(blocks []uint64, number uint64) {
	clear(x.blocks)
	for _, b := range blocks {
		x.put(b)
	}
	x.number, x.trust = number, true
}

// Add takes one event: a block was cached. A gap in the numbers ends the
// trust in the index.
func (x *Index) Add(number, block uint64) {
	if x.step(number) {
		x.put(block)
	}
}

// Evict takes one event: a block was dropped.
func (x *Index) Evict(number, block uint64) {
	if x.step(number) {
		delete(x.blocks, block)
	}
}

func (x *Index) step(number uint64) bool {
	if number <= x.number {
		return false
	}
	if number != x.number+1 {
		x.trust = false
	}
	x.number = number
	return true
}

func (x *Index) put(b uint64) {
	if len(x.blocks) < maxBlocks {
		x.blocks[b] = struct{}{}
	}
}

// Cached returns the longest marked prefix that is cached, in blocks. A
// cached block implies the blocks before it, so a binary search finds it.
// While the index is not trusted it claims half of that, since what it shows
// may have been evicted.
func (x *Index) Cached(ms []PrefixHash) int {
	i := sort.Search(len(ms), func(i int) bool {
		_, ok := x.blocks[ms[i].Hash]
		return !ok
	})
	if i == 0 {
		return 0
	}
	n := ms[i-1].Blocks
	if !x.trust {
		return n / 2
	}
	return n
}
