// Package gateway answers callers: it finds the route of each request, checks
// its key, has it placed on a backend server and passes the answer back.
//
// It tells callers the truth about what has happened. A status of 408, 421,
// 429 or 503 says that the request has not run and won't; anything that may
// have run ends otherwise. A request that may run only once is sent once; one
// that may run again is tried elsewhere while the route's attempts, the retry
// budget and its time last. A stream that breaks goes on at another server
// after the last whole event, within the same answer.
//
// # Usage
//
//	g := gateway.New(dialect, watcher.State, pool, board, ...)
//	http.Server{Handler: g}
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/backend"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/grant"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/memory"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
)

type (
	// State is what the gateway decides by: a configuration and the backend
	// servers.
	State struct {
		Config  *site.Config
		Servers *backend.View
		// Near are the ready servers that this host uses, by service; of a
		// service that isn't named it uses all.
		Near map[string][]backend.Server
	}

	// Proof tells how far the configuration can be relied on now.
	Proof struct {
		// Keys reports whether callers may be served by the keys in it.
		Keys func() bool
		// Config reports whether no newer one is due to be in force.
		Config func() bool
		// Age is how long ago, at most, it was proven to be the newest; zero
		// if it never was.
		Age func() time.Duration
		// Servers is how long ago, at most, the list of servers was complete;
		// zero if it never was.
		Servers func() time.Duration
	}

	// Gateway is an HTTP handler. It is safe for use by many goroutines.
	Gateway struct {
		dialect        Dialect
		state          func() State
		proof          Proof
		admission      admission.Policy
		pool           *upstream.Pool
		board          *schedule.Board
		budget         *limit.RetryWindow
		log            *decision.Log
		metrics        *telemetry.Metrics
		hall           string
		clock          *boottime.Clock
		stop           atomic.Pointer[stop]
		active         atomic.Int64
		memory         *memory.Reserver // nil if none can be set aside
		shares         *shares
		exchanges      *exchanges
		quarantine     *quarantine.Registry
		notices        *notice.Registry
		roster         *quarantine.Roster // upkeep's, of the servers listed
		listed         *backend.View
		looks          *looks
		hosts          func() []quarantine.Host // others, by the platform
		probes         singleflight.Group       // of servers, by address
		suspects       func()
		placed         func(schedule.Placement)
		started, ended func(schedule.ID)
		failed         func(server string)
		tell           Tell
		grant          func(ctx context.Context, s backend.Server) (bool, time.Duration)
	}

	// Tell tells other hosts what servers have said to this one.
	Tell struct {
		// Limit tells that a server names another limit, and Leaving that one says it
		// leaves.
		Limit   func(server string, l notice.Limit)
		Leaving func(server string)
	}

	// stop is a planned stop.
	stop struct {
		notice, end time.Time
	}

	// Option changes a gateway under construction.
	Option func(*Gateway)
)

// WithProof sets what tells how far the configuration can be relied on.
func WithProof(p Proof) Option { return func(g *Gateway) { g.proof = p } }

// WithHall sets the data hall of this host.
func WithHall(h string) Option { return func(g *Gateway) { g.hall = h } }

// WithNews sets who is told of placements, of their first tokens and ends.
func WithNews(placed func(schedule.Placement), started, ended func(schedule.ID)) Option {
	return func(g *Gateway) { g.placed, g.started, g.ended = placed, started, ended }
}

// WithEvidence sets who is told of servers that fail this host.
func WithEvidence(failed func(server string)) Option {
	return func(g *Gateway) { g.failed = failed }
}

// WithQuarantine sets what is known of requests under which servers ended, and who
// is told that this host knows more.
func WithQuarantine(b *quarantine.Registry, changed func()) Option {
	return func(g *Gateway) { g.quarantine, g.suspects = b, changed }
}

// WithNotices sets what servers have said of themselves, and who tells others.
func WithNotices(b *notice.Registry, t Tell) Option {
	return func(g *Gateway) { g.notices, g.tell = b, t }
}

// WithGrants sets who grants the requests of servers that name a limit. If a server takes
// none now, it reports false and after how long the server does. A gateway without it
// grants all of them itself.
func WithGrants(f func(ctx context.Context, s backend.Server) (bool, time.Duration)) Option {
	return func(g *Gateway) { g.grant = f }
}

// WithClock sets the clock by which all is timed that may not outlive a suspension
// of the machine.
func WithClock(c *boottime.Clock) Option { return func(g *Gateway) { g.clock = c } }

// WithMemory sets what sets memory of backend servers aside.
func WithMemory(k *memory.Reserver) Option { return func(g *Gateway) { g.memory = k } }

// New returns a gateway.
func New(d Dialect, state func() State, pool *upstream.Pool, board *schedule.Board, budget *limit.RetryWindow,
	log *decision.Log, metrics *telemetry.Metrics, os ...Option,
) *Gateway {
	always := func() bool { return true }
	fresh := func() time.Duration { return 0 }
	g := &Gateway{
		dialect: d, state: state, pool: pool, board: board, budget: budget, log: log, metrics: metrics,
		proof:     Proof{Keys: always, Config: always, Age: fresh, Servers: fresh},
		admission: admission.Default(),
		placed:    func(schedule.Placement) {},
		started:   func(schedule.ID) {},
		ended:     func(schedule.ID) {},
		failed:    func(string) {},

		exchanges:  newExchanges(),
		quarantine: quarantine.NewRegistry(),
		notices:    notice.NewRegistry(),
		roster:     quarantine.NewRoster(),
		looks:      newLooks(),
		hosts:      func() []quarantine.Host { return nil },
		suspects:   func() {},

		clock:  boottime.New(),
		shares: newShares(),
	}
	alone := grant.NewBuckets()
	g.grant = func(_ context.Context, s backend.Server) (bool, time.Duration) {
		return alone.Take(s.ID, g.notices.Limit(s.ID).Rate, g.clock.Now())
	}
	g.tell = Tell{Limit: func(string, notice.Limit) {}, Leaving: func(string) {}}
	for _, o := range os {
		o(g)
	}
	return g
}

