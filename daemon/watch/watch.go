// Package watch follows the platform's tables and maintains the state by which
// requests are served.
//
// One goroutine owns the state. Other goroutines follow one table each and deliver
// what they read to the owner, which publishes a new immutable [State] after each
// change. Everything read carries a reading of the platform's monotonic clock, so
// that the time since the configuration was last proven to be the newest is always
// known. Hosts relay to each other what they have read ([Update]), so that only a
// few of them have to poll the platform.
//
// # Usage
//
//	w := watch.New(source, watch.Tables{...}, watch.Decoders{...}, log, metrics)
//	go w.Run(ctx)
//	s := w.State()
//	age, ok := w.ConfigAge()
package watch

import (
	"context"
	"sync/atomic"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/feed"
	"slipcrank.example/core/freshness"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/telemetry"
)

// Scopes of polling.
const (
	// PollNothing polls no tables. All of them are received from other hosts.
	PollNothing PollScope = iota
	// PollHosts polls only the table of hosts.
	PollHosts
	// PollConfig polls only the configuration, and rarely.
	PollConfig
	// PollAll polls all tables.
	PollAll
)

// defaultMaxBackoff is the maximum backoff between failed polls until
// [Watcher.SetPolling] sets another. A host without other hosts may detect the end
// of an outage this much late.
const defaultMaxBackoff = 600 * time.Millisecond

const (
	// hostsPollWait is how long a poll for changes of the hosts waits for one. It may
	// be long, since hosts send each other signs of life.
	hostsPollWait = 5 * time.Second
	// answerTimeout is added to the wait of a poll, for the round trip and for a slow
	// platform.
	answerTimeout = 1500 * time.Millisecond
	// batchDelay is the delay between an answer with changes and the next poll, so
	// that simultaneous changes cost one call. It is a small part of the two seconds
	// within which changes have to be in force.
	batchDelay = 200 * time.Millisecond
	// hostsDelayPerHost is the delay for the table of hosts, for each known host, up to a
	// second: the more hosts there are, the more often one starts.
	hostsDelayPerHost = time.Millisecond
	// startBatchDelay is the same delay within startPeriod after a start. During that
	// time servers start one after the other, and each host polls for itself, since it
	// doesn't know the other hosts yet.
	startBatchDelay = time.Second
	startPeriod     = 5 * time.Second
	// startBatchDelayPerHost is the delay within startPeriod for each other known
	// host, up to startBatchDelay, so that all hosts together poll a table at most 100
	// times per second. The delay must not be longer than that: hosts relay nothing
	// until they know each other, and the host's own list ages during the delay.
	startBatchDelayPerHost = 10 * time.Millisecond
	// minBackoff is the backoff after the first failed poll. It doubles with each
	// further one, up to the maximum that is set.
	minBackoff = 100 * time.Millisecond
	// minOutage is how long this host has to be without a proof of the configuration,
	// beyond the interval between two proofs, before it may conclude that the platform
	// was away. It is less than two heartbeats of the servers, whose entries lapse
	// after three.
	minOutage = time.Second
)

