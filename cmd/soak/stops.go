package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/event"
	"slipcrank.example/platform/standin"
)

const (
	// stopStream selects the random stream for planned stops; those of slow callers come
	// after it.
	stopStream = 1<<32 + 2
	// stopGrace is the time between SIGTERM and SIGKILL of a planned stop in runs of them.
	stopGrace = 8 * time.Second
	// meanStopInterval is the mean time between the begins of two planned stops. Other faults,
	// which excuse what they disturb, are calmFactor times as rare in runs of planned stops.
	// Servers limit the rate of requests as often as in other runs if the seed is odd, so that
	// requests wait at hosts.
	meanStopInterval = time.Second
	calmFactor       = 30
	// maxStartDelay is the longest time from a start to a signal right after it.
	maxStartDelay = 400 * time.Millisecond
	// slowCallersPerHost callers for each host, up to maxSlowCallers, send streams of up to twelve pauses of maxEventGap, with
	// bodies up to maxBodyDelay after the head, and rest up to maxRest on open connections.
	slowCallersPerHost = 10
	maxSlowCallers     = 60
	slowKind           = "slow/stream"
	slowDeadline       = 12 * time.Second
	maxEventGap        = 600 * time.Millisecond
	maxBodyDelay       = 600 * time.Millisecond
	maxRest            = 2 * time.Second
	// A request that is sent no later than earlySend after SIGTERM may be cut if its server is
	// at work in the last part of the grace period, one lastPart-th. One that no server got may
	// end without an answer within crossingTime of its last byte.
	earlySend    = 3 * time.Second
	lastPart     = 6
	crossingTime = 200 * time.Millisecond
	// exitTime is the time from the cut of the last connections to the exit of the process.
	exitTime = time.Second
	// stopMargin extends the time of a planned stop beyond the grace period.
	stopMargin = time.Second
)

// plannedStop is a planned stop of a host, from the SIGTERM on.
type plannedStop struct {
	at, exited time.Time // exited is zero until the process has exited
	killed     bool      // SIGKILL was sent
}

func (w *world) hostOptions() []hostOption {
	if w.plannedStops {
		return []hostOption{withGrace(stopGrace)}
	}
	return nil
}

// injectStops stops and restarts hosts until ctx ends. Stops overlap, and up to half of the hosts
// are stopped at a time.
func (w *world) injectStops(ctx context.Context, rnd *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	free := make(chan *host, len(w.hosts))
	for _, n := range rnd.Perm(len(w.hosts)) {
		free <- w.hosts[n]
	}
	stopping := make(chan struct{}, (len(w.hosts)+1)/2)
	for pause.For(ctx, time.Duration(rnd.Int64N(int64(2*meanStopInterval)))) == nil {
		r := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		stopping <- struct{}{}
		h := <-free
		wg.Go(func() {
			w.stopPlanned(ctx, h, r)
			free <- h
			<-stopping
		})
	}
}

// stopPlanned stops a host with SIGTERM, at times with further signals in between, and restarts
// it. At times it is stopped again or told to reload right after the start.
func (w *world) stopPlanned(ctx context.Context, h *host, rnd *rand.Rand) {
	for again := true; again && ctx.Err() == nil; {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			if delay := time.Duration(rnd.Int64N(int64(stopGrace))); rnd.IntN(3) == 0 {
				runAfter(ctx, delay, func() { h.signalStopping(s) })
			}
		}
		h.signal(syscall.SIGTERM)
		h.awaitExit(stopGrace)
		_ = pause.For(ctx, time.Duration(rnd.Int64N(int64(time.Second)))) // when ctx ends, it restarts at once
		w.restartHost(h)
		startDelay := time.Duration(rnd.Float64() * rnd.Float64() * float64(maxStartDelay))
		switch rnd.IntN(6) {
		case 0:
			again = false
			if pause.For(ctx, startDelay) != nil {
				return
			}
			h.signal(syscall.SIGHUP)
			time.Sleep(maxStartDelay)
			w.restartHost(h) // the signal may have ended it
		case 1:
			_ = pause.For(ctx, startDelay)
		default:
			again = false
		}
	}
}

// signalStopping sends a signal to the daemon if it is being stopped.
func (h *host) signalStopping(s syscall.Signal) {
	h.mu.Lock()
	n := len(h.stops)
	stopping := n > 0 && h.stops[n-1].exited.IsZero()
	h.mu.Unlock()
	if stopping {
		h.signal(s)
	}
}

