package entry

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"slipcrank.example/core/route"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/watch"
)

const (
	// readersKey is what hosts are ranked by.
	readersKey = "readers"
	// hallReaders is how many hosts of a hall tell the others of it. With two,
	// the loss of one delays nothing.
	hallReaders = 2
	// hallAsking is how many of them always ask the platform, where there are
	// other halls: the second hears what another hall's tells.
	hallAsking = 1
	// hallAskers is how many of a hall ask often while nobody tells news: if
	// the platform turns away half of all hosts, less than one hall in 200
	// has none among them that it serves.
	hallAskers = 8
	// heardHosts is how many hosts one that isn't a reader hears: those that
	// stand above it in a tree in which each has fanout hosts below it, and as
	// many again that hear it as their second.
	heardHosts = 2
	fanout     = 16
	// askMargin is how long before the age at which a change has to be in
	// force hosts that are told by others begin to ask the platform.
	askMargin = 300 * time.Millisecond
	// askStep lies between doublings of how many of a hall ask.
	askStep = 300 * time.Millisecond
	// askTime is how long a host then goes on, so that it doesn't change its
	// mind with each answer.
	askTime = 3 * time.Second
	// askersPause and othersPause are the longest pauses between questions
	// that fail, of the first hallAskers of a hall and, for each host of the
	// hall, of the others. Eight that ask within 1.5 s see an outage's end after
	// a tenth of a second; the others ask ten times a second together.
	askersPause = 1500 * time.Millisecond
	othersPause = 200 * time.Millisecond
	// othersLeast is the least of the latter.
	othersLeast = 4 * time.Second
	// aloneTime is how long a host that the platform serves may be told nothing
	// beyond the time at which it begins to ask, before it asks for all.
	aloneTime = 2 * time.Second
	// otherHalls is how many hosts of other halls a reader hears, and
	// otherHallsStale how many while it has no news.
	otherHalls      = 1
	otherHallsStale = 4
	// youngTime is how long after it first knew others a host takes all of
	// them for alive: a few of the messages by which they tell that they are.
	youngTime = 2 * time.Second
	// settleTime is how long a host waits, at the first start of the whole
	// site, for the others to announce themselves.
	settleTime = time.Second
	// lonelyTime is how long a host waits to know others before it asks for
	// everything itself.
	lonelyTime = 3 * time.Second
)

type (
	// situation is what decides whom a host hears and what it asks.
	situation struct {
		host, hall string
		link       float64      // of this host, in Mbit/s
		others     []watch.Host // that are alive
		// told is the age of the newest proof that others told, proven that of
		// the newest of any origin.
		told, proven time.Duration
		// listOld is for how long the list of servers has been older than the bound
		// while the configuration was proven.
		listOld time.Duration
		bound   time.Duration // within which a change has to be in force
	}

	// choice is whom a host hears and whether it asks the platform.
	choice struct {
		hear   []string
		asking watch.PollScope
		pause  time.Duration // the longest between questions that fail
	}

	// readers is what a host has chosen.
	readers struct {
		choice
		known       time.Time // when others were known first
		asks, wider time.Time // until then it asks for all, or hears more than usual
		listOld     time.Time // since when its list of servers is too old, zero if it isn't
	}
)

// choose decides whom a host hears and whether it asks the platform.
func (s situation) choose() choice {
	hall, others, addrs := []string{s.host}, []string{}, map[string]string{}
	links := map[string]float64{s.host: s.link}
	for _, h := range s.others {
		addrs[h.Name], links[h.Name] = h.Addr, h.Link
		if h.Hall == s.hall {
			hall = append(hall, h.Name)
		} else {
			others = append(others, h.Name)
		}
	}
	// Wide links first, for reading and for telling others.
	hall, others = route.RankByLink(readersKey, hall, links), route.RankByLink(readersKey, others, links)
	place := slices.Index(hall, s.host)
	c := choice{asking: s.asking(place, len(others) > 0), pause: max(othersLeast, time.Duration(len(hall))*othersPause)}
	if place < hallAskers {
		c.pause = askersPause
	}
	near, far := hallReaders, 0
	if place < hallReaders {
		far = otherHalls
	}
	if place < hallReaders && s.proven > s.bound-askMargin {
		near, far = hallAskers, otherHallsStale
	}
	names := append(slices.Clone(hall[:min(near, len(hall))]), others[:min(far, len(others))]...)
	if place >= hallReaders {
		first := (place - hallReaders) / fanout
		names = hall[first : first+heardHosts]
	}
	for _, n := range names {
		if n != s.host {
			c.hear = append(c.hear, addrs[n])
		}
	}
	return c
}