type (
	// PollScope determines which tables the platform is polled for.
	PollScope int32

	// Tables names the platform's tables.
	Tables struct {
		Config, ConfigKey, Servers, Hosts string
		// PollWait is how long a poll for changes of the configuration or of the
		// servers waits for one. Each answer proves again that the known rows are
		// complete, and each poll costs money. A silent connection is detected only
		// when an answer is overdue; until then a server that is leaving still gets
		// work.
		PollWait time.Duration
	}

	// Decoders parse rows.
	Decoders struct {
		Config func(value []byte) (*site.Config, error)
		Server func(key string, value []byte) (backend.Server, error)
		// Evacuation returns the data hall that a row of the table of the configuration
		// orders to evacuate, and false for other rows. If it is nil, there are none.
		Evacuation func(key string) (hall string, ok bool)
	}

	// Host is another host of the site.
	Host struct {
		Name string `json:"-"`
		// Addr is an IP address and a port, UDP for updates about placements and TCP
		// for relayed tables.
		Addr string `json:"addr"`
		Hall string `json:"hall"`
		// Link is the bandwidth of its network link in Mbit/s, 0 if unknown.
		Link float64 `json:"link,omitempty"`
		// Number distinguishes the starts of the host.
		Number uint32 `json:"number"`
	}

	// State is a snapshot of the state by which requests are served.
	State struct {
		Config  *site.Config
		Servers *backend.View
		// Hosts are sorted by name. The slice stays the same while they do.
		Hosts []Host
		// Suspects are requests that were running on servers when these crashed, as
		// stored by hosts.
		Suspects []Suspect
	}

	// Watcher follows the tables.
	Watcher struct {
		source        feed.Source
		tables        Tables
		decode        Decoders
		log           *decision.Log
		metrics       *telemetry.Metrics
		localClock    *boottime.Clock
		platformClock *freshness.Clock
		state         atomic.Pointer[State]
		configProof   atomic.Int64 // stamp of the newest proof of the configuration, -1 for none
		relayedProof  atomic.Int64 // stamp of the newest such proof that another host sent first, -1 for none
		serversProof  atomic.Int64 // stamp at which the list of servers was last complete, -1 for never
		reads         chan read
		digests       atomic.Pointer[map[string]uint64] // of the known rows, by table
		onHosts       func([]Host)
		onRestored    func()
		isolatedSince func(time.Duration) bool
		scope         atomic.Int32
		scopeChanged  atomic.Pointer[chan struct{}] // closed when scope changes
		maxBackoff    atomic.Int64                  // between failed polls
		newestEra     atomic.Int64                  // copy of era for the followers
		eraChanged    atomic.Pointer[chan struct{}] // closed when newestEra changes
		// answering is set while the platform answers polls for the configuration.
		// Polls for other tables are deferred until it does.
		answering   atomic.Bool
		subscribe   chan subscriber
		unsubscribe chan chan Update

		// Owned by Run's goroutine.
		servers *backend.Registry
		config  *site.Config
		// configRevision is the platform's revision of the configuration in force.
		configRevision int64
		configValue    []byte // of the row of the configuration in force
		era            int64  // of the platform's revisions, -1 before the first read
		hosts          map[string]Host
		hostList       []Host // the hosts sorted by name; replaced when they change
		suspects       map[string]Suspect
		unusable       map[string]int64 // logged revisions of unusable rows, by key
		lost           map[string]bool  // tables whose last poll failed
		lastConfig     time.Duration    // newest stamp of an answer about the configuration
		gap            interval         // the last one without an answer about the configuration
		returned       time.Duration    // stamp at which the platform last returned
		rows           map[string]*table
		subscribers    map[chan Update]bool
		waiting        []subscriber // for the platform's clock
	}

	// interval is the time between two stamps.
	interval struct{ from, to time.Duration }

	// read is the result of a poll, or an update from another host.
	read struct {
		table    string
		batch    feed.Batch
		complete bool // batch holds all rows of the table
		err      error
		failing  time.Duration // how long polls had failed before
		relayed  bool          // received from another host
		// returned is the stamp at which the platform last returned, according to that
		// host.
		returned time.Duration
		received time.Duration // local time at which an update of another host arrived
		transit  time.Duration // from the sending of that update to its arrival
	}
)

// New returns a watcher. It calls onHosts with the other hosts after each change of
// the state.
func New(s feed.Source, t Tables, d Decoders, l *decision.Log, m *telemetry.Metrics, onHosts func([]Host)) *Watcher {
	w := &Watcher{
		source: s, tables: t, decode: d, log: l, metrics: m, onHosts: onHosts,
		localClock:    boottime.New(),
		platformClock: freshness.NewClock(),
		reads:         make(chan read),
		servers:       backend.NewRegistry(),
		hosts:         map[string]Host{}, suspects: map[string]Suspect{},
		unusable:    map[string]int64{},
		lost:        map[string]bool{},
		subscribe:   make(chan subscriber),
		unsubscribe: make(chan chan Update),
		rows:        map[string]*table{},
		subscribers: map[chan Update]bool{},
		onRestored:  func() {},
		era:         -1,

		isolatedSince: func(time.Duration) bool { return false },
	}
	if w.decode.Evacuation == nil {
		w.decode.Evacuation = func(string) (string, bool) { return "", false }
	}
	changed := make(chan struct{})
	w.scopeChanged.Store(&changed)
	eraChanged := make(chan struct{})
	w.eraChanged.Store(&eraChanged)
	w.SetPolling(PollAll, defaultMaxBackoff)
	w.answering.Store(true)
	w.digests.Store(&map[string]uint64{})
	w.configProof.Store(-1)
	w.relayedProof.Store(-1)
	w.serversProof.Store(-1)
	w.state.Store(&State{Servers: w.servers.View(0)})
	return w
}

