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
	// slackPerThousandTokens is added to the slack for each thousand prompt
	// tokens, so that the time for which a prompt yields to shorter ones is
	// proportional to its length: about twelve times its prefill time.
	slackPerThousandTokens = 300 * time.Millisecond
)

// Priority returns the number by which engines order requests: the latest
// time, in milliseconds since the Unix epoch, until which the request can
// wait. A lower number is more urgent. Because the number is a point in time
// and not a class, a review request that has waited long enough precedes an
// interactive request that arrives later, so no class is starved. The priority
// is never later than the deadline, so that no request waits for others beyond
// it; a zero deadline means none.
func Priority(u template.Urgency, tokens int, arrival, deadline time.Time) int64 {
	slack := standardSlack
	switch u {
	case template.Interactive:
		slack = interactiveSlack
	case template.Review:
		slack = reviewSlack
	}
	slack += lengthAllowance(tokens)
	latest := arrival.Add(slack)
	if !deadline.IsZero() && deadline.Before(latest) {
		latest = deadline
	}
	return latest.UnixMilli()
}

// lengthAllowance returns the slack that a prompt gets for its length.
func lengthAllowance(tokens int) time.Duration {
	return slackPerThousandTokens * time.Duration(tokens/1000)
}

// PriorityAgainstGroups returns the priority by which a request is compared
// with groups that wait for memory: its priority without the slack for its
// length. A long prompt yields to shorter ones, but does not give up memory to
// a group because of its length.
func (p Prompt) PriorityAgainstGroups() int64 {
	return p.Priority - lengthAllowance(p.Tokens).Milliseconds()
}

// GroupPriority returns the priority of a prompt that waits for the memory of
// a group of engines: the time until which it can wait, but at most half of
// the time to its deadline that its prefill and its answer leave over. From
// then on, less urgent requests are blocked, and the running requests have the
// other half to complete.
func GroupPriority(p Prompt, arrival time.Time) int64 {
	if p.Deadline.IsZero() {
		return p.Priority
	}
	runTime := seconds(float64(p.Tokens)/DefaultPrefillRate) + answerTime(p)
	spare := p.Deadline.Sub(arrival) - runTime
	latest := arrival.Add(max(0, spare/2))
	return min(p.Priority, latest.UnixMilli())
}
