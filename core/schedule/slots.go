package schedule

import (
	"math"
	"time"
)

const (
	// newsTime is how long it takes until other hosts know of a placement: the
	// way between halls, and the time in which hosts with a fifth of a core
	// get to read it. Decisions on such hosts are 2 to 10 ms old when they
	// leave.
	newsTime = 10 * time.Millisecond
	// rateTime is over how long the rate of placements is taken.
	rateTime = time.Second
	// rarest is below what likelihood numbers of unknown placements are left
	// out.
	rarest = 0.005
)

// rate is a decayed count of placements.
type rate struct {
	count float64
	at    time.Duration
}

// with returns the rate with one more placement.
func (r rate) with(now time.Duration) rate {
	return rate{r.count*r.kept(now) + 1, now}
}

// perSecond is the rate now.
func (r rate) perSecond(now time.Duration) float64 {
	return r.count * r.kept(now) / rateTime.Seconds()
}

func (r rate) kept(now time.Duration) float64 {
	return math.Exp(-float64(max(now-r.at, 0)) / float64(rateTime))
}

// likely returns how likely 0, 1, 2 .. placements are there that other hosts
// have made and that aren't known here yet. Hosts rank engines alike, so what
// comes at the same time goes to the same few.
func likely(perSecond float64) []float64 {
	mean := perSecond * newsTime.Seconds()
	var ps []float64
	p := math.Exp(-mean)
	for n := 1; ; n++ {
		ps = append(ps, p)
		p *= mean / float64(n)
		if p < rarest && float64(n) > mean {
			return ps
		}
	}
}

// turnover is the mean time between two ends of requests on the engine once
// all its slots are taken, if all that run write as many tokens as they are
// expected to and what is yet to be read now is all that is read meanwhile.
func (s *state) turnover() time.Duration {
	if s.running == 0 || s.server.Slots == 0 {
		return 0
	}
	passes := float64(s.answers) / float64(s.running) / float64(s.stride)
	return time.Duration((passes*float64(s.pass) + float64(s.reading)) / float64(s.server.Slots))
}

// wait is the mean time until a slot is free for one more request.
func (s *state) wait() time.Duration {
	var before float64
	for n, p := range s.unknown {
		before += p * float64(max(s.running+n+1-s.server.Slots, 0))
	}
	return time.Duration(before * float64(s.turnover()))
}

// slotRisk is how likely the wait for a slot is longer than slack. Requests
// end independently of each other, so the number that ends in a time is
// Poisson distributed.
func (s *state) slotRisk(slack time.Duration) float64 {
	t := s.turnover()
	if t == 0 {
		return 0
	}
	if s.running+len(s.unknown) <= s.server.Slots {
		return 0 // whatever isn't known finds a slot
	}
	mean := max(float64(slack), 0) / float64(t)
	none := math.Exp(-mean)
	var risk float64
	for n, p := range s.unknown {
		risk += p * fewer(s.running+n+1-s.server.Slots, mean, none)
	}
	return risk
}

// fewer is how likely a Poisson distributed number of the given mean is below n;
// none is how likely it is 0.
func fewer(n int, mean, none float64) float64 {
	var sum float64
	p := none
	for i := range max(n, 0) {
		sum += p
		p *= mean / float64(i+1)
	}
	return min(sum, 1)
}

// unknown returns how likely so many placements of a service aren't known yet.
func (b *Scheduler) unknown(service string, now time.Duration) []float64 {
	return likely(b.rates[service].perSecond(now))
}
