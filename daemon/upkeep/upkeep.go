// Package upkeep runs a daemon's periodic tasks: heartbeats, polls of the
// engines that the daemon owns, reads of the template head and the host list,
// syncs with other daemons, renewal of the hall's control lease, placement of
// model copies under that lease, and release of orphaned memory on engines.
//
// The tasks run on a bounded pool. A task never runs concurrently with itself.
// Its period has some jitter, so that daemons that start together do not stay
// synchronized.
//
// # Usage
//
//	u := upkeep.New(loop, client, upkeep.WithEngines(e), upkeep.WithPool(pool))
//	u.Run(ctx)
package upkeep

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/changes"
	"slipcrank.example/core/lease"
	"slipcrank.example/core/placement"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/peers"
	"slipcrank.example/daemon/settings"
)

// jitter is the maximum deviation from a task's period, as a fraction of the
// period.
const jitter = 0.2

type (
	// Upkeep runs the tasks of one daemon.
	Upkeep struct {
		loop           *control.Loop
		peers          *peers.Client
		engines        *engine.Client
		hosts          hosts.List
		changes        *changes.Log
		lease          *lease.Lease
		pool           *ants.Pool
		periods        settings.Periods
		bootstrap      []string
		snapshotNumber uint64                    // change number of the last snapshot that this daemon stored
		orderedLoads   map[orderedLoad]time.Time // with the expiry of each entry
		demand         placement.Demand          // of the hall, as of demandUpdated
		demandUpdated  time.Time
	}

	// Option configures an Upkeep during construction.
	Option func(*Upkeep)

	task struct {
		period time.Duration
		run    func(context.Context)
		busy   atomic.Bool
	}
)

// WithEngines sets the client of the engines.
func WithEngines(c *engine.Client) Option { return func(u *Upkeep) { u.engines = c } }

// WithHosts sets the host list.
func WithHosts(l hosts.List) Option { return func(u *Upkeep) { u.hosts = l } }

// WithChanges sets the log of template changes.
func WithChanges(l *changes.Log) Option { return func(u *Upkeep) { u.changes = l } }

// WithLease sets the hall's control lease.
func WithLease(l *lease.Lease) Option { return func(u *Upkeep) { u.lease = l } }

// WithPool sets the pool that tasks run on.
func WithPool(p *ants.Pool) Option { return func(u *Upkeep) { u.pool = p } }

// WithPeriods sets the periods of the tasks, by default those of
// [settings.Default].
func WithPeriods(p settings.Periods) Option { return func(u *Upkeep) { u.periods = p } }

// WithBootstrap sets the addresses of daemons from the settings, through which
// this daemon can join the fleet.
func WithBootstrap(addrs ...string) Option { return func(u *Upkeep) { u.bootstrap = addrs } }

// New returns the upkeep of a daemon. [Upkeep.Run] needs all options but the
// periods and the bootstrap.
func New(l *control.Loop, c *peers.Client, os ...Option) *Upkeep {
	u := &Upkeep{loop: l, peers: c, periods: settings.Default().Periods, orderedLoads: map[orderedLoad]time.Time{}}
	for _, o := range os {
		o(u)
	}
	return u
}

// Run calls [Upkeep.Join], starts all tasks and blocks until ctx ends.
func (u *Upkeep) Run(ctx context.Context) {
	u.Join(ctx)
	tasks := []*task{
		{period: u.periods.Heartbeat, run: u.heartbeat},
		{period: u.periods.EnginePoll, run: u.pollEngines},
		{period: u.periods.Templates, run: u.readTemplates},
		{period: u.periods.Hosts, run: u.readHosts},
		{period: u.periods.Sync, run: u.syncMembers},
		{period: u.lease.RenewInterval(), run: u.renewLease},
		{period: placementPeriod, run: u.placeCopies},
		{period: sweepPeriod, run: u.sweep},
	}
	var w sync.WaitGroup
	for _, t := range tasks {
		w.Go(func() { u.repeat(ctx, t) })
	}
	w.Wait()
}

// Join runs the tasks that collect the state of the fleet once, so that the
// daemon does not have to wait for their first periods.
func (u *Upkeep) Join(ctx context.Context) {
	u.readHosts(ctx)
	u.syncMembers(ctx)
	u.readTemplates(ctx)
	u.pollEngines(ctx)
}

// repeat runs a task at its period until ctx ends. A run is skipped while the
// previous one is in progress.
func (u *Upkeep) repeat(ctx context.Context, t *task) {
	for {
		spread := 1 + jitter*(2*rand.Float64()-1)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(float64(t.period) * spread)):
		}
		if !t.busy.CompareAndSwap(false, true) {
			continue
		}
		err := u.pool.Submit(func() {
			defer t.busy.Store(false)
			t.run(ctx)
		})
		if err != nil { // the pool is full or closed: skip this run
			t.busy.Store(false)
		}
	}
}
