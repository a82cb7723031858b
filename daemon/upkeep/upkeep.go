// Package upkeep does what a daemon does again and again: heartbeats, polling
// of owned engines, reading the template head and the host list, syncing with
// other daemons, keeping the hall's control lease, ordering model copies under
// it, and freeing memory that nobody uses.
//
// Each task runs on a bounded pool, never twice at once, at its period with
// some jitter, so that daemons that start together do not stay in step.
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

// jitter is the part of a period by which a run may come sooner or later.
const jitter = 0.2

type (
	// Upkeep runs the tasks of one daemon.
	Upkeep struct {
		loop      *control.Loop
		peers     *peers.Client
		engines   *engine.Client
		hosts     hosts.List
		changes   *changes.Log
		lease     *lease.Lease
		pool      *ants.Pool
		periods   settings.Periods
		bootstrap []string
		saved     uint64 // number of the last snapshot that this daemon stored
		ordered   map[ordered]time.Time
		demand    placement.Demand // of the hall, as of demandAt
		demandAt  time.Time
	}

	// Option changes an upkeep under construction.
	Option func(*Upkeep)

	task struct {
		period time.Duration
		run    func(context.Context)
		busy   atomic.Bool
	}
)

// WithEngines sets the client for engines.
func WithEngines(c *engine.Client) Option { return func(u *Upkeep) { u.engines = c } }

// WithHosts sets the host list.
func WithHosts(l hosts.List) Option { return func(u *Upkeep) { u.hosts = l } }

// WithChanges sets the log of template changes.
func WithChanges(l *changes.Log) Option { return func(u *Upkeep) { u.changes = l } }

// WithLease sets the keeper of the hall's control lease.
func WithLease(k *lease.Lease) Option { return func(u *Upkeep) { u.lease = k } }

// WithPool sets the pool that tasks run on.
func WithPool(p *ants.Pool) Option { return func(u *Upkeep) { u.pool = p } }

// WithPeriods sets the periods of the tasks.
func WithPeriods(p settings.Periods) Option { return func(u *Upkeep) { u.periods = p } }

// WithBootstrap sets the daemons that are known from the settings.
func WithBootstrap(addrs ...string) Option { return func(u *Upkeep) { u.bootstrap = addrs } }

// New returns the upkeep of a daemon. All options but the bootstrap are
// needed.
func New(l *control.Loop, c *peers.Client, os ...Option) *Upkeep {
	u := &Upkeep{loop: l, peers: c, periods: settings.Default().Periods, ordered: map[ordered]time.Time{}}
	for _, o := range os {
		o(u)
	}
	return u
}

// Run starts all tasks and waits until ctx ends.
func (u *Upkeep) Run(ctx context.Context) {
	u.Join(ctx)
	tasks := []*task{
		{period: u.periods.Heartbeat, run: u.heartbeat},
		{period: u.periods.EnginePoll, run: u.pollEngines},
		{period: u.periods.Templates, run: u.readTemplates},
		{period: u.periods.Hosts, run: u.readHosts},
		{period: u.periods.Sync, run: u.syncMembers},
		{period: u.lease.RenewInterval(), run: u.keepLease},
		{period: placePeriod, run: u.place},
		{period: sweepPeriod, run: u.sweep},
	}
	var w sync.WaitGroup
	for _, t := range tasks {
		w.Go(func() { u.repeat(ctx, t) })
	}
	w.Wait()
}

// Join learns of the fleet once, before the first periods have passed.
func (u *Upkeep) Join(ctx context.Context) {
	u.readHosts(ctx)
	u.syncMembers(ctx)
	u.readTemplates(ctx)
	u.pollEngines(ctx)
}

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
		if err != nil { // the pool is full or closed: leave this turn out
			t.busy.Store(false)
		}
	}
}
