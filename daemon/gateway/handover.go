package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/event"
)

// minHandoverInterval is the least time between the begins of two handovers of a stream. A lost path
// asks for one several times a second.
const minHandoverInterval = silenceRecheckInterval / 2

var (
	// errHandedOver cancels an exchange whose stream goes on at another server.
	errHandedOver = errors.New("another server goes on with the stream")
	// errGoesOn cancels a handover whose stream goes on at its present server, or has ended.
	errGoesOn = errors.New("the present server of the stream goes on")
)

type (
	// handover is the attempt to resume a stream at another server while its present one keeps
	// it: neither silence nor a path that seems lost proves that the present server won't go
	// on, and nothing but an event proves that another one will. Whichever sends the next event
	// has the stream, and the other one is canceled.
	handover struct {
		from     *exchange
		outer    *handover // in which the call was sent to the server of from, nil for none
		began    time.Time
		attempts int   // of call when the handover began
		call     *call // the copy of the call that is sent to other servers
		cancel   context.CancelCauseFunc
		done     chan struct{}
		out      outcome // set when done is closed

		// These are changed under the lock of from. Reading claimed needs no lock: who holds locks
		// that all calls need, as a lost path does, must not wait for the work on one of them.
		claimed atomic.Bool // another server has sent an event
		revoked bool        // the present server has sent an event, or the call has ended
	}

	// handoverFunc begins a handover because of what the present server has done.
	handoverFunc func(why outcome)
)

// claim reports whether the events of another server may be forwarded, and if so ends the exchange
// with the present one.
func (h *handover) claim() bool {
	h.from.work.Lock()
	defer h.from.work.Unlock()
	if !h.claimed.Load() && !h.revoked && (h.outer == nil || h.outer.claim()) {
		h.claimed.Store(true)
		h.from.cancel(errHandedOver)
	}
	return h.claimed.Load()
}

// revoke cancels the handover unless another server has the stream. The lock of from must be held.
func (h *handover) revoke() {
	if h != nil && !h.claimed.Load() {
		h.revoked = true
		h.cancel(errGoesOn)
	}
}

