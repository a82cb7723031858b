package placement

import (
	"math"
	"time"

	"slipcrank.example/core/directory"
)

const (
	// demandHalfLife is how long a token asked for counts half.
	demandHalfLife = 5 * time.Minute
	// leastDemand is the rate, in tokens a second, below which demand is
	// forgotten.
	leastDemand = 0.01
	// demandPart is the weight of what is asked for, against how many
	// workspaces name a copy.
	demandPart = 0.8
)

type (
	// Demand is a rate of tokens for each copy, in tokens a second.
	Demand map[directory.Copy]float64

	// Meter measures the demand that passes one daemon, as a mean that forgets.
	// One goroutine owns it.
	Meter struct {
		rates Demand
		at    time.Time
	}
)

// NewMeter returns a meter that has seen nothing.
func NewMeter(now time.Time) *Meter { return &Meter{rates: Demand{}, at: now} }

// Add counts the tokens of one request.
func (m *Meter) Add(c directory.Copy, tokens int, now time.Time) {
	m.decay(now)
	m.rates[c] += float64(tokens) * math.Ln2 / demandHalfLife.Seconds()
}

// Demand returns the rates now.
func (m *Meter) Demand(now time.Time) Demand {
	m.decay(now)
	out := make(Demand, len(m.rates))
	for c, r := range m.rates {
		out[c] = r
	}
	return out
}

func (m *Meter) decay(now time.Time) {
	left := math.Exp2(-max(0, now.Sub(m.at).Seconds()) / demandHalfLife.Seconds())
	m.at = now
	for c, r := range m.rates {
		m.rates[c] = r * left
		if m.rates[c] < leastDemand {
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

// DesiredCopies returns what is wanted of the copies that templates name, by how many
// workspaces name each and by how much of it is asked for. What is asked for
// and not named is not wanted: the template has changed.
func DesiredCopies(named map[directory.Copy]int, d Demand) []DesiredCopy {
	names, asked := 0.0, 0.0
	for c, n := range named {
		names += float64(n)
		asked += d[c]
	}
	out := make([]DesiredCopy, 0, len(named))
	for c, n := range named {
		w := DesiredCopy{Copy: c, Weight: float64(n) / names}
		if asked > 0 {
			w.Weight = (1-demandPart)*w.Weight + demandPart*d[c]/asked
		}
		out = append(out, w)
	}
	return out
}
