package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/reach"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/upstream"
)

const (
	// maxDelegations bounds the hosts to which one call is delegated in turn.
	maxDelegations = 3
	// silentHostTimeout is how long a host may send nothing on a delegated call before it
	// is checked whether the host is alive, and hostCheckInterval the time between checks.
	silentHostTimeout = 2 * time.Second
	hostCheckInterval = 500 * time.Millisecond
)

// errHostGone cancels a delegated call whose host has fallen silent.
var errHostGone = errors.New("host that serves the call is gone")

type (
	// Delegation has other hosts serve calls that this host can't, since it has no path
	// to the servers.
	Delegation struct {
		// Pool opens connections to other hosts.
		Pool *upstream.Pool
		// Peers returns other hosts that have a path to the servers of the services, in
		// the order in which they are to be asked.
		Peers func(services []string) []reach.Peer
		// Alive reports whether a start of a host has sent messages recently.
		Alive func(number uint32) bool
		// Lost reports whether a start of a host has no path to the servers of a service.
		Lost func(number uint32, service string) bool
		// PathChanged is called when the services to whose servers this host has no path
		// have changed.
		PathChanged func()
	}
)

// WithDelegation sets how calls are delegated to other hosts. Without it, none are.
func WithDelegation(d Delegation) Option { return func(g *Gateway) { g.delegation = &d } }

// pickPeer returns the host to which a call has to be delegated, and false if this host
// serves the call itself.
func (g *Gateway) pickPeer(c *call, s State) (reach.Peer, bool) {
	if g.delegation == nil || c.delegated != nil || len(c.delegations) >= maxDelegations {
		return reach.Peer{}, false
	}
	if !g.needsPeer(c, s) {
		return reach.Peer{}, false
	}
	for _, p := range g.stoppingPeers.last(g.delegation.Peers(c.services())) {
		if !c.delegations[p.Number] {
			return p, true
		}
	}
	return reach.Peer{}, false
}

// needsPeer reports whether another host has a better chance to serve a call: one with a
// path, or one with a configuration as new as that by which a call of this host was
// served. A path that is in doubt is not tried twice, and not at all while no server of
// any service is heard.
func (g *Gateway) needsPeer(c *call, s State) bool {
	if s.Config.Version() < g.servedVersion.Load() {
		return true
	}
	allUnheard := g.reach.AllUnheard(g.clock.Now())
	for _, service := range c.services() {
		switch g.pathState(service) {
		case reach.Lost:
			g.checkPath(service)
			return true
		case reach.Closed, reach.Doubtful:
			if c.unreached > 0 || allUnheard {
				return true
			}
		case reach.Sound:
		}
	}
	return false
}

// hopeless reports whether a call has waited in vain for a server, neither this host nor
// another has a path to one, and more tries would only wait again.
func (g *Gateway) hopeless(c *call, out outcome) bool {
	if g.delegation == nil || out.took < unheardTimeout || len(g.delegation.Peers(c.services())) > 0 {
		return false
	}
	return !slices.ContainsFunc(c.services(), func(s string) bool { return g.pathState(s) != reach.Lost })
}

// usesOpenConnections reports whether a call may be sent to a service on open connections
// only. If new ones fail, opening one may take a whole dial timeout, and another host serves
// the call sooner.
func (g *Gateway) usesOpenConnections(c *call, service string) bool {
	return g.delegation != nil && c.delegated == nil && !c.freshConn && g.pathState(service) == reach.Closed &&
		len(g.delegation.Peers(c.services())) > 0
}

// services returns the services that may serve the call.
func (c *call) services() []string {
	var names []string
	for _, t := range c.route.Targets {
		names = append(names, t.Service)
	}
	return names
}

// delegate has another host serve the call, and forwards its answer.
func (g *Gateway) delegate(ctx context.Context, w http.ResponseWriter, c *call, s State, to reach.Peer) outcome {
	c.delegations[to.Number] = true
	began := g.clock.Now()
	out := g.sendToPeer(ctx, w, c, s, to)
	out.took, out.server, out.service = g.clock.Now()-began, to.Addr, site.HeaviestService(c.route.Targets)
	switch {
	case out.result == answered:
	case isStopping(ctx):
		out = stopped(out)
	case errors.Is(ctx.Err(), context.Canceled):
		out.result, out.reason = callerGone, "caller_gone"
	case ctx.Err() != nil:
		out.reason = "out_of_time"
	}
	g.metrics.Count("gateway_delegated", 1, "result", out.reason)
	g.log.Write(event.RequestDelegated, slog.String("id", c.id), slog.String("same", c.headHash.String()), slog.String("to", to.Addr),
		slog.Bool("answered", out.result == answered), slog.String("why", out.reason), slog.Duration("took", out.took))
	return out
}