// isRunning reports whether the handover hasn't ended.
func (h *handover) isRunning() bool {
	if h == nil {
		return false
	}
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// isClaimed reports whether another server has sent an event.
func (h *handover) isClaimed() bool { return h.claimed.Load() }

// isPending reports whether the present server still has the stream. If it doesn't, a server that
// may get it is given up only for one that has sent an event.
func (h *handover) isPending() bool { return h != nil && !h.claimed.Load() && !h.from.ended.Load() }

// mayForward reports whether a part of the answer of the present try may be sent to the caller.
func (c *call) mayForward() bool { return c.handover == nil || c.handover.claim() }

// forHandover returns a copy of the call that is independent of it.
func (c *call) forHandover(h *handover) *call {
	next := *c
	next.failedServers, next.delegations = maps.Clone(c.failedServers), maps.Clone(c.delegations)
	next.buffer = &bodyBuffer{buffers: c.buffer.buffers}
	next.handover = h
	return &next
}

// learn takes over what a handover that has ended without the stream has used and found out.
func (c *call) learn(h *handover) {
	next := h.call
	next.remember(c)
	c.attempts += next.attempts - h.attempts
	c.sent, c.sends, c.unsentTries, c.unreached = next.sent, next.sends, next.unsentTries, next.unreached
	c.paidService, c.paidAt, c.balance = next.paidService, next.paidAt, next.balance
	c.failedServers, c.delegations = next.failedServers, next.delegations
	c.freshConn, c.copiesFailed, c.attemptReturned = next.freshConn, next.copiesFailed, next.attemptReturned
}

// remember adds what another copy of the call has found out about servers.
func (c *call) remember(other *call) {
	maps.Copy(c.failedServers, other.failedServers)
	c.copiesFailed, c.freshConn = c.copiesFailed || other.copiesFailed, c.freshConn || other.freshConn
	c.unreached = max(c.unreached, other.unreached)
}

// follow makes a try, and waits for the end of the stream if another server has it or may get it.
func (g *Gateway) follow(ctx context.Context, w http.ResponseWriter, c *call) outcome {
	c.exchange = nil
	out := g.try(ctx, w, c)
	if c.exchange == nil {
		return out
	}
	h := c.exchange.end(out.mayContinue())
	if h == nil || out.result == answered {
		return out
	}
	<-h.done // it may still write to the caller, and its sends count
	if !h.claimed.Load() {
		c.learn(h)
		if errors.Is(ctx.Err(), context.Canceled) && !isStopping(ctx) {
			out.result, out.reason = callerGone, "caller_gone"
		}
		return out
	}
	h.call.remember(c)
	next := *h.call
	next.handover, next.buffer = c.handover, c.buffer
	*c = next
	return h.out
}

// mayContinue reports whether another server may go on with the stream after a try: its own has
// failed or turned it away.
func (o outcome) mayContinue() bool {
	switch o.result {
	case failed, refused, unsent, handedOver:
		return true
	}
	return false
}

// end returns the handover of an exchange whose work has ended, nil if there was none. That may
// still get the stream if the server of the exchange has failed.
func (e *exchange) end(mayContinue bool) *handover {
	e.work.Lock()
	defer e.work.Unlock()
	if !mayContinue {
		e.handover.revoke()
	}
	return e.handover
}

// handoverOf returns the function that begins a handover of a stream, unless one is running.
func (g *Gateway) handoverOf(ctx context.Context, w http.ResponseWriter, c *call, p schedule.Placement, server backend.Server) handoverFunc {
	x := c.exchange
	return func(why outcome) {
		x.work.Lock()
		defer x.work.Unlock()
		if x.ended.Load() || x.handover.isRunning() || x.handover != nil && x.handover.claimed.Load() {
			return
		}
		silent := g.clock.Now() - x.lastHeard()
		if silent < unheardTimeout {
			return // the judgment has waited while this host worked on the call, and read nothing
		}
		if x.handover != nil && time.Since(x.handover.began) < minHandoverInterval {
			return
		}
		if x.handover != nil {
			c.learn(x.handover)
		}
		hctx, cancel := context.WithCancelCause(ctx)
		h := &handover{from: x, outer: c.handover, began: time.Now(), cancel: cancel, done: make(chan struct{})}
		h.call = c.forHandover(h)
		h.call.leave(why)
		h.attempts, x.handover = h.call.attempts, h
		why.server, why.service, why.took = server.ID, server.Service, silent
		go func() {
			defer close(h.done)
			defer cancel(nil)
			defer g.recoverHandover(h)
			g.handOver(hctx, w, h, p, server, why)
		}()
	}
}

// recoverHandover recovers from a panic in the goroutine of a handover, which would end the process.
// The call goes on at its present server, or fails.
func (g *Gateway) recoverHandover(h *handover) {
	if r := recover(); r != nil {
		h.out = outcome{result: final, reason: "internal_error"}
		g.log.Write(event.InternalError, slog.String("doing", "hand a stream over"), slog.String("id", h.call.id),
			slog.String("error", fmt.Sprint(r)), slog.String("stack", string(debug.Stack())))
	}
}

// leave records on a copy of a call how its present server has failed.
func (c *call) leave(why outcome) {
	c.mayHaveRun = true
	if !c.exchange.isBegun() {
		c.attempts++
		c.recordSent()
	}
	if why.reason != reasonPathLost {
		c.freshConn = true
		return
	}
	c.returnAttempt()
}

// returnAttempt has the attempt of a server that is cut off no longer count. The path to it may only
// seem lost, and the server go on, so that of a stream that has begun one attempt at most is returned.
func (c *call) returnAttempt() {
	if !c.headSent {
		c.attempts--
	} else if !c.attemptReturned {
		c.attempts--
		c.attemptReturned = true
	}
	c.noteHandBack()
}

// handOver tries other servers until one has sent an event or no further try is allowed.
func (g *Gateway) handOver(ctx context.Context, w http.ResponseWriter, h *handover, p schedule.Placement, server backend.Server, why outcome) {
	began, c, tries := time.Now(), h.call, 0
	defer c.buffer.release()
	if h.from.blame() {
		if why.reason == reasonSilent {
			g.pool.CloseIdle(server.Addr)
		}
		g.recordResult(c, p, server, why)
	}
	h.out, c.lastFailure = why, why.reason
	for !h.isClaimed() && g.hasOtherServer(c) && g.mayRetry(ctx, c, h.out) {
		g.logRetried(c, h.out)
		h.out = g.follow(ctx, w, c)
		c.lastFailure = h.out.reason
		tries++
	}
	result := "handed_over"
	if !h.isClaimed() {
		result = "kept"
		c.progress.setServer(server.ID)
	}
	g.metrics.Count("gateway_handovers", 1, "why", why.reason, "result", result)
	g.log.Write(event.StreamHandover, slog.String("id", c.id), slog.String("route", c.route.Name), slog.String("why", why.reason),
		slog.String("from", server.ID), slog.String("to", h.out.server), slog.String("result", result), slog.Int("tries", tries),
		slog.String("last", c.lastFailure), slog.Int("attempts", c.attempts), slog.Duration("silent", why.took), slog.Duration("took", time.Since(began)))
}

// hasOtherServer reports whether there may be another server for a call, here or at another host.
func (g *Gateway) hasOtherServer(c *call) bool {
	s := g.state()
	if g.authorize(c, s) != nil {
		return false
	}
	if _, ok := g.pickPeer(c, s); ok {
		return true
	}
	return slices.ContainsFunc(c.services(), func(service string) bool {
		others := excludeFailed(g.homeServers(c, s, service), c.failedServers)
		available, _ := g.notices.Available(g.withinReach(service, others), g.clock.Now())
		return len(available) > 0
	})
}
