// Package prefix computes hashes of prompt prefixes, so that requests can be routed to
// engines that have a prefix cached.
//
// A prompt is divided into blocks of [BlockBytes]. Each block is identified by the hash
// of the prompt up to the block's end, so equal hashes mean equal prefixes. A prompt of
// a million tokens has thousands of blocks. [LookupLengths] selects a few of them at
// growing distances; their hashes fit into one small message, and still determine the
// cached length to within a factor of two.
//
// # Usage
//
//	chain := prefix.Chain(model, prompt)
//	for _, blocks := range prefix.LookupLengths(len(chain)) { use(chain[blocks-1]) }
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token, in bytes.
	BytesPerToken = 4
	// BlockTokens is the length of a block, in tokens.
	BlockTokens = 256
	// BlockBytes is the length of a block, in bytes.
	BlockBytes = BlockTokens * BytesPerToken
)

// Tokens estimates the number of tokens in a text of the given length in bytes,
// rounded up.
func Tokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }

// Chain returns the hashes of the complete blocks of a prompt. The model is part of
// each hash, since an engine caches for one model at a time.
func Chain(model, prompt string) []uint64 {
	n := len(prompt) / BlockBytes
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	last := xxhash.Sum64String(model)
	var head [8]byte
	d := xxhash.New()
	for i := range out {
		d.Reset()
		binary.LittleEndian.PutUint64(head[:], last)
		_, _ = d.Write(head[:])
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		last = d.Sum64()
		out[i] = last
	}
	return out
}

// LookupLengths returns the prefix lengths, in blocks and ascending, at which a chain
// of n blocks is looked up: every power of two below n, and n itself.
func LookupLengths(n int) []int {
	var out []int
	for length := 1; length < n; length *= 2 {
		out = append(out, length)
	}
	if n > 0 {
		out = append(out, n)
	}
	return out
}
