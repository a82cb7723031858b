// Package entry puts the daemon of an entry host together and runs it.
//
// # Usage
//
//	e, err := entry.New(settings, entry.Platform{...})
//	err = e.Start(ctx)
//	<-signal
//	e.Stop(ctx)     // a planned stop within the grace
package entry

import (
	"context"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"os"
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
	"slipcrank.example/daemon/memory"
	"slipcrank.example/daemon/news"
	"slipcrank.example/daemon/relay"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
	"slipcrank.example/daemon/watch"
)

const (
	// idleTime closes connections of callers that rest; above what any
	// configuration lets callers keep them.
	idleTime = 2 * time.Minute
	// headerTime is for the head of a request to arrive.
	headerTime = 10 * time.Second
	// headerBytes bounds the head of a request.
	headerBytes = 64 << 10
	// upkeepPeriod is how often placements are swept and other hosts told that
	// this one is there; connections are swept each sweepEvery times.
	upkeepPeriod = 250 * time.Millisecond
	sweepEvery   = 4
	// proofsWithinBound is how many proofs of the configuration are asked for
	// within the time in which a change has to be in force.
	proofsWithinBound = 2
	// retryPart is the part of the retry budget that is used: hosts count for
	// themselves, and their windows do not begin together.
	retryPart = 0.7
)

type (
	// Platform is what an entry host needs of the platform it runs on.
	Platform struct {
		Source   feed.Source
		Tables   watch.Tables
		Decoders watch.Decoders
		Dialect  gateway.Dialect
		Orders   memory.Orders
		// Dial opens connections to backend servers; nil for TCP with the bounds of
		// [upstream.New].
		Dial func(ctx context.Context, addr string) (net.Conn, error)
	}

	// Entry is the daemon.
	Entry struct {
		settings atomic.Pointer[settings.Entry]
		platform Platform
		log      *decision.Log
		metrics  *telemetry.Metrics
		watcher  *watch.Watcher
		board    *schedule.Scheduler
		pool     *upstream.Pool
		gateway  *gateway.Gateway
		news     *news.News
		// quarantine is what is known of requests under which servers ended.
		quarantine *quarantine.Registry
		// notices are what servers have said of themselves.
		notices *notice.Registry
		// grants hands out the requests that limited servers take from all hosts.
		grants *grants.Keeper
		// changed wakes who stores suspects, and known who routes news, since other hosts
		// have changed.
		changed  chan struct{}
		known    chan struct{}
		relays   *relay.Client
		relay    *relay.Server
		callers  *http.Server
		cancel   context.CancelFunc
		number   uint32 // of this start of this host
		clock    *boottime.Clock
		stopping atomic.Bool
		unproven bool // as noteProof saw it last
		// neighbors are the servers and hosts of this one's cell.
		neighbors atomic.Pointer[neighbors]
		// announced is when, from the start, others could first read of this
		// host; zero before.
		announced atomic.Int64
	}
)

// New puts a daemon together. It opens the socket for news only.
func New(s settings.Entry, p Platform) (*Entry, error) {
	e := &Entry{
		platform: p,
		log:      decision.New(os.Stdout, slog.String("host", s.Host)),
		metrics:  telemetry.NewMetrics(),
		clock:    boottime.New(),

		quarantine: quarantine.NewRegistry(),
		notices:    notice.NewRegistry(),
		changed:    make(chan struct{}, 1),
		known:      make(chan struct{}, 1),
	}
	e.neighbors.Store(&neighbors{cells: 1})
	pool := []upstream.Option{upstream.WithMaxIdle(e.maxIdle)}
	if p.Dial != nil {
		pool = append(pool, upstream.WithDial(p.Dial))
	}
	e.pool = upstream.New(pool...)
	e.settings.Store(&s)
	e.number = hostNumber(s.Host, time.Now())
	e.board = schedule.New(e.number)
	n, err := news.Listen(s.Listen.News, e.board, e.log, e.clock.Now)
	if err != nil {
		return nil, err
	}
	e.news = n
	p.Tables.PollWait = s.Bounds.Config / proofsWithinBound
	e.watcher = watch.New(p.Source, p.Tables, p.Decoders, e.log, e.metrics, e.setHosts)
	e.watcher.SetClock(e.clock)
	e.relays, e.relay = relay.NewClient(e.watcher, e.log), relay.NewServer(e.watcher)
	e.grants = grants.New(s.Host, s.Hall, e.notices, n.Ask, e.clock.Now)
	budget := limit.NewRetryWindow(s.Bounds.Retries.Span, s.Bounds.Retries.Share*retryPart, e.retrySlack)
	e.gateway = gateway.New(p.Dialect, e.state, e.pool, e.board, budget, e.log, e.metrics,
		gateway.WithHall(s.Hall),
		gateway.WithClock(e.clock),
		gateway.WithMemory(memory.New(p.Orders, e.log, memory.WithGate(e.takesOrder))),
		gateway.WithFreshness(gateway.Freshness{KeysTrusted: e.keysTrusted, ConfigCurrent: e.configCurrent, ConfigAge: e.proofAge, ServersAge: e.serversAge}),
		gateway.WithPlacementHooks(n.Placed, n.Started, n.Ended),
		gateway.WithQuarantine(e.quarantine, e.suspectsChanged),
		gateway.WithHosts(e.otherHosts),
		gateway.WithServerFailureHook(func(server string) { n.Failed(e.number, server) }),
		gateway.WithGrants(e.grants.Take),
		gateway.WithNotices(e.notices, gateway.NoticeSender{
			SendLimit:   func(server string, l notice.Limit) { n.Limit(e.number, server, l) },
			SendLeaving: func(server string) { n.Leaves(e.number, server) },
		}),
	)
	n.OnSuspects(e.hearSuspects)
	n.OnNotices(news.Notices{
		Ask: e.grants.Answer, Reply: e.grants.Answered, Limit: e.hearLimit, Leaves: e.hearLeaving,
		Placed: e.gateway.ReceivePlacement,
	})
	return e, nil
}