// State returns the current state.
func (w *Watcher) State() *State { return w.state.Load() }

// ConfigAge returns an upper bound on the time since the configuration in force was
// proven to be the newest. It reports false before the first proof.
func (w *Watcher) ConfigAge() (time.Duration, bool) { return w.stampAge(w.configProof.Load()) }

// RelayedAge returns the age of the newest proof of the configuration that another
// host sent before this host had it from the platform. It is the age that the
// configuration would have if this host didn't poll.
func (w *Watcher) RelayedAge() (time.Duration, bool) { return w.stampAge(w.relayedProof.Load()) }

// ServersAge returns an upper bound on the time since the list of servers was
// complete. It reports false before the first list.
func (w *Watcher) ServersAge() (time.Duration, bool) { return w.stampAge(w.serversProof.Load()) }

// Age returns an upper bound on the age of a reading of the platform's monotonic
// clock. It reports false if that clock isn't known yet.
func (w *Watcher) Age(stamp time.Duration) (time.Duration, bool) {
	return w.platformClock.Age(stamp, w.Now())
}

// PlatformClock returns an upper bound on the current reading of the platform's
// monotonic clock. It reports false if that clock isn't known yet.
func (w *Watcher) PlatformClock() (time.Duration, bool) { return w.platformClock.Age(0, w.Now()) }

// stampAge returns an upper bound on the age of a stamp, and false if the stamp is
// negative or the platform's clock isn't known yet.
func (w *Watcher) stampAge(stamp int64) (time.Duration, bool) {
	if stamp < 0 {
		return 0, false
	}
	return w.platformClock.Age(time.Duration(stamp), w.Now())
}

// Run follows the tables until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.follow(ctx, w.tables.Config, w.tables.PollWait)
	go w.follow(ctx, w.tables.Servers, w.tables.PollWait)
	go w.follow(ctx, w.tables.Hosts, hostsPollWait)
	tick := time.NewTicker(graceCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-w.reads:
			w.apply(r)
			w.addWaiting()
		case s := <-w.subscribe:
			w.addSubscriber(s)
		case c := <-w.unsubscribe:
			w.removeSubscriber(c)
		case <-tick.C:
			if w.servers.HasRetained() {
				w.publish()
			}
		}
	}
}

// graceCheckInterval is the interval of checks whether the grace period of retained
// servers is over.
const graceCheckInterval = 250 * time.Millisecond

// SetClock sets the watcher's local clock. It must be called before Run.
func (w *Watcher) SetClock(c *boottime.Clock) { w.localClock = c }

// SetRestoredHandler sets a function that is called when the platform has come back from a
// copy of its data, and has lost the latest writes. It must be called before Run.
func (w *Watcher) SetRestoredHandler(f func()) { w.onRestored = f }

// SetIsolation sets a function that reports whether this host was cut off from all other
// hosts at some time since the given one, by the watcher's local clock. It must be called
// before Run.
func (w *Watcher) SetIsolation(f func(since time.Duration) bool) { w.isolatedSince = f }

// Now returns the time on the watcher's local clock.
func (w *Watcher) Now() time.Duration { return w.localClock.Now() }

// deliver passes r to Run's goroutine. It reports false if ctx ends first.
func (w *Watcher) deliver(ctx context.Context, r read) bool {
	select {
	case <-ctx.Done():
		return false
	case w.reads <- r:
		return true
	}
}

func (w *Watcher) publish() {
	s := &State{Config: w.config, Servers: w.servers.View(w.Now()), Hosts: w.hostList}
	for _, suspect := range w.suspects {
		s.Suspects = append(s.Suspects, suspect)
	}
	w.state.Store(s)
	w.onHosts(s.Hosts)
	w.logServerChanges(w.servers.TakeChanges(), false, 0)
	w.logEndedEvacuations(w.servers.TakeExpiredEvacuations(), false)
}
