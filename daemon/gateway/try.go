package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/memory"
	"slipcrank.example/daemon/upstream"
)

// Results of a try.
const (
	answered   result = iota // the caller has the complete answer
	unsent                   // no byte was sent to the server
	refused                  // the server reports that the request was not run
	failed                   // the request may have run
	final                    // no other server may be tried
	callerGone               // the caller has disconnected
	handedOver               // another server goes on with the stream
)

// Reasons of the ends of tries.
const (
	reasonSilent   = "server_silent"
	reasonPathLost = "path_lost"
	reasonGoesOn   = "server_goes_on"
	reasonLocal    = "no_connections_left" // this host can't open any
)

const (
	// maxRefusalBytes and refusalTimeout bound how much of the answer to a request that was
	// not run is read, and for how long. The connection is reused only if the answer is
	// complete within them.
	maxRefusalBytes = 64 << 10
	refusalTimeout  = 200 * time.Millisecond
	// maxAnswerBytes bounds an answer that isn't a stream, since it is buffered completely:
	// to a tenth of the memory of the smallest hosts. Typical answers have a few KB.
	maxAnswerBytes = 16 << 20
)

// errServerSilent cancels a try whose server has sent nothing for too long.
var errServerSilent = errors.New("backend server has sent nothing for too long")

type (
	result int

	// outcome describes how one try ended.
	outcome struct {
		result       result
		reason       string
		server       string
		service      string
		faultyServer string           // the server that the answer blames, by ID or address
		answer       *bufferedAnswer  // set if the server's answer may be forwarded unchanged
		refusal      *refusalResponse // the answer to the caller if nothing has run
		firstEvent   time.Duration
		// connBroken reports whether the connection broke before the answer was
		// complete.
		connBroken bool
		framing    upstream.Framing // of the server's answer; empty if there was none
		partial    int              // bytes of the event inside of which a stream ended
		err        error            // of the connection, if it failed
		took       time.Duration    // the duration of the try
		isolated   bool             // it ran on a server without other known suspects
	}

	// bufferedAnswer is a server's answer.
	bufferedAnswer struct {
		status   int
		header   http.Header
		body     []byte
		bodyLost bool // the body is not complete, so the answer can't be forwarded
	}
)

// try places the call and sends it once.
func (g *Gateway) try(ctx context.Context, w http.ResponseWriter, c *call) outcome {
	g.awaitConfirmation(ctx, c)
	s := g.state()
	if refusal := g.authorize(c, s); refusal != nil {
		return outcome{result: final, reason: refusal.reason, refusal: refusal}
	}
	stage := g.stage(c)
	if stage == quarantine.Blocked {
		refusal := g.refuseIfBlocked(c)
		return outcome{result: final, reason: refusal.reason, refusal: refusal}
	}
	confined, paused := g.isConfined(c)
	if paused {
		return outcome{result: final, reason: "workspace_ends_servers", refusal: refuse(http.StatusServiceUnavailable, "workspace_ends_servers", confinedRetryAfter)}
	}
	if peer, ok := g.pickPeer(c, s); ok {
		return g.delegate(ctx, w, c, s, peer)
	}
	g.count(c)
	part, refusal := g.awaitParts(ctx, c)
	if refusal != nil {
		return outcome{result: final, reason: refusal.reason, refusal: refusal}
	}
	s = g.state() // the call may have waited
	p, service, refusal := g.placeWithGrant(ctx, c, s, placeStage{max(stage, part.Stage), confined, part.Group})
	if refusal != nil {
		return outcome{result: final, reason: refusal.reason, server: p.Lead, refusal: refusal}
	}
	defer g.scheduler.RecordEnd(p.ID)
	server, _ := s.Servers.Get(p.Lead)
	p.Retry = c.sent > 0
	p.Counted = c.demandCounted
	c.demandCounted = true
	g.CountPlacement(p)
	g.onPlaced(p)
	defer g.onEnded(p.ID)
	reservation, err := g.reserveMemory(ctx, s, p)
	if err != nil {
		if c.avoidRefusing(s, p, err); !errors.HasType(err, (*memory.RefusedError)(nil)) {
			c.unreached++
			g.checkPath(service.Name)
		}
		return outcome{result: unsent, reason: "memory_not_held", server: p.Lead, service: service.Name}
	}
	if reservation != nil {
		defer reservation.Release()
	}
	began := g.clock.Now()
	out := g.send(ctx, w, c, s, p, server)
	out.took = g.clock.Now() - began
	out.server, out.service, out.isolated = p.Lead, service.Name, p.Isolated
	g.recordResult(c, p, server, out)
	return out
}

