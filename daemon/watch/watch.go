// Package watch follows the platform's tables and keeps the state that
// traffic decides by.
//
// One goroutine owns the state. Others follow a table each and hand it what
// they read; after each change it publishes a new immutable [State]. What was
// read is stamped with the platform's steady clock, so that at any moment it
// is known how long ago the configuration was proven to be the newest.
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

// Which tables the platform is asked for.
const (
	// PollNothing leaves it to other hosts to tell.
	PollNothing PollScope = iota
	// PollHosts asks only who the other hosts are.
	PollHosts
	// PollConfig asks only for the configuration, and seldom.
	PollConfig
	// PollAll asks for all tables.
	PollAll
)

// longestPause is the longest pause between questions that fail, where nothing
// else is set: what a host alone may be late by after an outage.
const longestPause = 600 * time.Millisecond

const (
	// hostsWait is how long a question for changes of the hosts waits: they tell
	// each other that they live.
	hostsWait = 5 * time.Second
	// answerTime is added to a wait for the way there and back, and for a
	// platform that is slow.
	answerTime = 1500 * time.Millisecond
	// gather lies between an answer with changes and the next question, so
	// that changes which come together cost one call. It is a small part of
	// the two seconds within which they have to be in force.
	gather = 200 * time.Millisecond
	// firstGather is the same in the time startTime after a start, in which
	// servers come one after the other and each host asks for itself, since
	// it doesn't know the others yet.
	firstGather = time.Second
	startTime   = 5 * time.Second
	// gatherPerHost is for each other host that is known in that time, up to firstGather: all
	// hosts ask for a table at most 100 times a second. Until they know each other they tell
	// each other nothing, and while one gathers, its list grows old.
	gatherPerHost = 10 * time.Millisecond
	// firstPause lies between questions that fail, and doubles with each up
	// to the longest that is set.
	firstPause = 100 * time.Millisecond
	// outageTime is how long nobody may have had a proof of the configuration,
	// beyond the time that lies between two proofs, before the platform counts
	// as having been away: under two heartbeats of the servers, whose entries
	// lapse after three.
	outageTime = time.Second
)

type (
	// PollScope is what the platform is asked.
	PollScope int32

	// Tables names the platform's tables.
	Tables struct {
		Config, ConfigKey, Servers, Hosts string
		// PollWait is how long a question for changes of the configuration or of
		// the servers waits. Each answer proves anew that what is known is complete,
		// and each question costs money. A connection that has fallen silent is found
		// out when an answer is overdue: until then a server that leaves gets work.
		PollWait time.Duration
	}

	// Decoders read rows.
	Decoders struct {
		Config func(value []byte) (*site.Config, error)
		Server func(key string, value []byte) (backend.Server, error)
	}

	// Host is another host of the site.
	Host struct {
		Name string `json:"-"`
		// Addr is an IP number and a port, for news and what is relayed.
		Addr string `json:"addr"`
		Hall string `json:"hall"`
		// Link is the bandwidth of its link in Mbit/s, 0 if it isn't known.
		Link float64 `json:"link,omitempty"`
		// Number tells its starts apart.
		Number uint32 `json:"number"`
	}

	// State is what traffic decides by.
	State struct {
		Config  *site.Config
		Servers *backend.View
		Hosts   []Host
		// Suspects are requests under which servers ended, as hosts stored them.
		Suspects []Suspect
	}

	// Watcher follows the tables.
	Watcher struct {
		source  feed.Source
		tables  Tables
		decode  Decoders
		log     *decision.Log
		metrics *telemetry.Metrics
		steady  *boottime.Clock
		clock   *freshness.Clock
		state   atomic.Pointer[State]
		proven  atomic.Int64 // stamp of the newest proof of the configuration, -1 for none
		told    atomic.Int64 // the same of the newest that other hosts told first
		listed  atomic.Int64 // stamp at which the list of servers was complete, -1 for never
		reads   chan read
		digests atomic.Pointer[map[string]uint64] // of the rows that are known
		onHosts func([]Host)
		asking  atomic.Int32
		turned  atomic.Pointer[chan struct{}] // closed when asking changes
		longest atomic.Int64                  // pause between questions that fail
		// answering is set while the platform answers questions for the
		// configuration; those for other tables wait for it.
		answering atomic.Bool
		tell      chan listener
		leave     chan chan Update

		// Owned by Run's goroutine.
		book   *backend.Registry
		config *site.Config
		// configRevision is the platform's of the configuration in force.
		configRevision int64
		hosts          map[string]Host
		suspects       map[string]Suspect
		unusable       map[string]int64 // revisions of rows that can't be used, as logged
		lost           map[string]bool
		answered       time.Duration // newest stamp of an answer about the configuration
		missed         span          // the last one without an answer about the configuration
		returned       time.Duration // stamp at which the platform was back last
		rows           map[string]*table
		heard          map[chan Update]bool
	}

	// span lies between two stamps.
	span struct{ from, to time.Duration }

	// read is what a follower has learnt, or that it can't.
	read struct {
		table string
		batch feed.Batch
		whole bool
		err   error
		after time.Duration // how long questions had failed before
		told  bool          // by another host
		// returned is the stamp at which that host knows the platform was back.
		returned time.Duration
	}
)