// awaitExit waits until the process has exited, and kills it after timeout.
func (h *host) awaitExit(timeout time.Duration) {
	h.mu.Lock()
	running, exited := h.cmd != nil, h.exited
	h.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-exited:
	case <-time.After(timeout):
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// stoppedDuring reports whether a planned stop of the host was under way at any time in [from, to].
func (h *host) stoppedDuring(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.stops, func(s plannedStop) bool {
		return !to.Before(s.at) && !from.After(s.at.Add(h.grace+stopMargin))
	})
}

// runSlowCaller sends slow requests over persistent connections until ctx ends. It keeps to a
// host until that one accepts no connection, some callers even longer.
func (w *world) runSlowCaller(ctx context.Context, rnd *rand.Rand) {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	defer t.CloseIdleConnections()
	kinds := []string{slowKind, slowKind, slowKind, "stream", "safe", "once"}
	h, loyal, rests := w.hosts[rnd.IntN(len(w.hosts))], rnd.IntN(3) == 0, rnd.IntN(4) == 0
	for ctx.Err() == nil {
		n := lastAttempt.Add(1)
		r := &request{attempt: fmt.Sprintf("a%d", n), token: fmt.Sprintf("t%d", n), kind: kinds[rnd.IntN(len(kinds))], key: w.validKey(), host: h}
		if r.kind == slowKind {
			r.deadline, r.eventGap = slowDeadline, time.Duration(1+rnd.Int64N(int64(maxEventGap)))
		}
		if rnd.IntN(2) == 0 {
			r.bodyDelay = time.Duration(1 + rnd.Int64N(int64(maxBodyDelay)))
		}
		w.send(t, r, false)
		w.checkAnswer(r)
		if next := w.hosts[rnd.IntN(len(w.hosts))]; r.status == 0 && r.wroteAt.Load() == nil && !loyal {
			h = next
		}
		rest := callerInterval
		if d := time.Duration(rnd.Int64N(int64(maxRest))); rests && r.status == http.StatusOK {
			rest = d
		}
		_ = pause.For(ctx, rest)
	}
}

// checkStops checks that each request ended with a whole answer, unless something else than a
// planned stop or a reload disturbed it, or the stop could not wait for it, and that each host
// named the requests in its log that were cut as its process ended.
func (w *world) checkStops() {
	runs, slots := w.allRuns()
	w.mu.Lock()
	requests := w.requests
	w.mu.Unlock()
	named, stopped, cut, excused := map[*host]map[string]bool{}, 0, 0, 0
	for _, h := range w.hosts {
		named[h], stopped = h.namedCuts(), stopped+len(h.stops)
	}
	for _, r := range requests {
		if !r.incomplete || r.wroteAt.Load() == nil && len(runs[r.attempt]) == 0 {
			continue
		}
		cut++
		if w.mayEndWithoutAnswer(r, runs[r.attempt], slots) {
			excused++
			continue
		}
		to := r.sentAt.Add(r.duration)
		s, ok := r.host.stopAt(to)
		if ok && !s.exited.IsZero() && !s.killed && len(runs[r.attempt]) > 0 && to.After(s.exited.Add(-exitTime)) && !named[r.host][r.attempt] {
			w.failf("request %s at %s was cut as the process ended, and its log doesn't name it", r.attempt, r.host.name)
		}
		if ok && r.mayBeCut(s, runs[r.attempt]) || w.delegateMayCut(r, runs[r.attempt], slots) {
			continue
		}
		w.failf("request %s (%s) at %s, sent %v, got no whole answer: status %d, %d bytes, ended %v after that; last SIGTERM %v before the end, exit %v after it; runs: %s",
			r.attempt, r.kind, r.host.name, r.lastByte().Format("05.000"), r.status, len(r.body), to.Sub(r.lastByte()), to.Sub(s.at), s.exited.Sub(s.at), w.describe(r, runs[r.attempt], slots))
	}
	fmt.Printf("%d planned stops: %d requests sent whole without a whole answer, %d of them with something else to blame\n", stopped, cut, excused)
}