// placeWithGrant places the call, and acquires a grant if the lead is rate-limited. If
// a grant is denied, another server is chosen. If all limits are exhausted, or after
// maxGrantRequests denials, the call waits for the next request that a limit allows, if that
// is soon enough, and is refused otherwise.
func (g *Gateway) placeWithGrant(ctx context.Context, c *call, s State, stage placeStage) (schedule.Placement, site.Service, *refusalResponse) {
	end := time.Now().Add(time.Duration(grantPatience * float64(c.route.Objective-time.Since(c.arrivedAt))))
	for {
		p, service, refusal := g.tryGrants(ctx, c, s, stage)
		if refusal == nil || refusal.available == 0 || refusal.available > time.Until(end) || pause.For(ctx, refusal.available) != nil {
			return p, service, refusal
		}
	}
}

// tryGrants places the call on up to maxGrantRequests servers, until one grants it. If none
// does, the refusal has the time until a limit allows the next request.
func (g *Gateway) tryGrants(ctx context.Context, c *call, s State, stage placeStage) (schedule.Placement, site.Service, *refusalResponse) {
	shortest := time.Duration(math.MaxInt64)
	for n := 0; ; n++ {
		p, service, refusal := g.place(c, s, stage)
		if refusal != nil {
			return p, service, refusal
		}
		g.logPlaced(c, s, p)
		if refusal = g.refuseIfNoMemory(c, p, service); refusal == nil {
			refusal = g.admit(c, p)
		}
		if refusal != nil {
			g.scheduler.RecordEnd(p.ID)
			return p, service, refusal
		}
		wait, ok := g.acquireGrant(ctx, c, s, p)
		if ok {
			return p, service, nil
		}
		g.scheduler.RecordEnd(p.ID)
		shortest = min(shortest, wait)
		if n+1 >= maxGrantRequests {
			refusal = refuse(http.StatusServiceUnavailable, "server_limits", max(wait, otherHostRetryAfter))
			refusal.available = shortest
			return p, service, refusal
		}
	}
}

// refuseIfNoMemory refuses a call whose prompt doesn't fit into one engine, if the
// engines of its service don't have enough free memory together.
func (g *Gateway) refuseIfNoMemory(c *call, p schedule.Placement, service site.Service) *refusalResponse {
	if p.Fits || service.Engine == nil || c.work.Prompt <= service.Engine.Memory {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "no_memory", memoryRetryAfter)
}

// reserveMemory reserves memory on the helpers that need to store parts of the prompt.
func (g *Gateway) reserveMemory(ctx context.Context, s State, p schedule.Placement) (*memory.Reservation, error) {
	if len(p.MemoryShares) == 0 || g.memory == nil {
		return nil, nil
	}
	shares := make([]memory.Share, 0, len(p.MemoryShares))
	for _, share := range p.MemoryShares {
		b, _ := s.Servers.Get(share.Server)
		shares = append(shares, memory.Share{Addr: b.Addr, Tokens: share.Tokens})
	}
	return g.memory.Reserve(ctx, reservationID(p.ID), shares)
}

// avoidRefusing keeps servers that did not reserve memory from further tries of the call.
// They may look less loaded than those that would.
func (c *call) avoidRefusing(s State, p schedule.Placement, err error) {
	var refused *memory.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	for _, share := range p.MemoryShares {
		if server, ok := s.Servers.Get(share.Server); ok && slices.Contains(refused.Addrs, server.Addr) {
			c.failedServers[share.Server] = true
		}
	}
}

// reservationID returns the ID of a placement's memory reservations.
func reservationID(id schedule.ID) string { return fmt.Sprintf("%x-%x", id.Host, id.Number) }

// recordResult records whether the server answered or failed. A call that ran out of
// time, or that this host was no longer allowed to send, doesn't count as its failure.
func (g *Gateway) recordResult(c *call, p schedule.Placement, server backend.Server, out outcome) {
	now := g.clock.Now()
	var backoff time.Duration
	switch {
	case out.result == answered:
		g.scheduler.RecordAnswer(p.Service, p.Lead, false, now)
		g.clearSuspect(c)
		g.clearParts(c)
		return
	case out.result == callerGone, out.result == final, out.result == handedOver:
		return
	}
	blamed := p.Lead
	if s, ok := g.state().Servers.Find(out.faultyServer); ok && out.faultyServer != "" {
		blamed = s.ID
	}
	c.failedServers[blamed] = true
	switch {
	case out.reason == "no_open_connection":
		c.unreached++
		return
	case out.reason == "not_allowed", out.reason == "out_of_time", out.reason == reasonLocal, !time.Now().Before(c.deadline):
		return
	case out.result == failed && out.answer != nil:
		backoff = g.scheduler.RecordAnswer(p.Service, blamed, true, now)
	default:
		backoff = g.scheduler.RecordFailure(blamed, now)
	}
	g.recordPathFailure(c, server, out)
	if c.connBroken = out.connBroken; out.connBroken {
		c.copiesFailed = c.copiesFailed || g.scheduler.CopyCount(uint64(c.headHash)) > 1
		g.findCrash(c, server, p.Helpers, out)
	}
	if backoff > 0 {
		if g.mayBlame(blamed, out) {
			g.onServerFailure(blamed)
		}
		g.log.Write(event.ServerAvoided, slog.String("id", c.id), slog.String("server", blamed),
			slog.String("why", out.reason), slog.Duration("rest", backoff))
	}
}

