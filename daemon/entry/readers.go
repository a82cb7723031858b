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
	// hallReaders is how many hosts of a hall always ask the platform. With
	// two, the loss of one delays nothing.
	hallReaders = 2
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
	// that fail, of the first hallAskers of a hall and of the others. Eight
	// that ask within 1.5 s see an outage's end after a tenth of a second.
	askersPause = 1500 * time.Millisecond
	othersPause = 4 * time.Second
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
	// untoldTime is how long one that knows others waits to be told of a
	// configuration before it does: a few times what a tree of 59 hosts needs
	// from the first answer of the platform to its last host.
	untoldTime = 600 * time.Millisecond
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
		bound        time.Duration // within which a change has to be in force
	}

	// choice is whom a host hears and whether it asks the platform.
	choice struct {
		hear  []string
		asks  bool
		pause time.Duration // the longest between questions that fail
	}

	// readers is what a host has chosen.
	readers struct {
		choice
		known         time.Time // when others were known first
		asking, wider time.Time // until then it asks, or hears more than usual
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
	c := choice{asks: place < s.askers(), pause: othersPause}
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

// askers is how many of a hall ask the platform: twice as many with each
// further step of time in which nobody tells news.
func (s situation) askers() int {
	n := hallReaders
	for age := s.bound - askMargin; s.told > age && n < hallAskers; age += askStep {
		n *= 2
	}
	if s.told > s.bound+2*askStep {
		return len(s.others) + 1
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
	c := situation{
		host: s.Host, hall: s.Hall, link: s.Link, others: e.liveHosts(young < youngTime),
		told: ageOr(young, e.watcher.ToldAge), proven: ageOr(young, e.watcher.ConfigAge), bound: s.Bounds.Config,
	}.choose()
	c.asks = c.asks || e.watcher.State().Config == nil && young > untoldTime
	e.apply(r, c, now)
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
	if c.asks {
		r.asking = now.Add(askTime)
	}
	c.asks = c.asks || now.Before(r.asking)
	if len(c.hear) > len(r.hear) {
		r.wider = now.Add(askTime)
	}
	if len(c.hear) < len(r.hear) && now.Before(r.wider) {
		c.hear = r.hear
	}
	if c.asks == r.asks && c.pause == r.pause && slices.Equal(c.hear, r.hear) {
		return
	}
	r.choice = c
	asking := watch.AskNothing
	if c.asks {
		asking = watch.AskAll
	}
	e.watcher.SetAsking(asking, c.pause)
	e.relays.Hear(c.hear)
	e.log.Write(event.RelayChosen, slog.Bool("asks", c.asks), slog.String("hears", strings.Join(c.hear, ",")),
		slog.Int("others", e.neighbors.Load().others))
}

// lookForHosts decides what is asked while no other host is known. A host that
// starts again finds the rows of the others at once, and hears the rest from
// them: each start costs the platform two calls instead of four.
func (e *Entry) lookForHosts() {
	announced := e.announced.Load()
	now := time.Since(e.start)
	switch {
	case now > lonelyTime:
		e.watcher.SetAsking(watch.AskAll, askersPause)
	case !e.settings.Load().FirstStart, announced > 0 && now-time.Duration(announced) > settleTime:
		e.watcher.SetAsking(watch.AskHosts, askersPause)
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
		heard := mates[h.Name] && e.board.HeardFrom(h.Number, time.Since(e.start))
		if all || heard || !mates[h.Name] && !e.relays.Lost(h.Addr) {
			live = append(live, h)
		}
	}
	return live
}
