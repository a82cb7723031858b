// Package node puts a daemon together from its parts and runs it.
//
// # Usage
//
//	n, err := node.New(settings)
//	err = n.Start(ctx)
//	<-signal
//	err = n.Stop(ctx)   // a planned stop: cuts off nothing
package node

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/hosts"
	"slipcrank.example/clients/oldsite"
	"slipcrank.example/clients/tables"
	"slipcrank.example/clients/web"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/changes"
	"slipcrank.example/core/claim"
	"slipcrank.example/core/lease"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/member"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/store"
	"slipcrank.example/daemon/callers"
	"slipcrank.example/daemon/calls"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/dispatch"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/operators"
	"slipcrank.example/daemon/peers"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upkeep"
)

// engineQuiet is how long an engine may say nothing on a stream before it is
// asked whether it lives.
const engineQuiet = 2 * time.Second

// Node is one daemon.
type Node struct {
	settings   settings.Settings
	listeners  listeners
	loop       *control.Loop
	client     *peers.Client
	dispatcher *dispatch.Dispatcher
	server     *peers.Server
	batcher    *claim.Batcher
	lease      *lease.Lease
	upkeep     *upkeep.Upkeep
	callers    *callers.Server
	operators  *operators.Server
	control    *web.Client // to the platform, and for polls of engines
	streams    *web.Client // generations on engines
	traffic    *web.Client // calls, and requests of the old site
	pool       *ants.Pool
	reach      func(addr string) bool
	cancel     context.CancelFunc
}

// Option changes a daemon under construction.
type Option func(*Node)

// WithReach sets a seam that says whether another daemon can be reached.
func WithReach(f func(addr string) bool) Option { return func(n *Node) { n.reach = f } }

// listeners are open before anything is built, so that a port may be chosen
// by the system.
type listeners struct {
	callers, peers, operators net.Listener
}

// New builds a daemon and opens its ports. It does nothing until
// [Node.Start].
func New(s settings.Settings, os ...Option) (*Node, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	l, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(s.Limits.Workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "make the worker pool")
	}
	n := &Node{settings: s, listeners: l, pool: pool, reach: func(string) bool { return true }}
	for _, o := range os {
		o(n)
	}
	return n, n.build()
}

func listen(l settings.Listen) (listeners, error) {
	var out listeners
	var err error
	open := func(addr string) net.Listener {
		if err != nil {
			return nil
		}
		var x net.Listener
		x, err = net.Listen("tcp", addr)
		return x
	}
	out.callers, out.peers, out.operators = open(l.Callers), open(l.Peers), open(l.Operators)
	return out, errors.Wrap(err, "open a port; is another daemon running with the same settings?")
}

func (n *Node) build() error {
	s := n.settings
	metrics := telemetry.NewMetrics()
	n.control, n.traffic = web.New(), web.New()
	polled := engine.New(n.control)
	n.streams = web.New(web.WithLivenessCheck(engineQuiet, polled.Alive))
	platform := tables.New(n.control, s.Platform)
	log := changes.New(platform)
	budgets := limit.NewRetryBudgets(s.Limits.RetryPart)
	ring := dispatch.NewRing()
	self := member.Member{
		Addr: n.Peers(), Hall: s.Hall, Incarnation: uint64(time.Now().UnixNano()),
	}
	n.loop = control.New(self)
	security, err := loadTLS(s.TLS)
	if err != nil {
		return err
	}
	n.client = peers.NewClient(peers.WithClientTLS(security), peers.WithReach(n.reach))
	n.batcher = claim.NewBatcher(platform)
	n.server = peers.NewServer(n.loop, n.client, peers.WithBatcher(n.batcher.Write), peers.WithServerTLS(security),
		peers.WithSuspects(func(rs []quarantine.Record) { n.dispatcher.MergeSuspects(rs) }))
	n.lease = lease.New(platform, "control/"+s.Hall, leaseName(self), lease.WithDuration(s.Periods.Lease), lease.WithNow(boottime.Time))
	n.upkeep = upkeep.New(n.loop, n.client,
		upkeep.WithEngines(polled),
		upkeep.WithHosts(hosts.New(n.control, s.Platform)),
		upkeep.WithChanges(log),
		upkeep.WithLease(n.lease),
		upkeep.WithPool(n.pool),
		upkeep.WithPeriods(s.Periods),
		upkeep.WithBootstrap(s.Bootstrap...),
	)
	once := calls.NewOnce(claim.New(platform, claim.WithWriter(n.claimWriter())), metrics, n.background)
	n.dispatcher = dispatch.New(n.loop, n.client, engine.New(n.streams),
		dispatch.WithSuspectSender(n.tellSuspects),
		dispatch.WithBudgets(budgets), dispatch.WithMetrics(metrics), dispatch.WithRing(ring),
		dispatch.WithBackground(n.background), dispatch.WithAttempts(s.Limits.MaxAttempts))
	c := calls.New(n.loop, n.traffic, once, calls.WithBudgets(budgets), calls.WithAttempts(s.Limits.MaxAttempts))
	n.callers, err = callers.New(n.loop, n.dispatcher, c,
		callers.WithLimits(s.Limits), callers.WithMetrics(metrics), callers.WithOnce(once),
		callers.WithOldSite(oldsite.New(n.traffic)))
	n.operators = operators.New(n.loop, log, ring, metrics,
		operators.WithTokenDigest(s.OperatorTokenSHA256), operators.WithPeers(n.client),
		operators.WithLeaseHolder(n.lease.Holder))
	return err
}

