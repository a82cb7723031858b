package route

import "sort"

// maxBlocks bounds the index of one engine. At 256 tokens per block, it covers
// 16 million tokens of cache.
const maxBlocks = 1 << 16

// Index tracks which blocks are in one engine's prefix cache, from events that
// arrive late and with gaps. It is not safe for concurrent use.
type Index struct {
	blocks    map[uint64]struct{}
	lastEvent uint64
	inSync    bool
}

// NewIndex returns an empty index that is not in sync.
func NewIndex() *Index { return &Index{blocks: map[uint64]struct{}{}} }

// Reset empties the index after a restart of the engine.
func (x *Index) Reset() {
	clear(x.blocks)
	x.lastEvent, x.inSync = 0, false
}

// LastEvent returns the number of the last event that was applied.
func (x *Index) LastEvent() uint64 { return x.lastEvent }

// InSync reports whether there was a resync and no event was missed since.
func (x *Index) InSync() bool { return x.inSync }

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.blocks) }

// Resync replaces the contents of the index by the whole cache as of the event
// with the given number.
func (x *Index) Resync(blocks []uint64, number uint64) {
	clear(x.blocks)
	for _, b := range blocks {
		x.insert(b)
	}
	x.lastEvent, x.inSync = number, true
}

// Add applies the event that a block was cached. Events with numbers that were
// applied already are ignored; after a gap in the numbers, the index is no
// longer in sync.
func (x *Index) Add(number, block uint64) {
	if x.advance(number) {
		x.insert(block)
	}
}

// Evict applies the event that a block was evicted. It treats event numbers as
// [Index.Add] does.
func (x *Index) Evict(number, block uint64) {
	if x.advance(number) {
		delete(x.blocks, block)
	}
}

// advance records the number of an event, and reports whether the event is new.
func (x *Index) advance(number uint64) bool {
	if number <= x.lastEvent {
		return false
	}
	if number != x.lastEvent+1 {
		x.inSync = false
	}
	x.lastEvent = number
	return true
}

func (x *Index) insert(b uint64) {
	if len(x.blocks) < maxBlocks {
		x.blocks[b] = struct{}{}
	}
}

// Cached returns the length, in blocks, of the longest of the given prefixes
// that is cached. The prefixes must be in rising order of length. A cached
// block implies that the blocks before it are cached, so a binary search
// suffices. While the index is not in sync, Cached returns half of the length,
// since the blocks may have been evicted.
func (x *Index) Cached(hs []PrefixHash) int {
	i := sort.Search(len(hs), func(i int) bool {
		_, ok := x.blocks[hs[i].Hash]
		return !ok
	})
	if i == 0 {
		return 0
	}
	n := hs[i-1].Blocks
	if !x.inSync {
		return n / 2
	}
	return n
}