// send sends the call to the lead of its placement and forwards the answer. It also
// determines whether the caller has disconnected or the call ran out of time.
func (g *Gateway) send(parent context.Context, w http.ResponseWriter, c *call, s State, p schedule.Placement, server backend.Server) outcome {
	out := g.sendWatched(parent, w, c, s, p, server)
	switch {
	case out.result == answered:
	case isStopping(parent):
		out = stopped(out)
	case errors.Is(parent.Err(), context.Canceled):
		out.result, out.reason = callerGone, "caller_gone"
	case parent.Err() != nil:
		out.reason, out.connBroken = "out_of_time", false
	}
	return out
}

// sendWatched sends the call and forwards the answer, and cancels both if the server is
// silent or was restarted, or if the deadline passed during a suspension.
func (g *Gateway) sendWatched(parent context.Context, w http.ResponseWriter, c *call, s State, p schedule.Placement, server backend.Server) outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	x := newExchange(server, c.bootDeadline, c.route.Resumable(), g.clock.Now(), cancel)
	c.exchange = x
	x.handOver, x.pending = g.handoverOf(parent, w, c, p, server), c.handover
	x.work.Lock()
	defer x.finish()
	g.exchanges.add(x)
	defer g.exchanges.remove(x)
	if c.headSent {
		x.setHeadSent()
	}
	timer := &silenceTimer{
		timeout: firstSilenceCheck(c, p), extension: g.silenceExtension(c, s, p, server),
		mayExpire: silenceMayExpire(c), onExpire: func() { cancel(errServerSilent) },
	}
	timer.start()
	defer timer.stop()
	check := time.AfterFunc(pathCheckDelay(p), func() { g.checkSilentPath(x) })
	defer check.Stop()
	out := g.sendAndForward(ctx, w, c, s, p, server, timer)
	if out.result == failed && errors.Is(context.Cause(ctx), errPastDeadline) {
		out.reason, out.connBroken = "out_of_time", false
	}
	if out.result == failed && errors.Is(context.Cause(ctx), errServerRestarted) {
		out.reason, out.connBroken = "server_restarted", true
	}
	if out.result == failed && errors.Is(context.Cause(ctx), errPathLost) {
		out.reason, out.connBroken = reasonPathLost, false
		c.returnAttempt()
	}
	if out.result == failed && errors.Is(context.Cause(ctx), errServerSilent) {
		out.reason, out.connBroken = reasonSilent, false
		c.freshConn = true
		g.pool.CloseIdle(server.Addr)
	}
	return out
}

// sendAndForward sends the call and forwards the answer, as a stream or as a whole.
func (g *Gateway) sendAndForward(ctx context.Context, w http.ResponseWriter, c *call, s State, p schedule.Placement,
	server backend.Server, timer *silenceTimer,
) outcome {
	var a *upstream.Answer
	var err error
	r := g.buildRequest(c, s, p)
	if !c.exchange.await(func() { a, err = g.pool.Send(ctx, server.Addr, r) }) {
		if err == nil {
			a.Close()
		}
		return outcome{result: handedOver}
	}
	if err != nil {
		return g.sendFailure(c, server, err)
	}
	defer a.Close()
	c.exchange.setHeard(g.clock.Now())
	g.recordAnswer(server, a)
	g.applyNotices(c, server, a)
	c.attempts++
	c.recordSent()
	if g.reportsNotRun(a.Status, a.Header) {
		return g.notRun(c, a)
	}
	c.mayHaveRun = true
	g.refuteCrash(c, server)
	return g.forward(w, c, a, timer, g.serverHooks(c, p, c.exchange), g.collect)
}

// forward forwards an answer, as a stream or by the given function as a whole.
func (g *Gateway) forward(w http.ResponseWriter, c *call, a *upstream.Answer, timer *silenceTimer, hooks relayHooks,
	collect func(http.ResponseWriter, *call, *upstream.Answer) outcome,
) outcome {
	var out outcome
	switch {
	case c.route.Kind == site.Stream && hasEvents(a):
		out = g.relay(w, c, a, timer, hooks)
	case c.headSent: // only events continue a stream
		out = outcome{result: failed, reason: "no_stream"}
	default:
		out = collect(w, c, a)
	}
	out.framing = a.Framing
	return out
}