// claimWriter writes claim rows through the hall's batcher, which is on the
// daemon that a key is hashed to. If that one can't be reached, the outcome
// of the write is unknown and the register reads back.
func (n *Node) claimWriter() claim.Writer {
	return func(ctx context.Context, w store.Write) (claim.Result, uint64) {
		v := n.loop.View()
		g := batcherOf(v, w.Key)
		if g == v.Self.Addr || g == "" {
			return n.batcher.Write(ctx, w)
		}
		return n.client.Claim(ctx, g, w)
	}
}

// tellSuspects tells all other daemons of requests under which engines ended. Who
// can't be reached learns of them by an engine of its own.
func (n *Node) tellSuspects(rs []quarantine.Record) {
	v := n.loop.View()
	for _, m := range v.Members {
		if m.Addr == v.Self.Addr {
			continue
		}
		n.background(func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			if err := n.client.TellSuspects(ctx, m.Addr, rs); err != nil {
				event.SuspectUnusable.Warn("daemon", m.Addr, "error", err)
			}
		})
	}
}

// tellTimeout bounds telling one daemon: several ways between halls.
const tellTimeout = 500 * time.Millisecond

// background runs what nobody waits for, on the pool if it has room.
func (n *Node) background(f func()) {
	if n.pool.Submit(f) != nil {
		go f()
	}
}

// Start joins the fleet and serves until [Node.Stop].
func (n *Node) Start(ctx context.Context) error {
	ctx, n.cancel = context.WithCancel(ctx)
	go n.loop.Run(ctx)
	go n.batcher.Run(ctx)
	n.server.Serve(ctx, n.listeners.peers)
	go n.upkeep.Run(ctx)
	n.operators.Serve(n.listeners.operators)
	n.callers.Serve(n.listeners.callers)
	event.DaemonReady.Info("hall", n.settings.Hall, "callers", n.Callers(), "peers", n.Peers(),
		"listens", n.listeners.peers.Addr().String(), "operators", n.Operators())
	return nil
}

// Callers returns the address for callers.
func (n *Node) Callers() string { return n.listeners.callers.Addr().String() }

// Peers returns the address by which other daemons know this one.
func (n *Node) Peers() string {
	if a := n.settings.Advertise.Peers; a != "" {
		return a
	}
	return n.listeners.peers.Addr().String()
}

// Operators returns the address for operators.
func (n *Node) Operators() string { return n.listeners.operators.Addr().String() }

// Bytes returns how many bytes were sent and received for control: to other
// daemons, on the connections that this daemon opened, and to the platform
// and the engines that it polls.
func (n *Node) Bytes() (peers, outside int64) { return n.client.Bytes(), n.control.Bytes() }

// Client returns the client for other daemons.
func (n *Node) Client() *peers.Client { return n.client }

// Loop returns the control loop.
func (n *Node) Loop() *control.Loop { return n.loop }
