package schedule

import (
	"time"

	"slipcrank.example/core/site"
)

const (
	// fullBacklog is the time that an engine has yet to read from which on it
	// counts as busy.
	fullBacklog = 500 * time.Millisecond
	// freeReads is the part of all engines that may be busy before a new
	// prompt displaces others: it finds enough that are idle.
	freeReads = 0.4
	// readValue is what a second of an engine's time is worth once all are
	// busy: the value of long prompts of usual length, which are the work that
	// gives way, by the time that they take.
	readValue = 2.5
	// freeSlots and fullSlots are the parts of all slots between which short
	// streams begin to be displaced, and slotValue is what a second of an
	// engine's time is worth to these.
	freeSlots, fullSlots = 0.6, 0.9
	slotValue            = 5
	// scarceSlots and noSlots are the parts of all slots between which they
	// become scarce: short streams queue then, a place or two long. From 0.8 to
	// 0.9, the second of the users' sites lost 0.008 of worth on days on which
	// nobody crowds (20 plays each, by the time from a caller's first try).
	scarceSlots, noSlots = 0.85, 0.95
)

// kept is the part of its value that a request keeps at a prediction.
func kept(first, objective time.Duration) float64 {
	if objective <= 0 {
		return 1 - lateShare
	}
	return 1 - lateShare*risk(float64(first)/float64(objective))
}

// displaced is the value of what engines could do instead. Reading takes time
// with the square of the length, and value grows with the length, so it
// exceeds that of the longest prompts first.
func displaced(e *site.Engine, states []*state, r Request) float64 {
	var busy float64
	for _, s := range states {
		busy += min(float64(s.reading)/float64(fullBacklog), 1)
	}
	reads := max(busy/float64(len(states))-freeReads, 0) / (1 - freeReads)
	writes := between(freeSlots, fullSlots, slotsTaken(states))
	return max(reads*readValue, writes*slotValue) * readTime(e, r.Work.Prompt, 1).Seconds()
}

// slotsTaken is the part of all slots that are taken.
func slotsTaken(states []*state) float64 {
	running, slots := 0, 0
	for _, s := range states {
		running += min(s.running, s.server.Slots)
		slots += s.server.Slots
	}
	return float64(running) / float64(max(slots, 1))
}

// full is how scarce slots are when so many of them are taken, from 0 to 1.
func full(taken float64) float64 { return between(scarceSlots, noSlots, taken) }

// between is how far x is on its way from low to high, from 0 to 1.
func between(low, high, x float64) float64 { return min(max((x-low)/(high-low), 0), 1) }
