// Package node assembles a daemon from its components and runs it.
//
// # Usage
//
//	n, err := node.New(settings)
//	err = n.Start(ctx)
//	<-signal
//	err = n.Stop(ctx)   // waits for requests in progress
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

// livenessCheckDelay is how long an engine may send nothing on a stream before
// its liveness is checked with a separate request.
const livenessCheckDelay = 2 * time.Second

// Node is one daemon.
type Node struct {
	settings      settings.Settings
	listeners     listeners
	loop          *control.Loop
	peerClient    *peers.Client
	dispatcher    *dispatch.Dispatcher
	server        *peers.Server
	batcher       *claim.Batcher
	lease         *lease.Lease
	upkeep        *upkeep.Upkeep
	callers       *callers.Server
	operators     *operators.Server
	controlClient *web.Client // for the platform and for polls of engines
	streamClient  *web.Client // for generations on engines
	trafficClient *web.Client // for calls to services and requests to the old site
	pool          *ants.Pool
	reach         func(addr string) bool
	cancel        context.CancelFunc
}

// Option configures a Node during construction.
type Option func(*Node)

// WithReach sets the function that reports whether another daemon can be reached,
// by which tests simulate network partitions.
func WithReach(f func(addr string) bool) Option { return func(n *Node) { n.reach = f } }

// listeners holds the open ports. They are opened before the components are
// built, because the system may choose the port numbers.
type listeners struct {
	callers, peers, operators net.Listener
}

// New builds a daemon and opens its ports. The daemon does nothing until
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
		return nil, errors.Wrap(err, "create the worker pool")
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
	n.controlClient, n.trafficClient = web.New(), web.New()
	engines := engine.New(n.controlClient)
	n.streamClient = web.New(web.WithLivenessCheck(livenessCheckDelay, engines.Alive))
	platform := tables.New(n.controlClient, s.Platform)
	log := changes.New(platform)
	budgets := limit.NewRetryBudgets(s.Limits.RetryPart)
	ring := dispatch.NewRing()
	self := member.Member{
		Addr: n.Peers(), Hall: s.Hall, Incarnation: uint64(time.Now().UnixNano()),
	}
	n.loop = control.New(self)
	tlsConfig, err := loadTLS(s.TLS)
	if err != nil {
		return err
	}
	n.peerClient = peers.NewClient(peers.WithClientTLS(tlsConfig), peers.WithReach(n.reach))
	n.batcher = claim.NewBatcher(platform)
	n.server = peers.NewServer(n.loop, n.peerClient, peers.WithBatcher(n.batcher.Write), peers.WithServerTLS(tlsConfig),
		peers.WithSuspects(func(rs []quarantine.Record) { n.dispatcher.MergeSuspects(rs) }))
	n.lease = lease.New(platform, "control/"+s.Hall, leaseHolderName(self), lease.WithDuration(s.Periods.Lease), lease.WithNow(boottime.Time))
	n.upkeep = upkeep.New(n.loop, n.peerClient,
		upkeep.WithEngines(engines),
		upkeep.WithHosts(hosts.New(n.controlClient, s.Platform)),
		upkeep.WithChanges(log),
		upkeep.WithLease(n.lease),
		upkeep.WithPool(n.pool),
		upkeep.WithPeriods(s.Periods),
		upkeep.WithBootstrap(s.Bootstrap...),
	)
	once := calls.NewOnce(claim.New(platform, claim.WithWriter(n.claimWriter())), metrics, n.background)
	n.dispatcher = dispatch.New(n.loop, n.peerClient, engine.New(n.streamClient),
		dispatch.WithSuspectSender(n.broadcastSuspects),
		dispatch.WithBudgets(budgets), dispatch.WithMetrics(metrics), dispatch.WithRing(ring),
		dispatch.WithBackground(n.background), dispatch.WithAttempts(s.Limits.MaxAttempts))
	c := calls.New(n.loop, n.trafficClient, once, calls.WithBudgets(budgets), calls.WithAttempts(s.Limits.MaxAttempts))
	n.callers, err = callers.New(n.loop, n.dispatcher, c,
		callers.WithLimits(s.Limits), callers.WithMetrics(metrics), callers.WithOnce(once),
		callers.WithOldSite(oldsite.New(n.trafficClient)))
	n.operators = operators.New(n.loop, log, ring, metrics,
		operators.WithTokenDigest(s.OperatorTokenSHA256), operators.WithPeers(n.peerClient),
		operators.WithLeaseHolder(n.lease.Holder))
	return err
}

// claimWriter returns a writer that sends claim rows to the hall's batcher, on
// the daemon to which the key is hashed. If that daemon can't be reached, the
// result of the write is [claim.Unknown] and the claim registry reads the row
// back.
func (n *Node) claimWriter() claim.Writer {
	return func(ctx context.Context, w store.Write) (claim.Result, uint64) {
		v := n.loop.View()
		g := batcherFor(v, w.Key)
		if g == v.Self.Addr || g == "" {
			return n.batcher.Write(ctx, w)
		}
		return n.peerClient.Claim(ctx, g, w)
	}
}

// broadcastSuspects sends records of suspects to all other daemons. A daemon that
// can't be reached only learns of a suspect when one of its own engines crashes.
func (n *Node) broadcastSuspects(rs []quarantine.Record) {
	v := n.loop.View()
	for _, m := range v.Members {
		if m.Addr == v.Self.Addr {
			continue
		}
		n.background(func() {
			ctx, cancel := context.WithTimeout(context.Background(), suspectsTimeout)
			defer cancel()
			if err := n.peerClient.SendSuspects(ctx, m.Addr, rs); err != nil {
				event.SuspectRecordUnusable.Warn("daemon", m.Addr, "error", err)
			}
		})
	}
}

// suspectsTimeout limits the call to one daemon. It allows for several round
// trips between halls.
const suspectsTimeout = 500 * time.Millisecond

// background runs f, which nobody waits for, on the pool if a worker is free, or
// else on a new goroutine.
func (n *Node) background(f func()) {
	if n.pool.Submit(f) != nil {
		go f()
	}
}

// Start starts the daemon's servers and periodic tasks, and returns. They run
// until [Node.Stop] or [Node.Close] is called, or ctx ends.
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

// Peers returns the address under which other daemons reach this one: the
// advertised address, or else that of the listener.
func (n *Node) Peers() string {
	if a := n.settings.Advertise.Peers; a != "" {
		return a
	}
	return n.listeners.peers.Addr().String()
}

// Operators returns the address for operators.
func (n *Node) Operators() string { return n.listeners.operators.Addr().String() }

// Bytes returns the number of bytes sent and received by the control plane: to
// and from other daemons, on the connections that this daemon opened, and to and
// from the platform and the engines that this daemon polls.
func (n *Node) Bytes() (peers, outside int64) { return n.peerClient.Bytes(), n.controlClient.Bytes() }

// Client returns the client of the other daemons.
func (n *Node) Client() *peers.Client { return n.peerClient }

// Loop returns the control loop.
func (n *Node) Loop() *control.Loop { return n.loop }
