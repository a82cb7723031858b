package schedule

import (
	"time"

	"slipcrank.example/core/site"
)

// Weights of the choice, each a fraction of the value of the request or stream
// that bears the cost. docs/design describes the experiments behind them.
const (
	// lateLoss is what a late answer, or a stream with too long a pause, loses.
	lateLoss = 0.75
	// riskStart is the fraction of a bound from which on a prediction counts
	// towards the loss, which grows to the whole at the bound: predictions err.
	riskStart = 0.85
	// delayCost is the cost of a first token at the objective, compared with one
	// at once. It decides between engines but is too small to harm others for the
	// sake of a long prompt, whose answer is worth the same at any time within its
	// objective.
	delayCost = 0.1
	// overdueCost is the cost of each further objective that passes. A late answer
	// is worth the same at any time, but its caller is kept waiting.
	overdueCost = 0.05
	// firstSensitiveCost is the cost of the first stream on an engine that has none
	// as sensitive to pauses. It concentrates such streams on few engines, so that
	// long prompts find engines on which a pause harms no stream.
	firstSensitiveCost = 0.2
	// maxPositionCost is the cost of the last position in the order of a service's
	// engines. All hosts use the same order.
	maxPositionCost = 0.05
	// helperCost is the cost of each helper, since the whole request fails if one
	// of them does.
	helperCost = 0.004
	// unavailableCost is the cost of memory, or helpers, that are not available.
	unavailableCost = 2
	// abandonLoss is what streams lose in addition to lateLoss by a pause so long
	// that their callers leave.
	abandonLoss = 1 - lateLoss
	// abandonGaps is the length of that pause, as a multiple of the longest permitted
	// pause. The requirements state eight.
	abandonGaps = 8
	// leadMargin is how much more than the cheapest engine another may cost to be
	// drawn as lead, and maxLeadDraw the number of engines drawn from.
	leadMargin  = 0.05
	maxLeadDraw = 3
	// spreadMargin takes the place of leadMargin where placements are spread: it covers what
	// engines in use differ by, so that the draw isn't limited to a few of them, but not the
	// cost of the first sensitive stream on an engine.
	spreadMargin = 0.18
	// unknownMargin takes the place of spreadMargin on hosts that know little: it covers the
	// first sensitive stream on an engine and the way to another hall, but not an engine that
	// is known to make the request late.
	unknownMargin = 0.4
	// otherHallCost is the cost of an engine in another hall, so that the loss of the
	// way there breaks few requests. It exceeds leadMargin. It counts in full while at
	// least localIdleFraction of the engines are idle, and not at all below
	// minIdleFraction: then engines are chosen for their load alone.
	otherHallCost     = 0.06
	localIdleFraction = 0.6
	minIdleFraction   = 0.3
	// remoteMemoryCost is the cost of memory to be reserved on other engines.
	remoteMemoryCost = 0.1
)

// leadCost returns the cost to a request of being led by the engine, apart from
// the cost of the time to its first token.
func (s *state) leadCost(e *site.Engine, r Request, value float64) float64 {
	cost := s.positionCost(e, r) * value
	if missing := s.context + r.Work.Prompt + r.Work.Answer - usableMemory(e); missing > 0 {
		cost += remoteMemoryCost * value * (1 + float64(missing)/float64(e.Memory))
	}
	return cost + s.firstSensitiveCost(e, r)*value
}

// firstSensitiveCost returns the cost of the first stream on an engine that has none as
// sensitive to pauses, as a fraction of its value.
func (s *state) firstSensitiveCost(e *site.Engine, r Request) float64 {
	if pauseSensitive(e, r.Gap) && (s.tightestGap == 0 || s.tightestGap > r.Gap) {
		return firstSensitiveCost
	}
	return 0
}

// firstTokenCost returns the cost of the time to the first token on the engine,
// which is the wait for a slot and then the given prefill time.
func (s *state) firstTokenCost(prefill, objective time.Duration, value float64) float64 {
	cost := costOfDelay(s.slotWait()+prefill, objective, value)
	if objective <= 0 {
		return cost
	}
	// The cost so far has the risk by the mean wait for a slot: replace that by the
	// risk by the distribution of the wait.
	late := missRisk(float64(s.slotWait()+prefill) / float64(objective))
	unlucky := max(missRisk(float64(prefill)/float64(objective)), s.slotWaitRisk(objective-prefill))
	return cost + lateLoss*value*(unlucky-late)
}

// costAsHelper returns the cost by which engines are ranked as helpers.
func (s *state) costAsHelper(e *site.Engine, prefill time.Duration, r Request, value float64) float64 {
	return s.lostValue(s.pause(prefill)) + costOfDelay(s.timeToPrefill(prefill), r.Objective, value) + s.positionCost(e, r)*value
}

// positionCost returns the cost of the engine's position in the service's order.
// Streams that are sensitive to pauses fill the order from one end, others from the
// other.
func (s *state) positionCost(e *site.Engine, r Request) float64 {
	if pauseSensitive(e, r.Gap) {
		return s.position * maxPositionCost
	}
	return (1 - s.position) * maxPositionCost
}

// pauseSensitive reports whether a stream's gap is shorter than the time in which an
// engine prefills as much as it can in one pass.
func pauseSensitive(e *site.Engine, gap time.Duration) bool {
	maxPrefill := float64(max(e.StepsPerPass, 1)*e.PrefillChunk) / e.PrefillRate * float64(time.Second)
	return gap > 0 && gap < time.Duration(maxPrefill)
}

// costOfDelay returns the cost of a first token after the given time.
func costOfDelay(firstToken, objective time.Duration, value float64) float64 {
	if objective <= 0 {
		return value * (lateLoss + delayCost*firstToken.Seconds())
	}
	f := float64(firstToken) / float64(objective)
	return value * (delayCost*min(f, 1) + lateLoss*missRisk(f) + overdueCost*max(f-1, 0))
}

// missRisk returns the probability that a bound is missed, given the prediction as
// a fraction of the bound.
func missRisk(fraction float64) float64 {
	switch {
	case fraction <= riskStart:
		return 0
	case fraction >= 1:
		return 1
	}
	return (fraction - riskStart) / (1 - riskStart)
}
