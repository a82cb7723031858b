// Package entry assembles and runs the daemon of an entry host, which accepts the
// requests of callers and forwards them to backend servers.
//
// # Usage
//
//	e, err := entry.New(settings, entry.Platform{...})
//	err = e.Start(ctx)
//	<-signal
//	e.Stop(ctx)     // drains and stops within the grace period
package entry

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/boottime"
	"slipcrank.example/core/broadcast"
	"slipcrank.example/core/feed"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/gateway"
	"slipcrank.example/daemon/grants"
	"slipcrank.example/daemon/loans"
	"slipcrank.example/daemon/memory"
	"slipcrank.example/daemon/news"
	"slipcrank.example/daemon/relay"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
	"slipcrank.example/daemon/watch"
)

const (
	// idleTimeout closes idle connections of callers. It exceeds the idle time that any
	// configuration allows callers.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the time in which the header of a request must arrive.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of the header of a request.
	maxHeaderBytes = 64 << 10
	// upkeepInterval is the interval at which placements are expired and heartbeats are
	// sent. On every sweepTicks-th tick, idle connections are swept and the grants of
	// servers that are no longer listed are dropped.
	upkeepInterval = 250 * time.Millisecond
	sweepTicks     = 4
	// proofsPerBound is the number of proofs of the configuration that are requested
	// within the time in which a change has to take effect.
	proofsPerBound = 2
	// retryFraction is the fraction of the retry budget that is used: the windows of the hosts
	// don't start at the same time, and packets of retries may be late.
	retryFraction = 0.95
)

type (
	// Platform holds an entry host's dependencies on the platform that it runs on.
	Platform struct {
		Source   feed.Source
		Tables   watch.Tables
		Decoders watch.Decoders
		Dialect  gateway.Dialect
		Orders   memory.Orders
		// Dial opens connections to backend servers. If it is nil, they are TCP
		// connections with the time-outs of [upstream.New].
		Dial func(ctx context.Context, addr string) (net.Conn, error)
	}

	// Entry is the daemon of an entry host.
	Entry struct {
		settings  atomic.Pointer[settings.Entry]
		platform  Platform
		log       *decision.Log
		metrics   *telemetry.Metrics
		watcher   *watch.Watcher
		scheduler *schedule.Scheduler
		pool      *upstream.Pool
		gateway   *gateway.Gateway
		exchange  *news.Exchange
		// quarantine stores the requests that are suspected of crashing servers.
		quarantine *quarantine.Registry
		parts      *quarantine.Registry // of prompts
		// notices stores the limits, backoffs and departures that servers report.
		notices *notice.Registry
		// grants shares the request rates of limited servers with the other hosts.
		grants *grants.Coordinator
		// storeSignal wakes storeSuspects after a change of the suspects, announceSignal
		// wakes announce after the platform has lost rows, and routeSignal wakes upkeep
		// after a change of the other hosts.
		storeSignal, announceSignal chan struct{}
		// restores counts how often the platform has lost rows.
		restores     atomic.Int64
		routeSignal  chan struct{}
		relayClient  *relay.Client
		relayServer  *relay.Server
		callerServer *http.Server
		answering    *answering // connections of callerServer and delegated
		// readinessServer and operatorServer serve until the process stops.
		readinessServer, operatorServer *http.Server
		cancel                          context.CancelFunc
		startNumber                     uint32 // identifies this start of this host
		clock                           *boottime.Clock
		stopping                        atomic.Bool
		keysUnproven                    bool // last state that logProof has seen
		joiner                          *joiner
		paths                           *lostPaths // of other hosts
		delegated                       *http.Server
		sponsor                         *sponsor
		settled                         atomic.Bool // the sources are chosen by this host, not by seeds
		hostCount                       hostCount
		// neighbors are the servers and the other hosts of this host's cell.
		neighbors atomic.Pointer[neighbors]
		// announcedAt is the time since the start at which the platform first stored
		// this host's row, in ns; zero before.
		announcedAt atomic.Int64
	}
)

