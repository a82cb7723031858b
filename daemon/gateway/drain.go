package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/drain"
	"slipcrank.example/core/site"
)

const (
	// drainPollInterval is the interval at which waiting calls are checked during a stop.
	drainPollInterval = 50 * time.Millisecond
	// lastAnswerTime is the time before the end of the process that its last answers take.
	lastAnswerTime = 150 * time.Millisecond
	// openNoticeTime is the time before the end of the process at which the requests in progress
	// are logged, in case it gets no processor time for its end.
	openNoticeTime = time.Second
	// stoppingReason is the reason of refusals during a planned stop.
	stoppingReason = "stopping"
)

// errStopping cancels a call that can't be served before the process ends.
var errStopping = errors.New("host is stopping")

// stop is a planned stop of this host.
type stop struct {
	begun time.Time
	plan  drain.Plan
}

// Drain starts a planned shutdown: each further answer closes its connection, and requests
// that may not finish before end are refused, from refuseFrom on also those that usually do.
func (g *Gateway) Drain(refuseFrom, end time.Time) {
	g.stop.Store(&stop{time.Now(), drain.Plan{RefuseFrom: refuseFrom, End: end}})
	go g.refuseWaiting(end)
}

// closeIfStopping has the connection of an answer closed after it during a planned stop,
// which may have begun after the request arrived.
func (g *Gateway) closeIfStopping(w http.ResponseWriter) {
	if g.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.progresses.count() }

// mayServe reports whether a planned stop leaves enough time to send a call now. The
// progress of the call must be locked.
func (g *Gateway) mayServe(p *progress, now time.Time) bool {
	s := g.stop.Load()
	if s == nil {
		return true
	}
	if g.progresses.hasEnded() {
		return false
	}
	plan := s.plan
	if p.delegated {
		plan.RefuseFrom = s.begun // the other host needs no balancer to notice the stop
	}
	return plan.Allows(now, p.drainRequest(g.expectedTime(p.route), now))
}

// expectedTime returns the time within which almost all calls of a route are answered.
func (g *Gateway) expectedTime(r site.Route) time.Duration {
	if d, ok := g.answerTimes.expected(r.Name); ok {
		return d
	}
	return r.Objective
}

// refuseStopping refuses a call that a planned stop leaves no time for.
func (g *Gateway) refuseStopping(c *call) *refusalResponse {
	if c.progress.isAllowed(g.mayServe) {
		return nil
	}
	return refuseHere(stoppingReason)
}

// refuseWaiting cancels the calls that wait to be sent until there is no time left for them,
// and shortly before end all whose callers have no part of an answer, so that their callers
// are answered, and streams with which the hosts that delegate them may go on.
func (g *Gateway) refuseWaiting(end time.Time) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	noticed := false
	for now := range tick.C {
		if !noticed && now.After(end.Add(-openNoticeTime)) {
			noticed = true
			g.logOpen()
		}
		isLast := now.After(end.Add(-lastAnswerTime))
		for _, p := range g.progresses.all() {
			p.cancelWaiting(g.mayServe)
			if isLast {
				p.cancelUnanswered()
			}
		}
		if now.After(end) {
			return
		}
	}
}

// stopped returns out as the outcome of a try that a planned stop has prevented.
func stopped(out outcome) outcome {
	out.result, out.reason, out.refusal = final, stoppingReason, refuseHere(stoppingReason)
	return out
}

// isStopping reports whether a call was canceled by a planned stop.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }
