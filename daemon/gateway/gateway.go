// Package gateway serves callers' requests: it finds the route of a request, checks its
// key, places it on a backend server and forwards the answer.
//
// The status of an answer never claims that a request was not run if it may have been.
// The statuses 408, 421, 429 and 503 mean that the request was not run and won't be;
// a request that may have run gets another one. A request that may run only once is sent
// once. A request that may be repeated is tried on other servers, as long as the route's
// attempts, the retry budget and the time until its deadline allow. A stream that breaks
// is resumed at another server after the last complete event, within the same answer.
//
// # Usage
//
//	g := gateway.New(dialect, watcher.State, pool, scheduler, ...)
//	http.Server{Handler: g, ConnContext: gateway.ConnContext}
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/grant"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/reach"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/memory"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
)

type (
	// State is the configuration and the server list that requests are served by.
	State struct {
		Config  *site.Config
		Servers *backend.View
		// CellServers are the ready servers that this host uses, by service. Of a
		// service that isn't a key, this host uses all ready servers.
		CellServers map[string][]backend.Server
	}

	// Freshness reports how current the configuration and the server list are.
	Freshness struct {
		// KeysTrusted reports whether callers may be served by the configuration's keys.
		KeysTrusted func() bool
		// ConfigCurrent reports whether no newer configuration should be in force by now.
		ConfigCurrent func() bool
		// ConfigAge returns an upper bound on the time since the configuration was last
		// proven to be the newest; 0 if it never was.
		ConfigAge func() time.Duration
		// ServersAge returns an upper bound on the time since the server list was
		// complete; 0 if it never was.
		ServersAge func() time.Duration
	}

	// Gateway is an HTTP handler. It is safe for concurrent use.
	Gateway struct {
		dialect            Dialect
		state              func() State
		freshness          Freshness
		scarcity           Scarcity
		scarceServices     map[string]bool // as last logged; used by UpdatePrices only
		pool               *upstream.Pool
		scheduler          *schedule.Scheduler
		budget             *limit.RetryWindow
		log                *decision.Log
		metrics            *telemetry.Metrics
		hall               string
		regions            map[string]string // by data hall
		clock              *boottime.Clock
		stop               atomic.Pointer[stop]
		answerTimes        *answerTimes
		progresses         *progresses
		stoppingPeers      *stoppingPeers
		memory             *memory.Reserver // nil: no memory can be reserved
		buffers            *buffers
		shareRefusals      *shareRefusals
		exchanges          *exchanges
		reach              *reach.Tracker
		pathStates         pathStates
		pathChecks         pathChecks // by service
		serverChecks       pathChecks // by server ID
		serverGroups       atomic.Pointer[serverGroups]
		delegation         *Delegation  // nil: calls are not delegated
		servedVersion      atomic.Int64 // the newest configuration by which a call was handled elsewhere
		quarantine         *quarantine.Registry
		parts              *quarantine.Registry // of prompts
		partGates          *partGates
		notices            *notice.Registry
		roster             *quarantine.Roster // used by Maintain only, like rosterView
		rosterView         *backend.View
		crashProbes        *probeTimes
		otherHosts         func() []quarantine.Host // as listed by the platform
		probes             singleflight.Group       // by server address
		suspectsChanged    func()
		onPlaced           func(schedule.Placement)
		onStarted, onEnded func(schedule.ID)
		onServerFailure    func(server string)
		noticeSender       NoticeSender
		takeGrant          func(ctx context.Context, s backend.Server) (bool, time.Duration)
		payRetry           func(ctx context.Context, service string, now time.Time) (limit.Balance, bool)
	}

	// NoticeSender sends what backend servers have reported about themselves to other
	// hosts.
	NoticeSender struct {
		// SendLimit sends the changed limit of a server, and SendLeaving that a server
		// is leaving.
		SendLimit   func(server string, l notice.Limit)
		SendLeaving func(server string)
	}

	// Option configures a Gateway.
	Option func(*Gateway)
)

// WithFreshness sets how the age of the configuration and of the server list is
// determined. Without it, both always count as current.
func WithFreshness(f Freshness) Option { return func(g *Gateway) { g.freshness = f } }

// WithHall sets the data hall of this host.
func WithHall(h string) Option { return func(g *Gateway) { g.hall = h } }

// WithRegions sets the region of each data hall, for routes and workspaces that are
// restricted to regions.
func WithRegions(byHall map[string]string) Option { return func(g *Gateway) { g.regions = byHall } }

// WithPlacementHooks sets functions that are called when a call is placed, when its
// first event arrives, and when the placement ends.
func WithPlacementHooks(placed func(schedule.Placement), started, ended func(schedule.ID)) Option {
	return func(g *Gateway) { g.onPlaced, g.onStarted, g.onEnded = placed, started, ended }
}

// WithServerFailureHook sets a function that is called when this host starts to avoid a
// server because of failures.
func WithServerFailureHook(failed func(server string)) Option {
	return func(g *Gateway) { g.onServerFailure = failed }
}

// WithQuarantine sets the registry of requests that were running when servers crashed,
// and a function that is called when this host has changed it.
func WithQuarantine(r *quarantine.Registry, changed func()) Option {
	return func(g *Gateway) { g.quarantine, g.suspectsChanged = r, changed }
}

// WithNotices sets the registry of what servers report about themselves, and the sender
// that forwards changes to other hosts.
func WithNotices(r *notice.Registry, s NoticeSender) Option {
	return func(g *Gateway) { g.notices, g.noticeSender = r, s }
}

// WithGrants sets the function that requests grants for rate-limited servers. If it
// returns false, the server accepts no request now, but is expected to after the
// returned time. Without this option the gateway grants by itself, from local buckets.
func WithGrants(f func(ctx context.Context, s backend.Server) (bool, time.Duration)) Option {
	return func(g *Gateway) { g.takeGrant = f }
}

// WithRetryPayment sets the function that pays retries, instead of the budget of this host
// alone.
func WithRetryPayment(f func(ctx context.Context, service string, now time.Time) (limit.Balance, bool)) Option {
	return func(g *Gateway) { g.payRetry = f }
}

// WithClock sets the clock for deadlines and expiry times. It also advances while the
// host is suspended.
func WithClock(c *boottime.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithMemory sets the reserver of memory on backend servers. Without it, no memory can
// be reserved.
func WithMemory(r *memory.Reserver) Option { return func(g *Gateway) { g.memory = r } }

// WithBufferBytes sets how many bytes the bodies of all calls together may occupy.
func WithBufferBytes(n int64) Option { return func(g *Gateway) { g.buffers = newBuffers(n) } }

// New returns a gateway that places requests with scheduler, sends them through pool, and
// limits retries by budget.
func New(d Dialect, state func() State, pool *upstream.Pool, scheduler *schedule.Scheduler, budget *limit.RetryWindow,
	log *decision.Log, metrics *telemetry.Metrics, opts ...Option,
) *Gateway {
	always := func() bool { return true }
	zeroAge := func() time.Duration { return 0 }
	g := &Gateway{
		dialect: d, state: state, pool: pool, scheduler: scheduler, budget: budget, log: log, metrics: metrics,
		freshness:       Freshness{KeysTrusted: always, ConfigCurrent: always, ConfigAge: zeroAge, ServersAge: zeroAge},
		scarcity:        defaultScarcity(),
		scarceServices:  map[string]bool{},
		onPlaced:        func(schedule.Placement) {},
		onStarted:       func(schedule.ID) {},
		onEnded:         func(schedule.ID) {},
		onServerFailure: func(string) {},

		exchanges:       newExchanges(),
		progresses:      newProgresses(),
		stoppingPeers:   newStoppingPeers(),
		answerTimes:     newAnswerTimes(),
		reach:           reach.New(),
		quarantine:      quarantine.NewRegistry(),
		parts:           quarantine.NewPartRegistry(),
		partGates:       newPartGates(),
		notices:         notice.NewRegistry(),
		roster:          quarantine.NewRoster(),
		crashProbes:     newProbeTimes(),
		otherHosts:      func() []quarantine.Host { return nil },
		suspectsChanged: func() {},

		clock:         boottime.New(),
		buffers:       newBuffers(defaultBufferBytes),
		shareRefusals: newShareRefusals(),
	}
	buckets := grant.NewBuckets()
	g.takeGrant = func(_ context.Context, s backend.Server) (bool, time.Duration) {
		return buckets.Take(s.ID, g.notices.Limit(s.ID, g.clock.Now()).Rate, g.clock.Now())
	}
	g.payRetry = func(_ context.Context, service string, now time.Time) (limit.Balance, bool) {
		return budget.Spend(service, now, nil)
	}
	g.noticeSender = NoticeSender{SendLimit: func(string, notice.Limit) {}, SendLeaving: func(string) {}}
	for _, o := range opts {
		o(g)
	}
	return g
}

// ServeHTTP implements [http.Handler].
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.handle(w, r, nil) }

// handle serves a call of a caller or, if d is set, one that another host has delegated.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request, d *delegation) {
	now := time.Now()
	p := g.progresses.add(r.Header.Get(g.dialect.AttemptID), d != nil, now)
	if p.conn = connOf(r.Context()); p.late {
		g.logCut(p, false) // its connection is being closed
	}
	defer g.progresses.remove(p)
	defer g.logPanic(p)
	g.setWriteDeadline(w, now.Add(defaultTimeout))
	buffer := &bodyBuffer{buffers: g.buffers}
	defer buffer.release()
	c, refusal := g.readCall(w, r, buffer, now, d)
	if refusal == nil {
		c.progress = p
		p.setRead(c, time.Now())
		g.recognize(c)
		refusal = g.refuseIfBlocked(c)
	}
	if refusal == nil {
		refusal = g.refuseIfPartBlocked(c)
	}
	if refusal == nil {
		refusal = g.refuseStopping(c)
	}
	if refusal == nil {
		refusal = g.refuseDelegated(c, g.state())
	}
	if refusal != nil {
		g.writeRefusalOf(w, p.id, c, refusal)
		return
	}
	g.setWriteDeadline(w, c.deadline)
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	ctx, cancelDeadline := context.WithDeadline(ctx, c.deadline)
	defer cancelDeadline()
	g.serve(ctx, cancel, w, c)
}

// setWriteDeadline bounds writes to the caller. Otherwise a caller that stops reading
// would block its call forever.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	// This fails only if the caller has disconnected, which the next write detects.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeSlack))
}

// writeSlack is the time after a call's deadline in which its last answer must be
// written. It suffices on a host with a fifth of a core.
const writeSlack = time.Second

// serve tries servers until one has answered the call or no further try is allowed.
func (g *Gateway) serve(ctx context.Context, cancel context.CancelCauseFunc, w http.ResponseWriter, c *call) {
	c.progress.setWaiting(cancel)
	for {
		out := g.follow(ctx, w, c)
		c.progress.setWaiting(cancel)
		g.recordAnswerTime(c, out)
		if out.result == answered {
			g.logAnswered(c, out)
			return
		}
		c.lastFailure = out.reason
		if out.result == callerGone {
			g.logEnd(c, resultCallerGone, 0, out)
			panic(http.ErrAbortHandler)
		}
		if !g.mayRetry(ctx, c, out) {
			g.finishFailed(w, c, out)
			return
		}
		g.logRetried(c, out)
	}
}

// mayRetry reports whether a failed try may be followed by another, and spends from the
// retry budget if needed.
func (g *Gateway) mayRetry(ctx context.Context, c *call, out outcome) bool {
	if ctx.Err() != nil || out.result == final {
		return false
	}
	if c.mayHaveRun && !c.route.Resumable() || c.headSent && !(c.route.Kind == site.Stream && c.route.Resume) {
		return false
	}
	if !c.progress.isAllowed(g.mayServe) {
		c.lastFailure += "," + stoppingReason
		return false
	}
	if out.result == unsent {
		if c.unsentTries++; c.unsentTries > maxUnsentTries || g.hopeless(c, out) {
			return false
		}
	} else if c.attempts >= max(c.route.Attempts, 1) {
		c.lastFailure += ",attempts_used"
		return false
	}
	return g.pay(ctx, c)
}

// pay pays for the next send of a call if an earlier one may have reached a server, unless that
// is paid already. It reports whether the call may be sent.
func (g *Gateway) pay(ctx context.Context, c *call) bool {
	if c.sent == 0 || c.paidService != "" {
		return true
	}
	p, ok := g.payFor(ctx, c.route)
	if c.balance = p.balance; !ok {
		c.lastFailure += ",retry_budget_used"
		return false
	}
	c.paidService, c.paidAt = p.service, p.at
	return true
}

// payFor pays for one more send of a call of a route.
func (g *Gateway) payFor(ctx context.Context, r site.Route) (payment, bool) {
	service, asked := r.Pick(rand.Float64()), g.clock.Now()
	balance, ok := g.payRetry(ctx, service, time.Now())
	if !ok {
		g.metrics.Count("gateway_retries_denied", 1, "service", service)
	}
	return payment{service, asked, balance}, ok
}