// New assembles a daemon. The only socket that it opens is the one for updates of other
// hosts.
func New(s settings.Entry, p Platform) (*Entry, error) { return newEntry(s, p, os.Stdout) }

// newEntry does what New does, for a daemon that writes its log to logTo.
func newEntry(s settings.Entry, p Platform, logTo io.Writer) (*Entry, error) {
	e := &Entry{
		platform: p,
		log:      decision.New(logTo, slog.String("host", s.Host)),
		metrics:  telemetry.NewMetrics(),
		clock:    boottime.New(),

		sponsor:        newSponsor(),
		paths:          newLostPaths(),
		answering:      newAnswering(),
		quarantine:     quarantine.NewRegistry(),
		parts:          quarantine.NewPartRegistry(),
		notices:        notice.NewRegistry(),
		storeSignal:    make(chan struct{}, 1),
		announceSignal: make(chan struct{}, 1),
		routeSignal:    make(chan struct{}, 1),
	}
	e.neighbors.Store(&neighbors{cells: 1})
	pool := []upstream.Option{upstream.WithMaxIdle(e.maxIdleConns)}
	if s.Source != "" {
		pool = append(pool, upstream.WithSource(net.ParseIP(s.Source)))
	}
	if p.Dial != nil {
		pool = append(pool, upstream.WithDial(p.Dial))
	}
	e.pool = upstream.New(pool...)
	e.settings.Store(&s)
	e.startNumber = newStartNumber(s.Host, time.Now())
	var err error
	e.scheduler = schedule.New(e.startNumber)
	if e.joiner, err = newJoiner(s.Listen.News, s.Seeds); err != nil {
		return nil, errors.Wrap(err, "parse the addresses of the seeds")
	}
	n, err := news.Listen(s.Listen.News, e.scheduler, e.log, e.clock.Now)
	if err != nil {
		return nil, err
	}
	e.exchange = n
	p.Tables.PollWait = s.Bounds.Config / proofsPerBound
	e.watcher = watch.New(p.Source, p.Tables, p.Decoders, e.log, e.metrics, e.setHosts)
	e.watcher.SetClock(e.clock)
	e.watcher.SetRestoredHandler(e.platformRestored)
	e.watcher.SetIsolation(n.SilentSince)
	e.relayClient = relay.NewClient(e.watcher, e.log, relay.WithLateAfter(s.Bounds.Config/latesPerBound))
	e.relayServer = relay.NewServer(e.watcher, relay.WithKeepalive(s.Bounds.Config/keepalivesPerBound))
	e.grants = grants.New(s.Host, s.Hall, e.notices, n.SendGrantRequest, e.clock.Now)
	budget := limit.NewRetryWindow(s.Bounds.Retries.Span, s.Bounds.Retries.Share*retryFraction, e.extraRetries)
	lender := loans.New(budget, e.lenders, n.SendLoanRequest)
	n.SetLoanHandlers(news.LoanHandlers{
		Request: func(host uint32, q limit.LoanRequest) limit.LoanReply {
			if !e.hostListed(host) {
				return limit.LoanReply{ID: q.ID}
			}
			r := lender.HandleRequest(q)
			e.metrics.Count("retry_loans", 1, "lent", strconv.FormatBool(r.Lent > 0))
			return r
		},
		Reply: func(_ uint32, r limit.LoanReply) { lender.HandleReply(r) },
	})
	opts := []gateway.Option{
		gateway.WithHall(s.Hall),
		gateway.WithRegions(s.Regions),
		gateway.WithClock(e.clock),
		gateway.WithMemory(memory.New(p.Orders, e.log, memory.WithLimiter(e.orderAllowed))),
		gateway.WithFreshness(gateway.Freshness{KeysTrusted: e.keysTrusted, ConfigCurrent: e.configCurrent, ConfigAge: e.proofAge, ServersAge: e.serversAge}),
		gateway.WithPlacementHooks(n.SendPlacement, n.SendStart, n.SendEnd),
		gateway.WithQuarantine(e.quarantine, e.suspectsChanged),
		gateway.WithParts(e.parts),
		gateway.WithHosts(e.witnessHosts),
		gateway.WithServerFailureHook(func(server string) { n.SendFailure(e.startNumber, server) }),
		gateway.WithGrants(e.grants.Take),
		gateway.WithRetryPayment(lender.Spend),
		gateway.WithScarcity(e.scarcity()),
		gateway.WithNotices(e.notices, gateway.NoticeSender{
			SendLimit:   func(server string, l notice.Limit) { n.SendLimit(e.startNumber, server, l) },
			SendLeaving: func(server string) { n.SendLeaving(e.startNumber, server) },
		}),
	}
	if s.Listen.Delegation != "" {
		opts = append(opts, gateway.WithDelegation(gateway.Delegation{
			Pool:  upstream.New(upstream.WithDialTimeout(hostDialTimeout), upstream.WithMaxIdle(func(string) int { return maxIdleToHost })),
			Peers: e.delegationPeers,
			Alive: func(number uint32) bool { return e.hostAlive()(number) },
			Lost: func(number uint32, service string) bool {
				return e.paths.lost(number, []string{service}, e.clock.Now())
			},
			PathChanged: e.sendPath,
		}))
	}
	if s.Memory > 0 {
		opts = append(opts, gateway.WithBufferBytes(int64(s.Memory*gateway.BufferFraction*1e6)))
	}
	e.gateway = gateway.New(p.Dialect, e.gatewayState, e.pool, e.scheduler, budget, e.log, e.metrics, opts...)
	n.SetSuspectsHandler(e.applySuspects)
	n.SetPartsHandler(e.applyParts)
	n.SetRefusalHandler(e.gateway.ReceiveRefusal)
	n.SetPlacementHandler(e.gateway.CountPlacement)
	n.SetPathHandler(func(host uint32, lost []string) { e.paths.set(host, lost, e.clock.Now()) })
	n.SetJoinHandlers(news.JoinHandlers{Refer: e.refer, Source: e.applySource})
	n.SetNoticeHandlers(news.NoticeHandlers{
		GrantRequest: e.grants.HandleRequest, GrantReply: e.grants.HandleReply, Limit: e.applyLimit, Leaving: e.applyLeaving,
		Placement: e.gateway.ReceivePlacement,
	})
	return e, nil
}

