package schedule

import (
	"time"

	"slipcrank.example/core/site"
)

// Weights of the choice, each a part of the value of the request or stream
// that it falls on. They were found by measurement: docs/design has the
// rounds.
const (
	// lateShare is what a late answer, or a stream with too long a pause,
	// loses.
	lateShare = 0.75
	// nearBound is the part of a bound from which on a prediction counts
	// towards its loss, growing to the whole at the bound: predictions err.
	nearBound = 0.85
	// delayCost is for a first token at the objective beside one at once: it
	// decides between engines, and may not harm others for a long prompt's
	// sake, whose answer is worth the same anywhere within its objective.
	delayCost = 0.1
	// laterCost is for each further objective that passes: a late answer is
	// worth the same whenever it comes, while its caller waits.
	laterCost = 0.05
	// openCost is for the first stream on an engine without any as sensitive
	// to pauses. It keeps such streams together, so that long prompts find
	// engines where nobody minds.
	openCost = 0.2
	// orderCost puts the engines of a service in one order that all hosts
	// share, over the whole service.
	orderCost = 0.05
	// helperCost is for each helper: one that goes costs the whole request.
	helperCost = 0.004
	// fullCost is for memory, or helpers, that are not there.
	fullCost = 2
	// leftValue is what streams lose beyond a late answer by a pause so long
	// that their callers leave.
	leftValue = 1 - lateShare
	// leftGaps is that pause, in pauses that they mind. The users say eight.
	leftGaps = 8
	// nearCost is up to how much more than the least the engine may cost that
	// leads, and nearMost among how many one is drawn.
	nearCost = 0.05
	nearMost = 3
	// spreadCost is for memory that has to be set aside on other engines.
	spreadCost = 0.1
)

// ownCost is what it costs a request itself that the engine leads it, beside
// when its first token comes.
func (s *state) ownCost(e *site.Engine, r Request, value float64) float64 {
	cost := s.place(e, r) * value
	if lacking := s.context + r.Work.Prompt + r.Work.Answer - room(e); lacking > 0 {
		cost += spreadCost * value * (1 + float64(lacking)/float64(e.Memory))
	}
	if sensitive(e, r.Gap) && (s.tightest == 0 || s.tightest > r.Gap) {
		cost += openCost * value
	}
	return cost
}

// firstCost is what a first token costs for which the engine needs so long
// once a slot is free.
func (s *state) firstCost(read, objective time.Duration, value float64) float64 {
	cost := delay(s.wait()+read, objective, value)
	if objective <= 0 {
		return cost
	}
	// Beyond what the mean wait makes likely, in time or late.
	late := risk(float64(s.wait()+read) / float64(objective))
	unlucky := max(risk(float64(read)/float64(objective)), s.slotRisk(objective-read))
	return cost + lateShare*value*(unlucky-late)
}

// helpCost ranks an engine as a helper.
func (s *state) helpCost(e *site.Engine, part time.Duration, r Request, value float64) float64 {
	return s.loss(s.pause(part)) + delay(s.firstRead(part), r.Objective, value) + s.place(e, r)*value
}

// place is the cost of the engine's place in the order. Streams that mind
// pauses take it from one end, others from the other.
func (s *state) place(e *site.Engine, r Request) float64 {
	if sensitive(e, r.Gap) {
		return s.order * orderCost
	}
	return (1 - s.order) * orderCost
}

// sensitive reports whether a stream minds a pause as long as an engine takes
// to read as much as it can in one pass.
func sensitive(e *site.Engine, gap time.Duration) bool {
	most := float64(max(e.Stride, 1)*e.Chunk) / e.ReadRate * float64(time.Second)
	return gap > 0 && gap < time.Duration(most)
}

// delay is what a first token after so long costs.
func delay(first, objective time.Duration, value float64) float64 {
	if objective <= 0 {
		return value * (lateShare + delayCost*first.Seconds())
	}
	f := float64(first) / float64(objective)
	return value * (delayCost*min(f, 1) + lateShare*risk(f) + laterCost*max(f-1, 0))
}

// risk is how likely a bound is missed at a prediction of so much of it.
func risk(part float64) float64 {
	switch {
	case part <= nearBound:
		return 0
	case part >= 1:
		return 1
	}
	return (part - nearBound) / (1 - nearBound)
}