// sendToPeer sends the call to another host and forwards the answer.
func (g *Gateway) sendToPeer(parent context.Context, w http.ResponseWriter, c *call, s State, to reach.Peer) outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	var begun atomic.Bool // the other host has sent a part of the answer
	resumed, pending := c.headSent, c.handover
	timer := &silenceTimer{
		timeout: silentHostTimeout, onExpire: func() { cancel(errHostGone) },
		// A stream isn't resumed after that, and some callers may not repeat the call. If the
		// host is gone, the connection breaks.
		mayExpire: func() bool {
			return !begun.Load() && (!resumed || pending.isPending()) && c.route.Resumable()
		},
		extension: func(silent time.Duration) time.Duration {
			if g.delegation.Alive(to.Number) {
				return silent - silentHostTimeout + hostCheckInterval
			}
			return 0
		},
	}
	timer.start()
	defer timer.stop()
	a, err := g.delegation.Pool.Send(ctx, to.Addr, g.delegatedRequest(c, s, to))
	if errors.Is(err, errStopping) {
		return stopped(outcome{})
	}
	if err != nil && upstream.NotSent(err) {
		return outcome{result: unsent, reason: "host_not_reached", err: err}
	}
	// The other host may use all attempts that are left. Unless it reports how the stream has
	// ended, this host doesn't know how many it has used.
	spent := max(c.attempts, c.route.Attempts, 1)
	if err != nil {
		c.attempts, c.mayHaveRun = spent, true
		return outcome{result: failed, reason: "host_broken", err: err}
	}
	defer a.Close()
	r := parseReport(a.Header.Get(delegationHeader))
	a.Header.Del(delegationHeader)
	g.raiseServedVersion(r.version)
	if r.origin != originServer {
		out := g.refusedByPeer(c, a, r)
		if out.reason == "host_"+stoppingReason {
			g.stoppingPeers.add(to.Number)
		}
		return out
	}
	c.progress.setServer(r.server)
	if server, ok := s.Servers.Get(r.server); ok {
		g.applyNotices(c, server, a) // what this host passes on binds it, too
	}
	attempts := c.attempts
	c.attempts, c.mayHaveRun = spent, true
	a.Body = &delegatedBody{a.Body, a}
	return c.learnEnd(a, attempts, g.forward(w, c, a, timer, relayHooks{first: func() { begun.Store(true) }}, g.collectFromPeer))
}

// collectFromPeer reads an answer that another host has received from a server, and
// forwards it whatever its status: that host has decided that it is final.
func (g *Gateway) collectFromPeer(w http.ResponseWriter, c *call, a *upstream.Answer) outcome {
	out, err := g.readAnswer(c, a)
	if err != nil {
		return outcome{result: failed, reason: "host_broken", err: err}
	}
	if out.result == answered {
		g.forwardAnswer(w, c, out)
	}
	return out
}

// refusedByPeer converts a refusal of another host. If that is due to the state of that
// host only, or can't be read, another one may be tried.
func (g *Gateway) refusedByPeer(c *call, a *upstream.Answer, r report) outcome {
	body, _ := a.ReadShort(maxRefusalBytes, refusalTimeout, c.buffer.readAll) // without it, the reason is unknown
	if r.origin == originUnknown {
		c.mayHaveRun = true
		return outcome{result: final, reason: "host_answer_unreadable"}
	}
	c.attempts = max(c.attempts, r.attempts)
	if r.sent > c.sent {
		c.sent, c.paidService = r.sent, ""
	}
	var parsed refusalBody
	if err := json.Unmarshal(body, &parsed); err != nil || parsed.Error.Kind == "" {
		parsed.Error.Kind = "refused_by_host"
	}
	if r.origin == originHost {
		return outcome{result: unsent, reason: "host_" + parsed.Error.Kind}
	}
	if !meansNotRun(a.Status) && a.Status >= http.StatusInternalServerError {
		c.mayHaveRun = true
	}
	if a.Status == http.StatusBadGateway && strings.HasSuffix(parsed.Error.Kind, stoppingReason) {
		return outcome{result: failed, reason: "host_" + stoppingReason} // its end, not the server's
	}
	after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil || math.IsNaN(after) || after < 0 || after > time.Hour.Seconds() {
		after = 0
	}
	refusal := refuse(a.Status, parsed.Error.Kind, time.Duration(after*float64(time.Second)))
	return outcome{result: final, reason: parsed.Error.Kind, refusal: refusal}
}

// raiseServedVersion records the version of a configuration by which a call of this host
// was handled. Its further calls must not be handled by an older one.
func (g *Gateway) raiseServedVersion(v int64) {
	for {
		old := g.servedVersion.Load()
		if v <= old || g.servedVersion.CompareAndSwap(old, v) {
			return
		}
	}
}

// relayHooks are called for the events of a stream. They may be nil, as may the exchange, from
// which other servers may get the stream.
type relayHooks struct {
	exchange *exchange
	first    func()                    // the first event has arrived
	event    func(pause time.Duration) // an event has arrived, so long after the one before it or the head
}

// serverHooks returns hooks that record the events of a server's stream.
func (g *Gateway) serverHooks(c *call, p schedule.Placement, x *exchange) relayHooks {
	return relayHooks{
		exchange: x,
		first: func() {
			c.firstEventAt, c.partsCleared = time.Now(), false
			g.scheduler.RecordStart(p.ID, g.clock.Now())
			g.onStarted(p.ID)
		},
		event: func(pause time.Duration) {
			x.setHeard(g.clock.Now())
			g.recordHeard(x.server)
			if x.absolve() {
				g.scheduler.ForgetFailures(x.server.ID)
			}
			if !c.partsCleared && !c.firstEventAt.IsZero() && time.Since(c.firstEventAt) > partProofTime {
				c.partsCleared = true
				g.clearParts(c)
			}
			if c.headSent {
				g.scheduler.RecordPass(p.Lead, pause, p.PassTime, g.clock.Now())
			}
		},
	}
}
