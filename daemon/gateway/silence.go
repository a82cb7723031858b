package gateway

import (
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

const (
	// minSilenceTimeout exceeds the usual duration of engine passes, but leaves time
	// for another try: callers of short prompts disconnect after two seconds.
	minSilenceTimeout = 1200 * time.Millisecond
	// streamSilenceGaps and plainSilenceObjectives are multiples of the route's gap and
	// objective. They exceed what a loaded server needs, and stay below what callers
	// tolerate.
	streamSilenceGaps      = 3
	plainSilenceObjectives = 4
	// predictedPauseFactor is the factor by which a predicted pause may be exceeded.
	predictedPauseFactor = 1.5
	// maxServingObjectives bounds the extension, in objectives, for a server that is
	// silent on this call but answers others. Short streams are then tried elsewhere
	// before their callers disconnect, and long prompts are not prefilled again from
	// the beginning.
	maxServingObjectives = 2
	// sharedFirstCheck bounds the time until the first check of a server whose prompt
	// has memory reserved on other servers. If the server is gone, that memory must be
	// released within 4 s by the requirements.
	sharedFirstCheck = 3 * time.Second
	// sharedCheckInterval is the time between further checks. After maxProbeFailures
	// failed probes in a row the server is given up; on a link that loses packets a
	// single probe may fail although the server is alive.
	sharedCheckInterval = 500 * time.Millisecond
	maxProbeFailures    = 2
	// maxTimerDelay is how late a timer runs at most, unless this host has stood still: it was
	// stopped, or had no processor. What servers have sent meanwhile is read within
	// standstillWait then.
	maxTimerDelay  = 100 * time.Millisecond
	standstillWait = 50 * time.Millisecond
	// silenceRecheckInterval is the time until it is tried again to resume a silent stream
	// elsewhere.
	silenceRecheckInterval = time.Second
)

// silenceTimer calls onExpire when a server has sent nothing for too long.
type silenceTimer struct {
	timeout   time.Duration
	extension func(silent time.Duration) time.Duration // how much longer than timeout the silence may last
	mayExpire func() bool                              // called when the silence has lasted too long; nil for always
	onExpire  func()

	mu           sync.Mutex
	timer        *time.Timer
	due          time.Time // when the timer should run
	stoodStill   bool      // the last check came late
	lastActivity time.Time
	stopped      bool
}

func (t *silenceTimer) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastActivity = time.Now()
	t.due = t.lastActivity.Add(t.timeout)
	t.timer = time.AfterFunc(t.timeout, t.check)
}

// resetTimer sets the time until the next check. The timer must be locked.
func (t *silenceTimer) resetTimer(d time.Duration) {
	t.due = time.Now().Add(d)
	t.timer.Reset(d)
}

// awaitsReaders reports whether the check comes so late that this host stood still. The next check
// then follows as soon as what has arrived meanwhile is read.
func (t *silenceTimer) awaitsReaders() bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stoodStill = !t.stoodStill && now.Sub(t.due) > maxTimerDelay
	if t.stoodStill && !t.stopped {
		t.resetTimer(standstillWait)
	}
	return t.stoodStill
}

// reset records that the server has sent something.
func (t *silenceTimer) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastActivity = time.Now()
}

func (t *silenceTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// check calls onExpire if the silence has lasted too long and may expire, and otherwise
// schedules the next check.
func (t *silenceTimer) check() {
	if t.awaitsReaders() {
		return
	}
	bound := t.timeout
	t.mu.Lock()
	silent := time.Since(t.lastActivity)
	t.mu.Unlock()
	if silent >= bound {
		bound += t.extension(silent)
	}
	t.mu.Lock()
	due := time.Since(t.lastActivity) >= bound // the extension may have taken time
	t.mu.Unlock()
	expires := due && (t.mayExpire == nil || t.mayExpire())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	silent = time.Since(t.lastActivity)
	switch {
	case !due || silent < bound:
		t.resetTimer(max(bound-silent, 0))
	case !expires:
		t.resetTimer(silenceRecheckInterval)
	default:
		t.stopped = true
		go t.onExpire()
	}
}

// silenceTimeout returns how long a server may send nothing before the call is tried on
// another server. A call that can't be repeated or resumed gets an hour, in effect no
// limit.
func silenceTimeout(c *call, p schedule.Placement) time.Duration {
	if !c.route.Resumable() {
		return time.Hour
	}
	if c.route.Kind != site.Stream {
		return max(plainSilenceObjectives*c.route.Objective, minSilenceTimeout/2)
	}
	return max(minSilenceTimeout, streamSilenceGaps*c.route.Gap, 2*p.FirstToken+minSilenceTimeout/2)
}

// firstSilenceCheck returns the silence after which it is first checked whether the
// silence has an explanation.
func firstSilenceCheck(c *call, p schedule.Placement) time.Duration {
	if len(p.MemoryShares) > 0 {
		return min(silenceTimeout(c, p), sharedFirstCheck)
	}
	return silenceTimeout(c, p)
}

// silenceExtension returns a function that computes by how much a silence may exceed
// the first check. A silence is explained by the prompts that the server has yet to
// prefill. It is also explained if the server has begun to answer other requests
// meanwhile: the server is then alive, and the silence counts from that time, with an
// extension of at most maxServingObjectives. The second rule is needed because engines
// prefill parts of shared prompts out of order, so a prompt may wait for parts of others
// that had not arrived when it was placed. Without the rule, long prompts are taken from
// engines that are alive, and prefilled from the beginning elsewhere.
func (g *Gateway) silenceExtension(c *call, s State, p schedule.Placement, server backend.Server) func(silent time.Duration) time.Duration {
	service, _ := s.Config.Service(p.Service)
	timeout, firstCheck := silenceTimeout(c, p), firstSilenceCheck(c, p)
	maxServing := maxServingObjectives * c.route.Objective // the call's route may change later
	shared, probeFailures := len(p.MemoryShares) > 0, 0
	return func(silent time.Duration) time.Duration {
		if service.Engine == nil {
			return 0
		}
		if probeFailures++; !shared || g.reachable(server) {
			probeFailures = 0
		}
		if probeFailures >= maxProbeFailures {
			return 0
		}
		now := g.clock.Now()
		extension := time.Duration(predictedPauseFactor * float64(g.scheduler.PredictPause(now, service.Engine, server)))
		if ago, known := g.scheduler.SinceFirstToken(server.ID, now); known {
			extension = max(extension, min(silent-ago, maxServing))
		}
		if shared {
			return min(timeout-firstCheck+extension, silent-firstCheck+sharedCheckInterval)
		}
		return extension
	}
}

// silenceMayExpire returns a function that reports whether a call may be taken from a silent
// server. A caller that has a part of its answer would lose the rest unless the call is resumed
// elsewhere, so another server has to go on with it first.
func silenceMayExpire(c *call) func() bool {
	x := c.exchange
	return func() bool {
		if !x.isHeadSent() || x.pending.isPending() {
			return true
		}
		x.handOver(outcome{result: failed, reason: reasonSilent})
		return false
	}
}

// reachable reports whether a server accepts connections.
func (g *Gateway) reachable(s backend.Server) bool { return g.probe(s) == nil }