// newStartNumber returns a number that distinguishes this start of this host from other
// starts and hosts.
func newStartNumber(name string, start time.Time) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name + start.String())) // never fails
	return h.Sum32()
}

// gatewayState returns the state that the gateway works with.
func (e *Entry) gatewayState() gateway.State {
	s := e.watcher.State()
	return gateway.State{Config: s.Config, Servers: s.Servers, CellServers: e.neighbors.Load().servers}
}

// Start opens the listeners and starts to serve. It returns an error if a listener can't
// be opened. The daemon runs until Stop is called.
func (e *Entry) Start(ctx context.Context) error {
	s := e.settings.Load()
	l := s.Listen
	addrs := []string{l.Callers, l.Readiness, l.Metrics, l.News}
	if l.Delegation != "" {
		addrs = append(addrs, l.Delegation)
	}
	listeners, err := listen(addrs...)
	if err != nil {
		return err
	}
	e.callerServer = e.newServer(e.gateway)
	ctx, e.cancel = context.WithCancel(ctx)
	e.readinessServer = &http.Server{Handler: http.HandlerFunc(e.serveReadiness), ReadHeaderTimeout: headerTimeout}
	e.operatorServer = &http.Server{Handler: e.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	go e.serve(e.callerServer, listeners[0])
	go e.serve(e.readinessServer, listeners[1])
	go e.serve(e.operatorServer, listeners[2])
	go e.serve(e.relayServer, listeners[3])
	if len(listeners) > 4 {
		e.delegated = e.newServer(e.gateway.DelegatedHandler())
		go e.serve(e.delegated, listeners[4])
	}
	e.startJoining()
	e.updateScarcity()
	go e.watcher.Run(ctx)
	go e.exchange.Run()
	go e.announce(ctx)
	go e.writeSponsored(ctx)
	go e.storeSuspects(ctx)
	go e.upkeep(ctx)
	e.log.Write(event.DaemonReady, slog.String("callers", l.Callers), slog.String("hall", s.Hall))
	return nil
}

// newServer returns a server whose requests a planned stop completes.
func (e *Entry) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		IdleTimeout:       idleTimeout,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       gateway.ConnContext,
		ConnState: func(c net.Conn, s http.ConnState) {
			if s != http.StateActive {
				e.gateway.AnswerWritten(c)
			}
			e.answering.track(c, s)
		},
		// The library's own answer to "OPTIONS *" is a success of no server.
		DisableGeneralOptionsHandler: true,
	}
}