// pickService returns the service of the next try: the one to which it is paid, if the route
// still has that.
func (c *call) pickService() string {
	if slices.ContainsFunc(c.route.Targets, func(t site.Target) bool { return t.Service == c.paidService && t.Weight > 0 }) {
		return c.paidService
	}
	return c.route.Pick(rand.Float64())
}

// checkPaid reports whether a send to a service is the first of the call or paid. A payment counts
// for a bounded time, since the budget forgets it.
func (g *Gateway) checkPaid(c *call, service string) bool {
	if c.sent == 0 {
		return true
	}
	if c.paidService != service || g.clock.Now()-c.paidAt > g.budget.MaxDelay() {
		c.paidService = ""
		return false
	}
	return true
}

// recordSent records that a send may have reached a server.
func (c *call) recordSent() {
	c.sent, c.paidService, c.partGranted = c.sent+1, "", 0
	c.noteHandBack()
}

// maxUnsentTries bounds the tries of a call of which nothing was sent, because the
// server can't be reached or has no memory. Each may take the dial timeout.
const maxUnsentTries = 4

// usableServers returns the ready servers of a service that this host uses.
func (s State) usableServers(service string) []backend.Server {
	if servers, ok := s.CellServers[service]; ok {
		return servers
	}
	return s.Servers.Ready(service)
}

// placeStage is how the quarantine has a call placed.
type placeStage struct {
	stage    quarantine.Stage
	confined bool                // the workspace is confined to one server
	parts    quarantine.HeadHash // the group of the suspected parts of its prompt, 0 for none
}

// place chooses servers for a call and registers the placement. The calls of a confined
// workspace are isolated on a single server.
func (g *Gateway) place(c *call, s State, stage placeStage) (schedule.Placement, site.Service, *refusalResponse) {
	service, ok := s.Config.Service(c.pickService())
	if !ok {
		return schedule.Placement{}, service, refuse(http.StatusServiceUnavailable, "no_server", busyRetryAfter)
	}
	affinity := uint64(c.headHash)
	switch {
	case stage.parts != 0:
		affinity = uint64(stage.parts)
	case stage.confined && stage.stage < quarantine.Serialized:
		affinity = uint64(quarantine.WorkspaceHash(c.workspace.Name))
	}
	ready := g.homeServers(c, s, service.Name)
	if len(ready) == 0 && c.hasHomes() {
		return schedule.Placement{}, service, refuse(http.StatusServiceUnavailable, "no_server_in_home_regions", busyRetryAfter)
	}
	available, _ := g.notices.Available(g.withinReach(service.Name, ready), g.clock.Now())
	p, ok := g.scheduler.Place(g.clock.Now(), service, available, schedule.Request{
		Work:         c.work,
		Objective:    c.route.Objective - time.Since(c.arrivedAt),
		Waited:       c.waited,
		Gap:          c.route.Gap,
		Workspace:    schedule.HashWorkspace(c.workspace.Name),
		Priority:     c.priority(),
		Returning:    c.returning,
		Hall:         g.hall,
		Avoid:        c.failedServers,
		LeadOnly:     g.notices.LimitedServers(available, g.clock.Now()),
		HeadHash:     affinity,
		Isolated:     stage.confined || stage.stage >= quarantine.Suspect,
		OnlyCopy:     stage.stage >= quarantine.Serialized,
		CopiesFailed: stage.confined || c.copiesFailed,
	})
	if ok {
		return p, service, nil
	}
	ready = excludeFailed(ready, c.failedServers)
	if _, wait := g.notices.Available(ready, g.clock.Now()); wait > 0 {
		return p, service, g.refuseUnavailable(ready, wait)
	}
	if stage.stage >= quarantine.Serialized {
		return p, service, refuse(http.StatusServiceUnavailable, "suspect_waits", isolationRetryAfter)
	}
	return p, service, refuse(http.StatusServiceUnavailable, "no_server", busyRetryAfter)
}

// excludeFailed returns the servers that are not in the excluded set.
func excludeFailed(servers []backend.Server, excluded map[string]bool) []backend.Server {
	if len(excluded) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s backend.Server) bool { return excluded[s.ID] })
}