// sendFailure converts an error of sending a call or of the head of its answer to an outcome.
func (g *Gateway) sendFailure(c *call, server backend.Server, err error) outcome {
	out := g.failure(c, err, "send")
	if errors.Is(err, upstream.ErrInvalidAnswer) {
		g.recordHeard(server)
		g.logInvalidAnswer(c, server, err)
		out.reason = "invalid_answer" // the server may be about to crash, so it is probed as after a broken connection
	}
	return out
}

// failure converts an error of the given phase to an outcome.
func (g *Gateway) failure(c *call, err error, phase string) outcome {
	switch {
	case errors.Is(err, errStopping):
		return stopped(outcome{})
	case errors.Is(err, errNotAllowed):
		return outcome{result: unsent, reason: "not_allowed"}
	case errors.Is(err, upstream.ErrNoOpenConnection):
		return outcome{result: unsent, reason: "no_open_connection"}
	case upstream.NotSent(err) && upstream.LocalError(err):
		return outcome{result: unsent, reason: reasonLocal, err: err}
	case upstream.NotSent(err):
		return outcome{result: unsent, reason: "not_reached", err: err}
	}
	c.mayHaveRun = true
	if phase == "send" {
		c.attempts++
		c.recordSent()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return outcome{result: failed, reason: phase + "_timeout", err: err}
	}
	return outcome{result: failed, reason: phase + "_broken", connBroken: true, err: err}
}

// notRun reads an answer that reports that the request was not run.
func (g *Gateway) notRun(c *call, a *upstream.Answer) outcome {
	body, whole := a.ReadShort(maxRefusalBytes, refusalTimeout, c.buffer.readAll)
	return outcome{
		result:       refused,
		reason:       "refused_" + strconv.Itoa(a.Status),
		faultyServer: a.Header.Get(g.dialect.FaultyServer),
		answer:       &bufferedAnswer{status: a.Status, header: a.Header, body: body, bodyLost: !whole},
	}
}

// readAnswer reads an answer completely. It returns an error if the connection fails, and
// an outcome that isn't answered if the answer can't be buffered.
func (g *Gateway) readAnswer(c *call, a *upstream.Answer) (outcome, error) {
	body, err := c.buffer.readAnswer(a.Addr(), io.LimitReader(a.Body, maxAnswerBytes+1))
	switch {
	case errors.Is(err, errBuffersFull):
		g.metrics.Count("gateway_buffers_full", 1, "body", "answer")
		return outcome{result: final, reason: "no_buffer_memory"}, nil
	case errors.Is(err, errServerShareFull):
		g.metrics.Count("gateway_buffers_full", 1, "body", "answers_of_one_server")
		return outcome{result: failed, reason: "answer_too_large", err: errors.Mark(err, upstream.ErrInvalidAnswer)}, nil
	case err != nil:
		return outcome{}, err
	case len(body) > maxAnswerBytes:
		return outcome{result: failed, reason: "answer_too_large", err: upstream.ErrInvalidAnswer}, nil
	}
	a.Finish()
	return outcome{result: answered, answer: &bufferedAnswer{status: a.Status, header: a.Header, body: body}}, nil
}

// collect reads an answer completely, and forwards it unless it is a failure.
func (g *Gateway) collect(w http.ResponseWriter, c *call, a *upstream.Answer) outcome {
	out, err := g.readAnswer(c, a)
	switch {
	case err != nil:
		return g.failure(c, err, "answer")
	case out.result != answered:
		return out
	}
	if a.Status >= http.StatusInternalServerError || meansNotRun(a.Status) {
		out.result, out.reason = failed, "status_"+strconv.Itoa(a.Status)
		return out
	}
	g.forwardAnswer(w, c, out)
	return out
}

// forwardAnswer sends a server's answer to the caller unchanged.
func (g *Gateway) forwardAnswer(w http.ResponseWriter, c *call, out outcome) {
	g.closeIfStopping(w)
	copyHeaders(w, out.answer.header)
	g.setReport(w, c, originServer)
	w.Header().Set("Content-Length", strconv.Itoa(len(out.answer.body)))
	w.WriteHeader(out.answer.status)
	if _, err := w.Write(out.answer.body); err != nil {
		g.logEnd(c, resultWriteFailed, out.answer.status, out)
	}
	if out.result != answered {
		g.logEnd(c, "passed_failure", out.answer.status, out)
	}
}

// copyHeaders copies the headers of a server's answer to the caller's answer.
func copyHeaders(w http.ResponseWriter, h http.Header) {
	closing := w.Header().Get("Connection")
	for k, vs := range forwardedHeaders(h) {
		w.Header()[k] = vs
	}
	if closing != "" {
		w.Header().Set("Connection", closing)
	}
	if h.Get("Content-Type") == "" {
		w.Header()["Content-Type"] = nil // keeps net/http from guessing it
	}
	if h.Get("Date") == "" {
		w.Header()["Date"] = nil
	}
}