// hostNumber tells the placements of this start of this host from others.
func hostNumber(name string, start time.Time) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name + start.String())) // never fails
	return h.Sum32()
}

func (e *Entry) state() gateway.State {
	s := e.watcher.State()
	return gateway.State{Config: s.Config, Servers: s.Servers, CellServers: e.neighbors.Load().near}
}

// retrySlack is this host's part of the fixed number of retries.
func (e *Entry) retrySlack() float64 {
	return e.settings.Load().Bounds.Retries.Extra * retryPart / float64(e.neighbors.Load().others+1)
}

// Start listens and serves until Stop.
func (e *Entry) Start(ctx context.Context) error {
	s := e.settings.Load()
	l := s.Listen
	listeners, err := listen(l.Callers, l.Readiness, l.Metrics, l.News)
	if err != nil {
		return err
	}
	e.callers = &http.Server{
		Handler:           e.gateway,
		IdleTimeout:       idleTime,
		ReadHeaderTimeout: headerTime,
		MaxHeaderBytes:    headerBytes,
	}
	ctx, e.cancel = context.WithCancel(ctx)
	go e.serve(e.callers, listeners[0])
	go e.serve(&http.Server{Handler: http.HandlerFunc(e.readiness), ReadHeaderTimeout: headerTime}, listeners[1])
	go e.serve(&http.Server{Handler: e.operators(), ReadHeaderTimeout: headerTime}, listeners[2])
	go e.serve(e.relay, listeners[3])
	if s.FirstStart {
		e.watcher.SetPolling(watch.PollNothing, askersPause)
	}
	go e.watcher.Run(ctx)
	go e.news.Run()
	go e.announce(ctx)
	go e.storeSuspects(ctx)
	go e.upkeep(ctx)
	e.log.Write(event.DaemonReady, slog.String("callers", l.Callers), slog.String("hall", s.Hall))
	return nil
}

// listen opens listeners in order, or none.
func listen(addrs ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, a := range addrs {
		l, err := net.Listen("tcp4", a)
		if err != nil {
			for _, o := range open {
				_ = o.Close() // the error before it is the one to tell
			}
			return nil, errors.Wrapf(err, "listen on %s", a)
		}
		open = append(open, l)
	}
	return open, nil
}

// serve answers on l until its server is closed.
func (e *Entry) serve(s interface{ Serve(net.Listener) error }, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Write(event.HandlerPanic, slog.String("listener", l.Addr().String()), slog.String("error", err.Error()))
	}
}

// readiness answers the balancer: 200 while this host can serve by what is
// proven. A host without a proof is cut off, or the platform is away: callers do
// better at hosts that know more, and come here if there are none.
func (e *Entry) readiness(w http.ResponseWriter, _ *http.Request) {
	s := e.watcher.State()
	if e.stopping.Load() || s.Config == nil || s.Servers.Len() == 0 || !e.keysProven() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) figures(w http.ResponseWriter, _ *http.Request) {
	e.metrics.Set("log_lines_dropped", e.log.Dropped())
	e.metrics.Set("upstream_connections_opened", e.pool.Opened())
	if age, ok := e.watcher.ConfigAge(); ok {
		e.metrics.Set("config_age_milliseconds", age.Milliseconds())
	}
	if age, ok := e.watcher.ServersAge(); ok {
		e.metrics.Set("servers_age_milliseconds", age.Milliseconds())
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write([]byte(e.metrics.Text())) // the reader has gone: nothing to do
}

// noteSuspension looks whether the machine was suspended. Servers have closed the
// connections that rested meanwhile, and no packet has told.
func (e *Entry) noteSuspension() {
	if d := e.clock.Refresh(); d > 0 {
		e.log.Write(event.DaemonWoke, slog.Duration("suspended", d))
		e.pool.Sweep(func(string) bool { return false })
	}
}

func (e *Entry) upkeep(ctx context.Context) {
	tick := time.NewTicker(upkeepPeriod)
	defer tick.Stop()
	r := readers{}
	chooser, routes := broadcast.NewRouteChooser(), broadcast.Routes{}
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-e.known:
			routes = e.routeNews(chooser, routes)
			e.tellSuspects(0)
		case <-tick.C:
			e.noteSuspension()
			e.board.Expire(e.clock.Now())
			e.gateway.Maintain(time.Now())
			e.noteProof()
			e.chooseReaders(&r)
			routes = e.routeNews(chooser, routes)
			e.news.Alive(e.number)
			e.tellSuspects(n)
			if n++; n%sweepEvery == 0 {
				servers := e.watcher.State().Servers
				e.pool.Sweep(servers.HasAddr)
				e.grants.Keep(func(server string) bool { _, ok := servers.Get(server); return ok })
			}
		}
	}
}
