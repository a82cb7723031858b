package gateway

import (
	"net/http"
	"time"

	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// postpone refuses a call that can't be served in its time, and asks one to
// come back that displaces more than it is worth: taken in now, it would make
// others late. One that has come back is served. One that is merely late is
// taken in at once: its caller gets the answer sooner than by coming back.
func (g *Gateway) postpone(c *call, p schedule.Placement) *refusal {
	if c.attempts > 0 || c.may {
		return nil
	}
	left := time.Until(c.deadline)
	if p.First > left {
		return refuse(http.StatusServiceUnavailable, "no_time", busyWait)
	}
	if c.route.Kind == site.Stream && time.Since(c.arrived)+p.First > patience(c.route) {
		after := min(float64(p.First), returnPart*float64(left)) / (1 + spread)
		return refuse(http.StatusServiceUnavailable, "no_patience", time.Duration(after))
	}
	if p.Displaces > returnedMost {
		return refuse(http.StatusServiceUnavailable, "engines_full", memoryWait)
	}
	if p.Displaces <= 1 || left < time.Duration(firstPart*float64(c.route.Timeout)) {
		return nil
	}
	g.metrics.Count("gateway_postponed", 1, "route", c.route.Name)
	return refuse(http.StatusServiceUnavailable, "engines_busy", time.Duration(returnPart*float64(left)/(1+spread)))
}

// patience is how long callers wait for the first event of a stream before
// they leave.
func patience(r site.Route) time.Duration {
	return max(leastPatience, patienceObjectives*r.Objective, patienceGaps*r.Gap)
}

const (
	// leastPatience, patienceObjectives and patienceGaps are the users' words
	// on how long their callers wait for an event: two seconds, four times the
	// objective or eight times the pause that they mind, whichever is longest.
	leastPatience      = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
	// firstPart is the part of a route's time that a caller has left when it
	// asks for the first time; callers that come back have less.
	firstPart = 0.93
	// returnedMost is by how many times what a call displaces may exceed its
	// value if it has come back: far more than at first, since its caller has
	// waited, yet short of one late manuscript that costs a hundred callers
	// at counters their time.
	returnedMost = 8
	// returnPart is the part of their time after which callers still come
	// back: a third, and a little less for the way.
	returnPart = 0.3
)