// Drain begins a planned stop: each further answer is the last of its
// connection. From the time notice on, requests are refused that may not end
// before the time end.
func (g *Gateway) Drain(notice, end time.Time) { g.stop.Store(&stop{notice, end}) }

// Active returns how many requests are in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	g.boundWrites(w, now.Add(defaultHold))
	c, no := g.read(r, now)
	if no == nil {
		no = g.held(c)
	}
	if no == nil {
		no = g.stopping(c, now)
	}
	if no != nil {
		g.answerRefusal(w, c, no)
		return
	}
	g.boundWrites(w, c.deadline)
	g.budget.AddRequest(c.route.Targets, now)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	g.run(ctx, w, c)
}

// boundWrites ends writes to a caller that has not taken them in by the time
// its answer is due: one that stops reading would hold its call for good.
func (g *Gateway) boundWrites(w http.ResponseWriter, due time.Time) {
	// It fails only if the caller has gone, which the next write tells.
	_ = http.NewResponseController(w).SetWriteDeadline(due.Add(writeSlack))
}

// writeSlack is for an answer that ends a call at its deadline to be written,
// also on a host that gets a fifth of a core.
const writeSlack = time.Second

// stopping refuses a call that may not end before a planned stop does.
func (g *Gateway) stopping(c *call, now time.Time) *refusal {
	s := g.stop.Load()
	if s == nil || now.Before(s.notice) {
		return nil
	}
	if c.route.Kind != site.Stream && now.Add(stopObjectives*c.route.Objective).Before(s.end) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "stopping", staleWait)
}

// stopObjectives is within how many of its objectives a plain call has ended
// almost always.
const stopObjectives = 4

// run tries servers until one has answered the call or it has to be given up.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, c *call) {
	for {
		out := g.try(ctx, w, c)
		if out.result == answered {
			g.done(c, out)
			return
		}
		c.note = out.why
		if out.result == callerGone {
			g.logEnd(c, "caller_gone", 0, out)
			panic(http.ErrAbortHandler)
		}
		if !g.again(ctx, c, out) {
			g.giveUp(w, c, out)
			return
		}
		g.log.Write(event.RequestRetried, slog.String("id", c.id), slog.String("same", c.mark.String()), slog.String("why", out.why),
			slog.String("server", out.server), slog.Int("attempts", c.attempts))
		g.metrics.Count("gateway_retries", 1, "why", out.why)
	}
}

// again decides whether a failed try may be followed by another.
func (g *Gateway) again(ctx context.Context, c *call, out outcome) bool {
	if ctx.Err() != nil || out.result == final {
		return false
	}
	if c.may && !c.route.Resumable() || c.begun && !(c.route.Kind == site.Stream && c.route.Resume) {
		return false
	}
	if out.result == unsent {
		c.unsent++
		return c.unsent <= maxUnsent
	}
	if c.attempts >= max(c.route.Attempts, 1) {
		c.note += ",attempts_used"
		return false
	}
	if !g.budget.Spend(out.service, time.Now()) {
		c.note += ",retry_budget_used"
		return false
	}
	return true
}

// maxUnsent bounds how often nothing leaves for a server, since it can't be
// reached or has no memory; each time may take the dial timeout.
const maxUnsent = 4

// ready returns the servers of a service that this host uses.
func (s State) ready(service string) []backend.Server {
	if near, ok := s.Near[service]; ok {
		return near
	}
	return s.Servers.Ready(service)
}

// place chooses servers for a call, of a workspace that is confined to one of them or
// not.
func (g *Gateway) place(c *call, s State, stage quarantine.Stage, confined bool) (schedule.Placement, site.Service, *refusal) {
	service, ok := s.Config.Service(c.route.Pick(rand.Float64()))
	if !ok {
		return schedule.Placement{}, service, refuse(http.StatusServiceUnavailable, "no_server", busyWait)
	}
	mark := uint64(c.mark)
	if confined && stage < quarantine.Serialized {
		mark = uint64(quarantine.WorkspaceHash(c.workspace.Name))
	}
	ready := s.ready(service.Name)
	open, _ := g.notices.Available(ready, g.clock.Now())
	p, ok := g.board.Place(g.clock.Now(), service, open, schedule.Request{
		Work:      c.work,
		Objective: c.route.Objective - time.Since(c.arrived),
		Gap:       c.route.Gap,
		Workspace: schedule.WorkspaceOf(c.workspace.Name),
		Hall:      g.hall,
		Avoid:     c.tried,
		LeadOnly:  g.notices.LimitedServers(open),
		Mark:      mark,
		Apart:     confined || stage >= quarantine.Suspect,
		Single:    stage >= quarantine.Serialized,
		Copied:    confined || c.copied,
	})
	if ok {
		return p, service, nil
	}
	ready = untried(ready, c.tried)
	if _, wait := g.notices.Available(ready, g.clock.Now()); wait > 0 {
		return p, service, g.shut(ready, wait)
	}
	if stage >= quarantine.Serialized {
		return p, service, refuse(http.StatusServiceUnavailable, "suspect_waits", apartWait)
	}
	return p, service, refuse(http.StatusServiceUnavailable, "no_server", busyWait)
}

// untried returns the servers that have not failed a call.
func untried(servers []backend.Server, tried map[string]bool) []backend.Server {
	if len(tried) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s backend.Server) bool { return tried[s.ID] })
}
