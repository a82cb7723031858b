package route

import (
	"time"

	"slipcrank.example/core/template"
)

const (
	// LongPromptTokens is the length from which a prompt counts as long.
	LongPromptTokens = 32_000

	interactiveSlack = 600 * time.Millisecond
	standardSlack    = 5 * time.Second
	reviewSlack      = 60 * time.Second
	// lengthSlack is added for each thousand prompt tokens, so that a prompt
	// lets shorter ones pass for a time that grows with its own: about twelve
	// times its prefill.
	lengthSlack = 300 * time.Millisecond
)

// Priority returns the number that engines order work by: the time, in
// milliseconds, until which the request can wait. Since it is a point in time
// and not a class, a review that has waited long enough comes before an
// interactive request that arrives then: it waits, but does not vanish. No
// request waits for others beyond its deadline.
func Priority(u template.Urgency, tokens int, arrival, deadline time.Time) int64 {
	slack := standardSlack
	switch u {
	case template.Interactive:
		slack = interactiveSlack
	case template.Review:
		slack = reviewSlack
	}
	slack += stretch(tokens)
	at := arrival.Add(slack)
	if !deadline.IsZero() && deadline.Before(at) {
		at = deadline
	}
	return at.UnixMilli()
}

// stretch is the time for which a prompt lets others pass for its length.
func stretch(tokens int) time.Duration { return lengthSlack * time.Duration(tokens/1000) }

// PriorityAgainstGroups returns the number by which a request is compared with groups
// that wait for memory: its priority without what it waits for its length. A
// longer prompt lets shorter ones go first, but gives up no memory for that.
func (p Prompt) PriorityAgainstGroups() int64 { return p.Priority - stretch(p.Tokens).Milliseconds() }

// GroupPriority returns the number by which a prompt that needs the memory of a
// group of engines waits for it: the time until which it can wait, but no later
// than half of the time that it has beside its prefill and its answer. From
// then on others are held back, and what runs has the other half to end.
func GroupPriority(p Prompt, arrival time.Time) int64 {
	if p.Deadline.IsZero() {
		return p.Priority
	}
	runs := seconds(float64(p.Tokens)/DefaultPrefillRate) + answerTime(p)
	spare := p.Deadline.Sub(arrival) - runs
	at := arrival.Add(max(0, spare/2))
	return min(p.Priority, at.UnixMilli())
}
