package route

import (
	"math"
	"time"
)

const (
	rateGain     = 0.2
	overheadGain = 0.2
	// outlier bounds how far one observation may move the estimate.
	outlier = 2.0
	// minLearn is the least prefill, in tokens, that says something about
	// the rate; shorter ones teach the overhead.
	minLearn = 4096
)

// Rate is the learnt speed of an engine: immutable, changed by
// [Rate.Observe].
type Rate struct {
	perSecond float64
	overhead  time.Duration
}

// NewRate returns the rate assumed of an unknown engine.
func NewRate() Rate {
	return Rate{perSecond: DefaultPrefillRate, overhead: DefaultDecodeStep}
}

// TokensPerSecond returns the prefill rate.
func (r Rate) TokensPerSecond() float64 { return r.perSecond }

// Overhead returns the time to first token of an empty prompt.
func (r Rate) Overhead() time.Duration { return r.overhead }

// Observe returns r moved towards one request that had the engine to itself:
// its uncached prompt tokens and its time to first token. An outlier moves it
// no further than a factor of two would.
func (r Rate) Observe(tokens int, firstToken time.Duration) Rate {
	if tokens < minLearn {
		d := firstToken - seconds(float64(tokens)/r.perSecond)
		d = min(max(d, 0), time.Duration(outlier*float64(r.overhead)))
		r.overhead += time.Duration(overheadGain * float64(d-r.overhead))
		r.overhead = max(r.overhead, time.Millisecond)
		return r
	}
	took := max(firstToken-r.overhead, time.Millisecond)
	return r.ObserveRate(float64(tokens) / took.Seconds())
}

// ObserveRate returns r moved towards a rate that was seen, in tokens a second.
func (r Rate) ObserveRate(seen float64) Rate {
	ratio := min(max(seen/r.perSecond, 1/outlier), outlier)
	r.perSecond *= math.Pow(ratio, rateGain)
	return r
}
