package engine

import (
	"fmt"
	"slices"
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/core/prefix"
)

// plan admits jobs and returns the duration of the next step, or 0 if the batch is
// empty.
func (e *Engine) plan() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	d := e.params.StepBase
	for _, s := range e.running {
		if s.pending == 0 {
			d += e.params.StepPerStream
		}
	}
	d += time.Duration(float64(e.nextChunk()) / e.params.PrefillRate * float64(time.Second))
	return max(d, time.Microsecond)
}

// admit moves jobs from the queue into the batch, most urgent first, until the memory
// does not suffice for the next one or the batch is full.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.params.MaxStreams {
		s := e.waiting[0]
		if e.used+s.memory > e.params.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.used += s.memory
		e.cache.shrink(e.free()/prefix.BlockTokens, e.recordEvent)
		s.cached = e.cache.touchPrefix(s.job.Chain) * prefix.BlockTokens
		s.pending = s.job.Prompt - s.cached
		e.running = append(e.running, s)
		slices.SortStableFunc(e.running, compareUrgency)
	}
}

// nextChunk returns the number of prompt tokens that the next step prefills.
func (e *Engine) nextChunk() int {
	n := 0
	for _, s := range e.running {
		n += s.pending
	}
	return min(n, e.params.ChunkTokens)
}

// step applies the effects of a step, after its duration.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := e.params.ChunkTokens
	for _, s := range slices.Clone(e.running) {
		if e.blocked(s) {
			continue
		}
		if s.pending > 0 {
			n := min(budget, s.pending)
			s.pending -= n
			budget -= n
			e.totals.PrefillTokens += n
			if s.pending == 0 && n > 0 {
				e.cache.add(s.job.Chain, e.free()/prefix.BlockTokens, e.recordEvent)
			}
			continue
		}
		e.emit(s)
	}
}

// emit sends the next token of s, and the end marker after the last token.
func (e *Engine) emit(s *stream) {
	p := protocol.Piece{
		Request:     s.job.Request,
		Attempt:     s.job.Attempt,
		Incarnation: e.incarnation,
		Offset:      s.next,
	}
	if s.next < s.job.MaxTokens {
		p.Text = Token(s.job.Seed, s.next)
		s.next++
		e.totals.OutputTokens++
		s.out <- p
	}
	if s.next < s.job.MaxTokens {
		return
	}
	p.Offset, p.Text = s.next, ""
	p.End, p.Finish = true, "length"
	p.Prompt, p.Cached = s.job.Prompt, s.cached
	s.out <- p
	e.totals.Finished++
	e.remove(s)
}

func (e *Engine) free() int { return e.params.KVTokens - e.used }

// Token returns the text of one token. It depends only on the seed and the offset, so
// that a stream can be resumed on another engine.
func Token(seed uint64, offset int) string {
	const mix = 0x9e3779b97f4a7c15
	x := (seed + uint64(offset)) * mix
	return fmt.Sprintf("w%03x ", x>>52)
}
