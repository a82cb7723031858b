package schedule

import (
	"math"
	"time"
)

const (
	// propagationDelay is the assumed time until other hosts know of a placement: the
	// network delay between halls, and the time until a host with a fifth of a
	// core reads the message. Such hosts send their messages 2 to 10 ms after the
	// decision.
	propagationDelay = 10 * time.Millisecond
	// rateWindow is the time constant of the decay of placement rates.
	rateWindow = time.Second
	// minProbability is the probability below which larger numbers of unseen
	// placements are left out.
	minProbability = 0.005
)

// rate is an exponentially decayed count of placements.
type rate struct {
	count     float64
	updatedAt time.Duration
}

// increment returns the rate with one more placement.
func (r rate) increment(now time.Duration) rate {
	return rate{r.count*r.decay(now) + 1, now}
}

// perSecond returns the rate at the given time.
func (r rate) perSecond(now time.Duration) float64 {
	return r.count * r.decay(now) / rateWindow.Seconds()
}

// decay returns the factor by which the count has decayed since its last update.
func (r rate) decay(now time.Duration) float64 {
	return math.Exp(-float64(max(now-r.updatedAt, 0)) / float64(rateWindow))
}

// turnover returns the mean time between two ends of requests on the engine once
// all its slots are taken. It assumes that each running request decodes its
// expected number of tokens, and that nothing but the present backlog is
// prefilled meanwhile.
func (s *state) turnover() time.Duration {
	if s.running == 0 || s.server.Slots == 0 {
		return 0
	}
	passes := float64(s.answerTokens) / float64(s.running) / float64(s.stride)
	return time.Duration((passes*float64(s.passTime) + float64(s.backlog)) / float64(s.server.Slots))
}

// slotWait returns the mean time until a slot is free for one more request.
func (s *state) slotWait() time.Duration {
	var before float64
	for n, p := range s.unseen {
		before += p * float64(max(s.running+n+1-s.server.Slots, 0))
	}
	return time.Duration(before * float64(s.turnover()))
}

// slotWaitRisk returns the probability that the wait for a slot exceeds slack.
// Requests end independently of each other, so the number that end in a given
// time is Poisson distributed.
func (s *state) slotWaitRisk(slack time.Duration) float64 {
	t := s.turnover()
	if t == 0 {
		return 0
	}
	if s.running+len(s.unseen) <= s.server.Slots {
		return 0 // there is a slot for each unseen placement
	}
	mean := max(float64(slack), 0) / float64(t)
	none := math.Exp(-mean)
	var risk float64
	for n, p := range s.unseen {
		risk += p * poissonBelow(s.running+n+1-s.server.Slots, mean, none)
	}
	return risk
}

// poissonBelow returns the probability that a Poisson distributed number of the
// given mean is below n; none is the probability that it is 0.
func poissonBelow(n int, mean, none float64) float64 {
	var sum float64
	p := none
	for i := range max(n, 0) {
		sum += p
		p *= mean / float64(i+1)
	}
	return min(sum, 1)
}
