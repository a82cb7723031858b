package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/platform/standin"
)

const (
	// evacuationStream selects the random stream for evacuations, independent of the
	// others.
	evacuationStream = 1<<32 + 1
	// meanEvacuationInterval is the mean time between two evacuations, maxEvacuationTime
	// the maximum duration of one beyond twice the configBound.
	meanEvacuationInterval = time.Second
	maxEvacuationTime      = 4 * time.Second
	// A server that starts during a run is cold for coldTime. In any coldWindow it may then
	// get coldFactor times the requests that coldRate allows, plus coldAllowance.
	coldTime      = 3 * time.Second
	coldRate      = 4 // requests per second
	coldWindow    = time.Second
	coldFactor    = 1.5
	coldAllowance = 5
)

// evacuation is the time during which a data hall is evacuated: from the platform's
// acknowledgement until it is taken back. To is zero while it lasts.
type evacuation struct {
	hall     string
	from, to time.Time
}

// injectEvacuations evacuates one hall after the other until ctx ends.
func (w *world) injectEvacuations(ctx context.Context, rnd *rand.Rand) {
	for pause.UpTo(ctx, 2*meanEvacuationInterval) == nil {
		hall := fmt.Sprintf("hall-%d", rnd.IntN(hallCount))
		w.store.Evacuate(hall)
		w.mu.Lock()
		w.evacuations = append(w.evacuations, evacuation{hall: hall, from: time.Now()})
		w.mu.Unlock()
		_ = pause.For(ctx, 2*configBound+time.Duration(rnd.Int64N(int64(maxEvacuationTime)))) // when ctx ends, it is taken back
		w.mu.Lock()
		w.evacuations[len(w.evacuations)-1].to = time.Now()
		w.mu.Unlock()
		w.store.EndEvacuation(hall)
	}
}

// checkEvacuation checks that a server got no request later than allowed after the
// platform had acknowledged the evacuation of its hall, and before that was taken back.
func (w *world) checkEvacuation(req *request, run standin.Run, s *serverSlot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.evacuations {
		if e.hall != s.hall() || !run.At.After(e.from.Add(configBound+dispatchSlack)) || run.At.After(e.to) || w.disturbedBefore(req, run, s.proxy) {
			continue
		}
		w.addFailure(fmt.Sprintf("request %s of %s ran on %s, %v after the platform acknowledged the evacuation of %s", req.attempt, req.host.name, run.Server, run.At.Sub(e.from), e.hall))
	}
}

// checkCold checks that a server that started at a time got no more requests, from all
// hosts together, than a cold server accepts. Windows in which the proxy of the server was
// disturbed are left out, since requests may have arrived late and all at once.
func (w *world) checkCold(server *standin.Server, started time.Time, p *proxy) {
	answers := server.Answers()
	for i, begin := range answers {
		end := begin.At.Add(coldWindow)
		if begin.At.Before(started) || end.After(started.Add(coldTime)) || p.disturbedDuring(begin.At.Add(-limitSyncTime), end) {
			continue
		}
		n := 0
		for _, a := range answers[i:] {
			if a.At.Before(end) {
				n++
			}
		}
		if allowed := int(coldFactor*coldRate*coldWindow.Seconds()) + coldAllowance; n > allowed {
			w.failf("%d requests reached %s within %v while it was cold, allowed %d (from request %s on, %v after its start)",
				n, server.ID(), coldWindow, allowed, begin.Attempt, begin.At.Sub(started))
			return
		}
	}
}
