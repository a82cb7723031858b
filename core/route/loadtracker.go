package route

import (
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/prefix"
)

const (
	// DefaultPrefillRate is the prefill rate, in tokens per second, that is
	// assumed until there are observations.
	DefaultPrefillRate = 40_000
	// DefaultDecodeStep is the assumed duration of a decode step.
	DefaultDecodeStep = 20 * time.Millisecond

	// staleGrowthPerSecond is the fraction by which a predicted wait grows for
	// each second of age of the load report.
	staleGrowthPerSecond = 0.1
	// minLearnSpan is the minimum time between two reports from which the rate
	// is estimated.
	minLearnSpan = 100 * time.Millisecond
	// maxStaleGrowth is the maximum fraction by which a predicted wait grows
	// because of the age of the load report.
	maxStaleGrowth = 2.0
	// displacedWeight is the weight of a delay of less urgent work, relative to
	// a delay of the request itself.
	displacedWeight = 0.5
	// placementTTL is the time after which a placement without a deadline
	// expires if its end is not reported.
	placementTTL = 10 * time.Minute
)

type (
	// Load is a load report of an engine.
	Load struct {
		Taken       time.Time
		Incarnation uint64
		Pending     int // prompt tokens still to be prefilled
		Waiting     int // requests that the engine has not started
		Used        int // KV memory in use, in tokens
		Total       int // KV memory in total, in tokens
	}

	// LoadTracker tracks the load of one engine for its owner, from the
	// engine's last report and from the placements on it. It is not safe for
	// concurrent use.
	LoadTracker struct {
		addr         string
		load         Load
		placed       *placements
		unattributed float64 // pending tokens in the report beyond those of placed
		rate         Rate
		blocks       *Index
		shares       *limit.FairQueue
		drainedAt    time.Time
		arrived      float64 // prompt tokens placed since the last report was taken
		// expectedCached is the number of prompt tokens that the engine is
		// expected to find in its cache, of those in arrived and of the prompts
		// in the last report that it has not started.
		expectedCached float64
	}
)

// NewLoadTracker returns a tracker for the engine at addr, without any report
// or placement.
func NewLoadTracker(addr string, now time.Time) *LoadTracker {
	return &LoadTracker{
		addr:      addr,
		placed:    newPlacements(),
		rate:      NewRate(),
		blocks:    NewIndex(),
		shares:    limit.NewFairQueue(now),
		drainedAt: now,
	}
}

// CacheIndex returns the index of the engine's prefix cache.
func (l *LoadTracker) CacheIndex() *Index { return l.blocks }

// Load returns the last report.
func (l *LoadTracker) Load() Load { return l.load }

// OpenPlacements returns the number of placements that are not known to have
// ended.
func (l *LoadTracker) OpenPlacements() int { return l.placed.len() }

// FreeTokens returns the free KV memory of the engine, in tokens. The memory in
// use is that of the last report plus that of the placements since, or that of
// all placements if it is greater: a request that was placed just before the
// report was taken may have reached the engine just after.
func (l *LoadTracker) FreeTokens() int {
	newer, placed := 0, 0
	for _, x := range l.placed.ordered {
		placed += x.memoryTokens
		if x.placedAt.After(l.load.Taken) {
			newer += x.memoryTokens
		}
	}
	return l.load.Total - max(l.load.Used+newer, placed)
}

// Offer returns the prediction for running p on this engine.
func (l *LoadTracker) Offer(p Prompt, now time.Time) Offer {
	l.drain(now)
	fairnessDelay := l.shares.Delay(p.Workspace, p.Long(), l.rate.TokensPerSecond(), now)
	p = p.WithDelay(fairnessDelay)
	ahead := l.unattributed
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
	staleFactor := 1 + min(staleGrowthPerSecond*now.Sub(l.load.Taken).Seconds(), maxStaleGrowth)
	rate := l.rate.TokensPerSecond()
	prefill := seconds(float64(p.Tokens-cached) / rate)
	return Offer{
		Addr:          l.addr,
		Incarnation:   l.load.Incarnation,
		Wait:          seconds(ahead/rate*staleFactor) + l.rate.Overhead(),
		Prefill:       prefill,
		Displaced:     time.Duration(float64(displaced) * displacedWeight * float64(prefill)),
		Cached:        cached,
		FairnessDelay: fairnessDelay,
		Fits:          p.Memory() <= l.FreeTokens(),
	}
}

// Place records that an attempt is sent to this engine. It returns how long the
// request should yield to those of other workspaces; see [Offer].
func (l *LoadTracker) Place(attempt string, p Prompt, now time.Time) time.Duration {
	rate := l.rate.TokensPerSecond()
	fairnessDelay := l.shares.Delay(p.Workspace, p.Long(), rate, now)
	p = p.WithDelay(fairnessDelay)
	expiry := p.Deadline
	if expiry.IsZero() {
		expiry = now.Add(placementTTL)
	}
	uncached := p.Tokens - l.cached(p)
	l.placed.add(&placement{
		attempt:      attempt,
		priority:     p.Priority,
		placedAt:     now,
		pending:      float64(uncached),
		uncached:     uncached,
		cached:       p.Tokens - uncached,
		memoryTokens: p.unreservedMemory(),
		expiry:       expiry,
	})
	l.arrived += float64(p.Tokens)
	l.expectedCached += float64(p.Tokens - uncached)
	l.shares.Charge(p.Workspace, p.Long(), p.Share, float64(uncached+p.MaxTokens), rate, now)
	return fairnessDelay
}

// Finish records that an attempt has ended. If firstToken is above zero and no
// other work remains on the engine, it updates the estimated rate.
func (l *LoadTracker) Finish(attempt string, firstToken time.Duration, now time.Time) {
	l.drain(now)
	p := l.placed.remove(attempt)
	if p == nil {
		return
	}
	if firstToken > 0 && l.placed.len() == 0 && l.unattributed == 0 {
		l.rate = l.rate.Observe(p.uncached, firstToken)
	}
}

func (l *LoadTracker) cached(p Prompt) int {
	return min(l.blocks.Cached(p.PrefixHashes)*prefix.BlockTokens, p.Tokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