// New returns a watcher.
func New(s feed.Source, t Tables, d Decoders, l *decision.Log, m *telemetry.Metrics, onHosts func([]Host)) *Watcher {
	w := &Watcher{
		source: s, tables: t, decode: d, log: l, metrics: m, onHosts: onHosts,
		steady: boottime.New(),
		clock:  freshness.NewClock(),
		reads:  make(chan read),
		book:   backend.NewRegistry(),
		hosts:  map[string]Host{}, suspects: map[string]Suspect{},
		unusable: map[string]int64{},
		lost:     map[string]bool{},
		tell:     make(chan listener),
		leave:    make(chan chan Update),
		rows:     map[string]*table{},
		heard:    map[chan Update]bool{},
	}
	turned := make(chan struct{})
	w.turned.Store(&turned)
	w.SetPolling(PollAll, longestPause)
	w.answering.Store(true)
	w.digests.Store(&map[string]uint64{})
	w.proven.Store(-1)
	w.told.Store(-1)
	w.listed.Store(-1)
	w.state.Store(&State{Servers: w.book.View(0)})
	return w
}

// State returns the newest state.
func (w *Watcher) State() *State { return w.state.Load() }

// ConfigAge returns how long ago, at most, the configuration in force was
// proven to be the newest. It reports false before the first proof.
func (w *Watcher) ConfigAge() (time.Duration, bool) { return w.age(w.proven.Load()) }

// RelayedAge is the age of the newest proof that came from another host before
// this one had it from the platform: how old the configuration would be if
// this host didn't ask.
func (w *Watcher) RelayedAge() (time.Duration, bool) { return w.age(w.told.Load()) }

// ServersAge returns how long ago, at most, the list of servers was complete. It
// reports false before the first one.
func (w *Watcher) ServersAge() (time.Duration, bool) { return w.age(w.listed.Load()) }

// Age returns how old a reading of the platform's steady clock is, at most. It
// reports false if that clock isn't known yet.
func (w *Watcher) Age(stamp time.Duration) (time.Duration, bool) { return w.clock.Age(stamp, w.Now()) }

// PlatformClock returns what the platform's steady clock shows, at the latest. It
// reports false if that isn't known yet.
func (w *Watcher) PlatformClock() (time.Duration, bool) { return w.clock.Age(0, w.Now()) }

func (w *Watcher) age(stamp int64) (time.Duration, bool) {
	if stamp < 0 {
		return 0, false
	}
	return w.clock.Age(time.Duration(stamp), w.Now())
}

// Run follows the tables until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.follow(ctx, w.tables.Config, w.tables.PollWait)
	go w.follow(ctx, w.tables.Servers, w.tables.PollWait)
	go w.follow(ctx, w.tables.Hosts, hostsWait)
	tick := time.NewTicker(lapseTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-w.reads:
			w.take(r)
		case c := <-w.tell:
			w.welcome(c)
		case c := <-w.leave:
			w.dismiss(c)
		case <-tick.C:
			if w.book.HasRetained() {
				w.publish()
			}
		}
	}
}

// lapseTick is how often kept servers are looked at whose entries lapsed.
const lapseTick = 250 * time.Millisecond

// SetClock sets the watcher's steady clock, before Run.
func (w *Watcher) SetClock(c *boottime.Clock) { w.steady = c }

// Now is the time on the watcher's steady clock.
func (w *Watcher) Now() time.Duration { return w.steady.Now() }

func (w *Watcher) hand(ctx context.Context, r read) bool {
	select {
	case <-ctx.Done():
		return false
	case w.reads <- r:
		return true
	}
}

func (w *Watcher) publish() {
	s := &State{Config: w.config, Servers: w.book.View(w.Now())}
	for _, h := range w.hosts {
		s.Hosts = append(s.Hosts, h)
	}
	for _, k := range w.suspects {
		s.Suspects = append(s.Suspects, k)
	}
	w.state.Store(s)
	w.onHosts(s.Hosts)
	w.logLeaving(w.book.TakeChanges(), false, 0)
}