// listen opens TCP listeners on the addresses, in their order. If one can't be opened, it
// closes the others.
func listen(addrs ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, a := range addrs {
		l, err := net.Listen("tcp4", a)
		if err != nil {
			for _, o := range open {
				_ = o.Close() // the first error is the one to return
			}
			return nil, errors.Wrapf(err, "listen on %s", a)
		}
		open = append(open, l)
	}
	return open, nil
}

// serve serves on l until s is closed, and logs any other error.
func (e *Entry) serve(s interface{ Serve(net.Listener) error }, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Write(event.InternalError, slog.String("listener", l.Addr().String()), slog.String("error", err.Error()))
	}
}

// serveReadiness answers the health checks of the load balancer, with 200 while this host
// has a configuration, servers and proven keys. Without proven keys this host is cut off
// from the platform, or the platform is down: the balancer then prefers hosts with proven
// keys, and uses this host only if there are none.
func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	s := e.watcher.State()
	if e.stopping.Load() || s.Config == nil || s.Servers.Len() == 0 || !e.keysProven() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics answers with the metrics in the text format of Prometheus.
func (e *Entry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.metrics.Set("log_lines_dropped", e.log.Dropped())
	e.metrics.Set("upstream_connections_opened", e.pool.Opened())
	if age, ok := e.watcher.ConfigAge(); ok {
		e.metrics.Set("config_age_milliseconds", age.Milliseconds())
	}
	if age, ok := e.watcher.ServersAge(); ok {
		e.metrics.Set("servers_age_milliseconds", age.Milliseconds())
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write([]byte(e.metrics.Text())) // fails only if the client has gone
}

// detectSuspension checks whether this host was suspended, and closes the idle connections
// if so: servers have closed them in the meantime, and the packets that say so were lost.
func (e *Entry) detectSuspension() {
	if d := e.clock.Refresh(); d > 0 {
		e.log.Write(event.HostSuspended, slog.Duration("suspended", d))
		e.pool.Sweep(func(string) bool { return false })
	}
}

// upkeep runs the periodic tasks until ctx ends.
func (e *Entry) upkeep(ctx context.Context) {
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	st := sourceState{}
	chooser, routes := broadcast.NewRouteChooser(), broadcast.Routes{}
	contacts := broadcast.NewContacts()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-e.routeSignal:
			routes = e.chooseRoutes(chooser, routes)
			e.sendSuspects(0)
			e.exchange.SendHeartbeat(e.startNumber)
			e.sendRunning(contacts)
			e.updateScarcity()
		case <-tick.C:
			e.detectSuspension()
			e.scheduler.Expire(e.clock.Now())
			e.gateway.Maintain(time.Now())
			e.updateScarcity()
			e.logProof()
			e.chooseSources(&st)
			routes = e.chooseRoutes(chooser, routes)
			e.exchange.SendHeartbeat(e.startNumber)
			e.sendRunning(contacts)
			e.sendSuspects(n)
			if len(e.gateway.LostServices()) > 0 && n%pathTicks == 0 {
				e.sendPath()
			}
			if n++; n%sweepTicks == 0 {
				servers := e.watcher.State().Servers
				e.pool.Sweep(servers.HasAddr)
				e.grants.Retain(func(name string) bool {
					_, ok := servers.Get(name)
					return ok || e.gateway.SuspectsPart(name)
				})
			}
		}
	}
}
