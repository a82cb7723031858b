package placement

import (
	"math"
	"time"

	"slipcrank.example/core/directory"
)

const (
	// demandHalfLife is the half-life of a requested token's weight in the demand.
	demandHalfLife = 5 * time.Minute
	// minDemand is the rate, in tokens per second, below which a copy's demand is
	// removed.
	minDemand = 0.01
	// demandWeight is the weight of the token demand for a copy; the number of
	// workspaces that name the copy has the remaining weight.
	demandWeight = 0.8
)

type (
	// Demand is the rate of requested tokens per copy, in tokens per second.
	Demand map[directory.Copy]float64

	// Meter measures the demand that passes through one daemon, as an
	// exponentially weighted moving average. It is not safe for concurrent use.
	Meter struct {
		rates     Demand
		decayedAt time.Time
	}
)

// NewMeter returns a meter without any demand.
func NewMeter(now time.Time) *Meter { return &Meter{rates: Demand{}, decayedAt: now} }

// Add counts the tokens of one request.
func (m *Meter) Add(c directory.Copy, tokens int, now time.Time) {
	m.decay(now)
	m.rates[c] += float64(tokens) * math.Ln2 / demandHalfLife.Seconds()
}

// Demand returns the rates at the given time.
func (m *Meter) Demand(now time.Time) Demand {
	m.decay(now)
	out := make(Demand, len(m.rates))
	for c, r := range m.rates {
		out[c] = r
	}
	return out
}

func (m *Meter) decay(now time.Time) {
	remaining := math.Exp2(-max(0, now.Sub(m.decayedAt).Seconds()) / demandHalfLife.Seconds())
	m.decayedAt = now
	for c, r := range m.rates {
		m.rates[c] = r * remaining
		if m.rates[c] < minDemand {
			delete(m.rates, c)
		}
	}
}

// Plus returns the sum of two demands.
func (d Demand) Plus(o Demand) Demand {
	out := make(Demand, len(d))
	for c, r := range d {
		out[c] = r
	}
	for c, r := range o {
		out[c] += r
	}
	return out
}

// DesiredCopies returns the desired copies, which are those that templates name.
// Each is weighted by the number of workspaces that name it and by its share of
// the demand; the weights sum to 1. Demand for copies that are not named is
// ignored, since their template has changed.
func DesiredCopies(named map[directory.Copy]int, d Demand) []DesiredCopy {
	names, tokens := 0.0, 0.0
	for c, n := range named {
		names += float64(n)
		tokens += d[c]
	}
	out := make([]DesiredCopy, 0, len(named))
	for c, n := range named {
		dc := DesiredCopy{Copy: c, Weight: float64(n) / names}
		if tokens > 0 {
			dc.Weight = (1-demandWeight)*dc.Weight + demandWeight*d[c]/tokens
		}
		out = append(out, dc)
	}
	return out
}
