package route

import (
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/prefix"
)

const (
	// DefaultPrefillRate is assumed until a rate is learnt, in tokens a
	// second.
	DefaultPrefillRate = 40_000
	// DefaultDecodeStep is the assumed time of a decode step.
	DefaultDecodeStep = 20 * time.Millisecond

	// staleGrowth is the part by which a prediction grows for each second of
	// age of the load report it rests on.
	staleGrowth = 0.1
	// leastSpan is the least time between two reports that teach a rate.
	leastSpan = 100 * time.Millisecond
	// maxStale bounds that growth.
	maxStale = 2.0
	// displacedWeight is what a delay of less urgent work counts against a
	// delay of the request itself.
	displacedWeight = 0.5
	// placementLife is how long a placement counts whose end is never told.
	placementLife = 10 * time.Minute
)

type (
	// Load is a load report, as the owner uses it.
	Load struct {
		Taken       time.Time
		Incarnation uint64
		Pending     int // prompt tokens that wait for prefill
		Waiting     int // requests that the engine has not begun with
		Used        int // KV memory in use, tokens
		Total       int // KV memory in all, tokens
	}

	// LoadTracker is what the owner of one engine knows of its load: the last
	// report, and what was placed on it. One goroutine owns it.
	LoadTracker struct {
		addr    string
		load    Load
		placed  *placements
		foreign float64 // pending tokens that the report has and placed lacks
		rate    Rate
		blocks  *Index
		shares  *limit.Shares
		drained time.Time
		arrived float64 // prompt tokens placed since the last report was taken
		// spared is what of them, and of the prompts that the last report counts
		// as waiting, the engine will find in its cache.
		spared float64
	}
)

// NewLoadTracker returns the tracker of the engine at addr, which knows nothing
// yet.
func NewLoadTracker(addr string, now time.Time) *LoadTracker {
	return &LoadTracker{
		addr:    addr,
		placed:  newPlacements(),
		rate:    NewRate(),
		blocks:  NewIndex(),
		shares:  limit.NewShares(now),
		drained: now,
	}
}

// CacheIndex returns the index of the engine's prefix cache.
func (l *LoadTracker) CacheIndex() *Index { return l.blocks }

// Load returns the last report.
func (l *LoadTracker) Load() Load { return l.load }

// OpenPlacements returns the number of placements whose end is not known.
func (l *LoadTracker) OpenPlacements() int { return l.placed.len() }

// FreeTokens returns the memory that is not taken, in tokens. Memory counts as taken by
// what the report shows and what was placed since, or by all placements if that
// is more: one that was placed just before the report was taken may have reached
// the engine just after.
func (l *LoadTracker) FreeTokens() int {
	newer, placed := 0, 0
	for _, x := range l.placed.ordered {
		placed += x.memory
		if x.at.After(l.load.Taken) {
			newer += x.memory
		}
	}
	return l.load.Total - max(l.load.Used+newer, placed)
}

// Offer predicts the time to first token of p here.
func (l *LoadTracker) Offer(p Prompt, now time.Time) Offer {
	l.drain(now)
	behind := l.shares.Delay(p.Workspace, p.Long(), l.rate.TokensPerSecond(), now)
	p = p.WithDelay(behind)
	ahead := l.foreign
	displaced := 0
	for _, x := range l.placed.ordered {
		switch {
		case x.pending <= 0:
		case x.priority <= p.Priority:
			ahead += x.pending
		default:
			displaced++
		}
	}
	cached := l.cached(p)
	grown := 1 + min(staleGrowth*now.Sub(l.load.Taken).Seconds(), maxStale)
	rate := l.rate.TokensPerSecond()
	prefill := seconds(float64(p.Tokens-cached) / rate)
	return Offer{
		Addr:          l.addr,
		Incarnation:   l.load.Incarnation,
		Wait:          seconds(ahead/rate*grown) + l.rate.Overhead(),
		Prefill:       prefill,
		Displaced:     time.Duration(float64(displaced) * displacedWeight * float64(prefill)),
		Cached:        cached,
		FairnessDelay: behind,
		Fits:          p.Memory() <= l.FreeTokens(),
	}
}

// Place records that an attempt goes to this engine, and returns how long it
// should wait behind those of other workspaces.
func (l *LoadTracker) Place(attempt string, p Prompt, now time.Time) time.Duration {
	rate := l.rate.TokensPerSecond()
	behind := l.shares.Delay(p.Workspace, p.Long(), rate, now)
	p = p.WithDelay(behind)
	expiry := p.Deadline
	if expiry.IsZero() {
		expiry = now.Add(placementLife)
	}
	fresh := p.Tokens - l.cached(p)
	l.placed.add(&placement{
		attempt:  attempt,
		priority: p.Priority,
		at:       now,
		pending:  float64(fresh),
		fresh:    fresh,
		cached:   p.Tokens - fresh,
		memory:   p.takes(),
		expiry:   expiry,
	})
	l.arrived += float64(p.Tokens)
	l.spared += float64(p.Tokens - fresh)
	l.shares.Take(p.Workspace, p.Long(), p.Share, float64(fresh+p.MaxTokens), rate, now)
	return behind
}

// Finish records that an attempt has ended. A first-token time above zero, of
// a request that had the engine to itself, teaches the engine's rate.
func (l *LoadTracker) Finish(attempt string, firstToken time.Duration, now time.Time) {
	l.drain(now)
	p := l.placed.remove(attempt)
	if p == nil {
		return
	}
	if firstToken > 0 && l.placed.len() == 0 && l.foreign == 0 {
		l.rate = l.rate.Observe(p.fresh, firstToken)
	}
}

func (l *LoadTracker) cached(p Prompt) int {
	return min(l.blocks.Cached(p.PrefixHashes)*prefix.BlockTokens, p.Tokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
