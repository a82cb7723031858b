package route

import (
	"math"
	"time"
)

const (
	rateGain     = 0.2
	overheadGain = 0.2
	// maxObservationFactor bounds the factor by which an observation can
	// differ from the estimate that it updates; larger differences are
	// clamped.
	maxObservationFactor = 2.0
	// minRateTokens is the shortest prefill, in tokens, from which the rate is
	// estimated; shorter ones update the overhead.
	minRateTokens = 4096
)

// Rate is the estimated speed of an engine. It is an immutable value;
// [Rate.Observe] and [Rate.ObserveRate] return updated ones.
type Rate struct {
	perSecond float64
	overhead  time.Duration
}

// NewRate returns the rate assumed for an engine without observations.
func NewRate() Rate {
	return Rate{perSecond: DefaultPrefillRate, overhead: DefaultDecodeStep}
}

// TokensPerSecond returns the prefill rate.
func (r Rate) TokensPerSecond() float64 { return r.perSecond }

// Overhead returns the time to first token of an empty prompt.
func (r Rate) Overhead() time.Duration { return r.overhead }

// Observe returns r updated with one request that ran alone on the engine:
// the number of its uncached prompt tokens and its time to first token.
// Outliers are clamped to a factor of two.
func (r Rate) Observe(tokens int, firstToken time.Duration) Rate {
	if tokens < minRateTokens {
		d := firstToken - seconds(float64(tokens)/r.perSecond)
		d = min(max(d, 0), time.Duration(maxObservationFactor*float64(r.overhead)))
		r.overhead += time.Duration(overheadGain * float64(d-r.overhead))
		r.overhead = max(r.overhead, time.Millisecond)
		return r
	}
	prefill := max(firstToken-r.overhead, time.Millisecond)
	return r.ObserveRate(float64(tokens) / prefill.Seconds())
}

// ObserveRate returns r updated with an observed prefill rate, in tokens per
// second.
func (r Rate) ObserveRate(observed float64) Rate {
	ratio := min(max(observed/r.perSecond, 1/maxObservationFactor), maxObservationFactor)
	r.perSecond *= math.Pow(ratio, rateGain)
	return r
}