// asking is what the host at a place of its hall asks the platform; elsewhere
// says that hosts of other halls are alive. Beyond the
// first hallAskers hosts ask for the configuration only, which proves their
// keys, and seldom: when an outage of 8 s ended, 295 hosts that all asked for
// everything made up most of a day's 7,800 calls. A host whose list of servers stays
// too old while the configuration is proven asks for all, wherever it stands: those
// that tell it may live and have an old list themselves, and by its own it would send
// work to servers that have left.
func (s situation) asking(place int, elsewhere bool) watch.PollScope {
	untold := s.told - s.bound - 2*askStep
	switch {
	case place < s.askers(elsewhere), untold > aloneTime && s.proven < s.bound, s.listOld > s.bound/2:
		return watch.PollAll
	case untold > 0:
		return watch.PollConfig
	}
	return watch.PollNothing
}

// askers is how many of a hall ask the platform for all: twice as many with
// each further step of time in which nobody tells news.
func (s situation) askers(elsewhere bool) int {
	n := hallReaders
	if elsewhere {
		n = hallAsking
	}
	for age := s.bound - askMargin; s.told > age && n < hallAskers; age += askStep {
		n *= 2
	}
	return n
}

// chooseReaders decides anew whom this host hears and what it asks the
// platform.
func (e *Entry) chooseReaders(r *readers) {
	now := time.Now()
	s := e.settings.Load()
	if len(e.watcher.State().Hosts) == 0 {
		e.lookForHosts()
		return
	}
	if r.known.IsZero() {
		r.known = now
	}
	young := now.Sub(r.known)
	proven, bound := ageOr(young, e.watcher.ConfigAge), s.Bounds.Config
	r.noteList(now, proven < bound && ageOr(young, e.watcher.ServersAge) > bound)
	c := situation{
		host: s.Host, hall: s.Hall, link: s.Link, others: e.liveHosts(young < youngTime),
		told: ageOr(young, e.watcher.RelayedAge), proven: proven, listOld: r.oldFor(now), bound: bound,
	}.choose()
	e.apply(r, c, now)
}

// noteList takes in whether the list of servers is too old now.
func (r *readers) noteList(now time.Time, old bool) {
	switch {
	case !old:
		r.listOld = time.Time{}
	case r.listOld.IsZero():
		r.listOld = now
	}
}

// oldFor is for how long the list of servers has been too old.
func (r *readers) oldFor(now time.Time) time.Duration {
	if r.listOld.IsZero() {
		return 0
	}
	return now.Sub(r.listOld)
}

// ageOr is an age, or the other one if there is none.
func ageOr(other time.Duration, age func() (time.Duration, bool)) time.Duration {
	if a, ok := age(); ok {
		return a
	}
	return other
}

// apply brings a choice into force. What was widened stays so for a while.
func (e *Entry) apply(r *readers, c choice, now time.Time) {
	if c.asking == watch.PollAll {
		r.asks = now.Add(askTime)
	}
	if now.Before(r.asks) {
		c.asking = watch.PollAll
	}
	if len(c.hear) > len(r.hear) {
		r.wider = now.Add(askTime)
	}
	if len(c.hear) < len(r.hear) && now.Before(r.wider) {
		c.hear = r.hear
	}
	if c.asking == r.asking && c.pause == r.pause && slices.Equal(c.hear, r.hear) {
		return
	}
	r.choice = c
	e.watcher.SetPolling(c.asking, c.pause)
	e.relays.Hear(c.hear)
	e.log.Write(event.RelayChosen, slog.Bool("asks", c.asking != watch.PollNothing), slog.String("hears", strings.Join(c.hear, ",")),
		slog.Int("others", e.neighbors.Load().others))
}

// lookForHosts decides what is asked while no other host is known.
func (e *Entry) lookForHosts() {
	announced := e.announced.Load()
	now := e.clock.Now()
	switch {
	case !e.settings.Load().FirstStart || now > lonelyTime:
		e.watcher.SetPolling(watch.PollAll, askersPause)
	case announced > 0 && now-time.Duration(announced) > settleTime:
		e.watcher.SetPolling(watch.PollHosts, askersPause)
	}
}

// liveHosts are the others that seem alive, or all that are known. Those of
// the cell tell that they are; of the rest it is known only if this host has
// tried to hear them.
func (e *Entry) liveHosts(all bool) []watch.Host {
	var live []watch.Host
	mates := e.neighbors.Load().mates
	for _, h := range e.watcher.State().Hosts {
		if h.Number == e.number || h.Name == e.settings.Load().Host {
			continue
		}
		heard := mates[h.Name] && e.board.HostAlive(h.Number, e.clock.Now())
		if all || heard || !mates[h.Name] && !e.relays.Lost(h.Addr) {
			live = append(live, h)
		}
	}
	return live
}
