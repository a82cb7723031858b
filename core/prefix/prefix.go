// Package prefix names the prefixes of prompts, so that requests can be sent
// where a prefix is cached already.
//
// A prompt is cut into blocks of [BlockBytes]. The name of a block is the hash
// of everything up to its end, so equal names mean equal prefixes. A prompt
// of a million tokens has thousands of blocks; [LookupLengths] picks a few of them at
// growing distances, which fit into one small message and still find the
// cached length to within a factor of two.
//
// # Usage
//
//	chain := prefix.Chain(prompt)
//	for _, blocks := range prefix.Marks(len(chain)) { use(chain[blocks-1]) }
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

// Tokens estimates the length of a text in tokens, rounded up.
func Tokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }

// Chain returns the names of the whole blocks of a prompt. Model is part of
// each name, since engines cache for one model at a time.
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

// LookupLengths returns the counts of blocks, rising, at which a chain of n blocks is
// looked up: every power of two below n, and n itself.
func LookupLengths(n int) []int {
	var out []int
	for step := 1; step < n; step *= 2 {
		out = append(out, step)
	}
	if n > 0 {
		out = append(out, n)
	}
	return out
}