// namedCuts returns the requests that the host's log names as cut by the end of its process.
func (h *host) namedCuts() map[string]bool {
	out := map[string]bool{}
	text, err := os.ReadFile(h.log.Name())
	if err != nil {
		return out // all are missing
	}
	for line := range bytes.Lines(text) {
		var cut struct {
			Event      int
			ID, Server string
			Age        *int64
		}
		// Other lines may be no JSON.
		if json.Unmarshal(line, &cut) == nil && cut.Event == event.RequestCut.Number && cut.Server != "" && cut.Age != nil {
			out[cut.ID] = true
		}
	}
	return out
}

// stopAt returns the last planned stop of a host that began before a time, and whether it was
// under way then.
func (h *host) stopAt(at time.Time) (plannedStop, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range slices.Backward(h.stops) {
		if !s.at.After(at) {
			return s, !at.After(s.at.Add(h.grace + stopMargin))
		}
	}
	return plannedStop{}, false
}

// delegateMayCut reports whether a host that sent the request to a server for its own host was
// stopped, and that stop may cut it.
func (w *world) delegateMayCut(r *request, runs []standin.Run, slots map[string]*serverSlot) bool {
	return slices.ContainsFunc(runs, func(run standin.Run) bool {
		h := w.hostAt(slots[run.Server].proxy.clientOf(run.From, run.At))
		if h == nil || h == r.host {
			return false
		}
		s, ok := h.stopAt(r.sentAt.Add(r.duration))
		return ok && r.mayBeCut(s, runs)
	})
}

// lastByte returns when the last byte was sent, or the first if the request was cut before.
func (r *request) lastByte() time.Time {
	if at := r.wroteAt.Load(); at != nil {
		return *at
	}
	return r.sentAt
}

// mayBeCut reports whether a planned stop may cut a request.
func (r *request) mayBeCut(s plannedStop, runs []standin.Run) bool {
	lastPartBegins := s.at.Add(r.host.grace - r.host.grace/lastPart)
	working := func(run standin.Run) bool { return run.Ended.IsZero() || run.Ended.After(lastPartBegins) }
	return !r.lastByte().After(s.at.Add(earlySend)) && slices.ContainsFunc(runs, working) && r.sentAt.Add(r.duration).After(lastPartBegins)
}

// mayEndWithoutAnswer reports whether a request may end without an answer for a reason that has
// nothing to do with planned stops: it wasn't sent whole, its deadline was reached, its server
// broke off, or its host, that host's proxy or a server was disturbed.
func (w *world) mayEndWithoutAnswer(r *request, runs []standin.Run, slots map[string]*serverSlot) bool {
	from, to := r.sentAt.Add(-undisturbedTime), r.sentAt.Add(r.duration)
	if r.duration >= r.timeout() || len(runs) == 0 && (r.wroteAt.Load() == nil || to.Sub(*r.wroteAt.Load()) <= crossingTime) {
		return true
	}
	if n := len(runs); n > 0 && runs[n-1].BrokeOff {
		return true
	}
	involved, hosts := w.slots, []*host{r.host}
	if len(runs) > 0 {
		involved = nil
		for _, run := range runs {
			s := slots[run.Server]
			involved = append(involved, s)
			if h := w.hostAt(s.proxy.clientOf(run.From, run.At)); h != nil {
				hosts = append(hosts, h)
			}
		}
	}
	return slices.ContainsFunc(hosts, func(h *host) bool {
		h.mu.Lock()
		disturbed := h.unplanned.overlap(from, to)
		h.mu.Unlock()
		return disturbed || h.store.disturbedDuring(from, to) || w.cuts.overlap(h.ip, from, to)
	}) || slices.ContainsFunc(involved, func(s *serverSlot) bool {
		s.mu.Lock()
		closed := s.closings.overlap(from, to)
		s.mu.Unlock()
		return closed || s.proxy.disturbedDuring(from, to)
	})
}

// overlap reports whether the host with an IP address was cut off at any time in [from, to].
func (c *cuts) overlap(ip string, from, to time.Time) bool {
	return slices.ContainsFunc(c.all(), func(p pastCut) bool {
		return p.hosts[ip] && p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
	})
}

// describe returns the runs of a request, as times after its last byte.
func (w *world) describe(r *request, runs []standin.Run, slots map[string]*serverSlot) string {
	out, at := "", r.lastByte()
	for _, run := range runs {
		out += fmt.Sprintf("[%s from %s, %v to %v]", run.Server, slots[run.Server].proxy.clientOf(run.From, run.At), run.At.Sub(at), run.Ended.Sub(at))
	}
	return out
}
