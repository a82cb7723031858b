package schedule

import (
	"cmp"
	"math"
	"time"

	"slipcrank.example/core/site"
)

const (
	// busyBacklog is the prefill backlog from which on an engine counts as fully
	// busy.
	busyBacklog = 500 * time.Millisecond
	// freeBusyFraction is the fraction of all engines that may be busy before a
	// new prompt displaces others: up to it, a prompt finds enough idle engines.
	freeBusyFraction = 0.4
	// prefillValuePerSecond is the value of a second of an engine's time once all
	// engines are busy: the value of long prompts of usual length, which are the
	// work that gives way, divided by the time that they take.
	prefillValuePerSecond = 2.5
	// As the utilization of slots grows from freeSlotUse to fullSlotUse, short
	// streams become displaced; decodeValuePerSecond is the value of a second of
	// an engine's time to them.
	freeSlotUse, fullSlotUse = 0.6, 0.9
	decodeValuePerSecond     = 5
	// As the utilization of slots grows from scarceSlotUse to exhaustedSlotUse,
	// slots become scarce: short streams then wait in a queue of one or two.
	scarceSlotUse, exhaustedSlotUse = 0.85, 0.95
)

// retainedValue returns the fraction of its value that a request is expected to
// keep with a predicted time to the first token.
func retainedValue(firstToken, objective time.Duration) float64 {
	if objective <= 0 {
		return 1 - lateLoss
	}
	return 1 - lateLoss*missRisk(float64(firstToken)/float64(objective))
}

// displacedValue returns the value of the work that engines could do instead of
// a request. Prefill time grows with the square of the prompt's length and value
// only linearly, so it exceeds the value of the longest prompts first.
// Where the price of an engine's time is known, it is that of the request's engine time.
func (sc *Scheduler) displacedValue(e *site.Engine, states []*state, r Request, service string) float64 {
	if price, ok := sc.prices[service]; ok {
		return price * EngineTime(e, r.Work).Seconds()
	}
	var busy float64
	for _, s := range states {
		busy += min(float64(s.backlog)/float64(busyBacklog), 1)
	}
	prefill := max(busy/float64(len(states))-freeBusyFraction, 0) / (1 - freeBusyFraction)
	decode := ramp(freeSlotUse, fullSlotUse, slotUtilization(states))
	return max(prefill*prefillValuePerSecond, decode*decodeValuePerSecond) * prefillTime(e, r.Work.Prompt, 1).Seconds()
}

// slotUtilization returns the fraction of all slots that are taken.
func slotUtilization(states []*state) float64 {
	running, slots := 0, 0
	for _, s := range states {
		running += min(s.running, s.server.Slots)
		slots += s.server.Slots
	}
	return float64(running) / float64(max(slots, 1))
}

// slotUse returns the fraction of all slots that the request can't use: those that are taken, and
// those of engines that can't serve it in time because of prompts that they have yet to prefill.
func (c *choice) slotUse() float64 {
	gap := cmp.Or(c.request.Gap, math.MaxInt64)
	running, slots := 0, 0
	for _, s := range c.states {
		slots += s.server.Slots
		if s.backlog > 0 && (s.pause(0) > gap || s.timeToPrefill(0) > c.request.Objective) {
			running += s.server.Slots
			continue
		}
		running += min(s.running, s.server.Slots)
	}
	return float64(running) / float64(max(slots, 1))
}

// slotScarcity returns how scarce slots are when the fraction use of them is taken, from 0 to 1.
func slotScarcity(use float64) float64 { return ramp(scarceSlotUse, exhaustedSlotUse, use) }

// ramp returns 0 for x up to low, 1 from high on, and interpolates linearly
// between them.
func ramp(low, high, x float64) float64 { return min(max((x-low)/(high-low), 0), 1) }
