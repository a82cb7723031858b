package gateway

import (
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

const (
	// minSilence is above what passes of an engine take on a usual day;
	// callers of short prompts leave after two seconds.
	minSilence = 1200 * time.Millisecond
	// silenceGaps and silenceObjectives are in units of the route's own
	// bounds: above what a loaded server needs, below what callers endure.
	silenceGaps       = 3
	silenceObjectives = 4
	// explainedPart is by how much a predicted pause may be exceeded.
	explainedPart = 1.5
	// servingObjectives is how much longer a server may say nothing that serves
	// others, in objectives: a short stream is tried elsewhere before its caller
	// leaves, a long prompt isn't read from the beginning elsewhere.
	servingObjectives = 2
	// sharedSilence bounds the silence on a prompt for which memory is set aside on
	// other servers, unless the server is found to live. Should the server have gone,
	// that memory has to be released within 4 s, by the users' rules; on a day with
	// crashes one host waited 4.0 s and kept it for 4,033 ms.
	sharedSilence = 3 * time.Second
	// sharedLook lies between two looks after that, and sharedMisses in a row give
	// the server up: on a link that loses packets one may miss a server that lives.
	sharedLook   = 500 * time.Millisecond
	sharedMisses = 2
)

// alarm rings when a server has said nothing for too long.
type alarm struct {
	quiet time.Duration
	more  func(silent time.Duration) time.Duration // of the silence that is explained beside quiet
	ring  func()

	mu    sync.Mutex
	timer *time.Timer
	last  time.Time
	off   bool
}

func (a *alarm) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = time.Now()
	a.timer = time.AfterFunc(a.quiet, a.look)
}

// heard notes that the server has said something.
func (a *alarm) heard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = time.Now()
}

func (a *alarm) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.off = true
	a.timer.Stop()
}

// look rings, or looks again when the silence would be too long.
func (a *alarm) look() {
	bound := a.quiet
	a.mu.Lock()
	silent := time.Since(a.last)
	a.mu.Unlock()
	if silent >= bound {
		bound += a.more(silent)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.off {
		return
	}
	if silent = time.Since(a.last); silent >= bound {
		a.off = true
		go a.ring()
		return
	}
	a.timer.Reset(bound - silent)
}

// silence is how long a server may say nothing before the call is tried at
// another, where that is allowed.
func silence(c *call, p schedule.Placement) time.Duration {
	if !c.route.Resumable() {
		return time.Hour
	}
	if c.route.Kind != site.Stream {
		return max(silenceObjectives*c.route.Objective, minSilence/2)
	}
	return max(minSilence, silenceGaps*c.route.Gap, 2*p.FirstToken+minSilence/2)
}

// firstLook is after how much silence it is looked whether it is explained.
func firstLook(c *call, p schedule.Placement) time.Duration {
	if len(p.MemoryShares) > 0 {
		return min(silence(c, p), sharedSilence)
	}
	return silence(c, p)
}

// explained returns what tells how much of a server's silence is explained: by the
// prompts that it has to read, or since it has begun to answer others meanwhile. Then
// it lives, and the silence counts from that time, up to two objectives later. Engines
// read parts of shared prompts ahead of what came before, so a prompt may wait for
// what isn't there yet when it is placed. Of some hundred prompts of over 100,000
// tokens on a day of 72 hosts, eight were taken away from engines that lived, to be
// read from the beginning elsewhere; without that the mean worth of ten plays went
// from 0.765 to 0.777.
func (g *Gateway) explained(c *call, s State, p schedule.Placement, server backend.Server) func(silent time.Duration) time.Duration {
	service, _ := s.Config.Service(p.Service)
	quiet, look := silence(c, p), firstLook(c, p)
	longest := servingObjectives * c.route.Objective // the call's route may change meanwhile
	shared, missed := len(p.MemoryShares) > 0, 0
	return func(silent time.Duration) time.Duration {
		if service.Engine == nil {
			return 0
		}
		if missed++; !shared || g.lives(server) {
			missed = 0
		}
		if missed >= sharedMisses {
			return 0
		}
		now := g.clock.Now()
		more := time.Duration(explainedPart * float64(g.board.PredictPause(now, service.Engine, server)))
		if ago, known := g.board.SinceFirstToken(server.ID, now); known {
			more = max(more, min(silent-ago, longest))
		}
		if shared {
			return min(quiet-look+more, silent-look+sharedLook)
		}
		return more
	}
}

// lives reports whether a server takes connections.
func (g *Gateway) lives(s backend.Server) bool { return g.probe(s) == nil }
