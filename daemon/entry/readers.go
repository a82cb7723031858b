package entry

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/watch"
)

const (
	// rankKey is the key by which the hosts of a hall are ranked. The first ones are the
	// readers: they read the platform's tables, and relay them to the other hosts.
	rankKey = "readers"
	// readersPerHall is the number of readers of a hall. With two, the loss of one
	// delays nothing.
	readersPerHall = 2
	// queryingReaders is the number of readers of a hall that always query the platform,
	// if there are other halls: the second reader gets what it needs from a reader of
	// another hall.
	queryingReaders = 1
	// maxQuerying is the maximum number of hosts of a hall that query the platform for
	// all tables while no updates are relayed. If the platform rejects half of all hosts,
	// less than one hall in 200 has none among them that it serves.
	maxQuerying = 8
	// sourcesPerHost is the number of sources of a host that isn't a reader, and fanout
	// the number of hosts that have the same host as their first source, or as their
	// second.
	sourcesPerHost = 2
	fanout         = 16
	// keepalivesPerBound is how many signs of life a host sends to those that hear it, and
	// latesPerBound how often it could be found silent, within the time in which a change
	// has to take effect.
	keepalivesPerBound = 4
	latesPerBound      = 2
	// silentMargin is how long before a change has to be in force a host that hears nobody
	// queries all tables itself: it has to wait for the next tick of upkeep, then for two
	// answers of the platform, one after the other.
	silentMargin = 700 * time.Millisecond
	// queryMargin is how long before the age at which a change has to be in force
	// further hosts begin to query the platform, because no proofs are relayed to them.
	queryMargin = 300 * time.Millisecond
	// escalationInterval is the interval at which the number of querying hosts of a hall
	// doubles.
	escalationInterval = 300 * time.Millisecond
	// minChoiceTime is how long a host at least keeps querying all tables, and keeps
	// additional sources, so that its choice doesn't change with each answer.
	minChoiceTime = 3 * time.Second
	// maxReaderPause is the maximum pause after a failed query of the first maxQuerying
	// hosts of a hall. That of the other hosts is maxPausePerHost for each host of the
	// hall, and at least minOtherPause. Eight hosts that query within 1.5 s detect the
	// end of an outage after a tenth of a second; the other hosts together make ten
	// queries per second.
	maxReaderPause  = 1500 * time.Millisecond
	maxPausePerHost = 200 * time.Millisecond
	minOtherPause   = 4 * time.Second
	// relayTimeout is how long a host that the platform serves gets no relayed proofs,
	// after it has begun to query the configuration, before it queries all tables.
	relayTimeout = 2 * time.Second
	// remoteSources is the number of sources of a reader in other halls, and
	// remoteSourcesStale the number while it has no recent proof.
	remoteSources      = 1
	remoteSourcesStale = 4
	// assumedAliveTime is how long a host considers all other hosts alive after it first
	// learned of any: several heartbeat intervals.
	assumedAliveTime = 2 * time.Second
	// announceWait is how long a host waits, at the first start of the whole site, for
	// the other hosts to announce themselves.
	announceWait = time.Second
	// discoveryTimeout is how long a host waits to learn of other hosts, at the first
	// start of the whole site, before it queries all tables itself.
	discoveryTimeout = 3 * time.Second
)

type (
	// sourceInput is what the choice of a host's sources and queries depends on.
	sourceInput struct {
		ranking ranking
		alive   func(watch.Host) bool
		// relayedAge is the age of the newest proof of the configuration that other
		// hosts relayed, provenAge that of the newest proof from anywhere.
		relayedAge, provenAge time.Duration
		// unheardFor is the time since any source has sent a message, be it only a sign of
		// life.
		unheardFor time.Duration
		// serversStaleFor is how long the list of servers has been older than bound
		// while the configuration was proven.
		serversStaleFor time.Duration
		bound           time.Duration // within which a change has to be in force
	}

	// sourceChoice is which hosts relay the platform's tables to this host, and what it
	// queries from the platform itself.
	sourceChoice struct {
		sources []string // addresses
		queries watch.PollScope
		pause   time.Duration // maximum pause after a failed query
	}

	// sourceState is the choice in effect and its history.
	sourceState struct {
		sourceChoice
		othersKnownAt         time.Time // when this host first knew of other hosts
		queryUntil, wideUntil time.Time // until then it queries all tables, or keeps additional sources
		serversStaleSince     time.Time // since when the list of servers is too old, zero if it isn't
	}
)

// choose returns the sources of a host and its queries. It looks at few hosts, however
// many are listed.
func (in sourceInput) choose() sourceChoice {
	rank := in.ranking.liveBefore(in.alive, maxQuerying)
	remote := firstLive(in.ranking.remote, remoteSourcesStale, in.alive)
	c := sourceChoice{queries: in.queriesAt(rank, len(remote) > 0), pause: max(minOtherPause, time.Duration(len(in.ranking.hall))*maxPausePerHost)}
	if rank < maxQuerying {
		c.pause = maxReaderPause
	}
	if rank >= readersPerHall {
		c.sources = in.ranking.parents(in.alive)
		return c
	}
	local, far := readersPerHall, remoteSources
	if in.provenAge > in.bound-queryMargin {
		local, far = maxQuerying, remoteSourcesStale
	}
	own := in.ranking.hall[in.ranking.own].Name
	c.sources = firstLive(in.ranking.hall, local-1, func(h watch.Host) bool { return h.Name != own && in.alive(h) })
	c.sources = append(c.sources, remote[:min(far, len(remote))]...)
	return c
}

// queriesAt returns what the host at a rank of its hall queries from the platform.
// remoteAlive reports whether hosts of other halls are alive. Hosts ranked after the first
// maxQuerying query only the configuration, which proves their keys, and rarely: when an
// outage of 8 s ended, 295 hosts that all queried everything made up most of a day's 7,800
// calls. In an outage of the platform the sources of a host are alive. A host of any rank whose
// sources are silent, and that has found no others in time, queries all tables: it can't tell
// what has changed. A host of any rank whose list of servers stays too old while the configuration is
// proven queries all tables: its sources may be alive and have an old list themselves, and
// with that list it would send requests to servers that have left.
func (in sourceInput) queriesAt(rank int, remoteAlive bool) watch.PollScope {
	overdue := in.relayedAge - in.bound - 2*escalationInterval
	switch {
	case rank < in.queryingHosts(remoteAlive), overdue > relayTimeout && in.provenAge < in.bound, in.serversStaleFor > in.bound/2:
		return watch.PollAll
	case in.unheardFor > max(in.bound-silentMargin, in.bound/latesPerBound):
		return watch.PollAll
	case overdue > 0:
		return watch.PollConfig
	}
	return watch.PollNothing
}

// queryingHosts returns the number of hosts of a hall that query all tables. It doubles
// with each further escalationInterval in which no proofs are relayed.
func (in sourceInput) queryingHosts(remoteAlive bool) int {
	n := readersPerHall
	if remoteAlive {
		n = queryingReaders
	}
	for age := in.bound - queryMargin; in.relayedAge > age && n < maxQuerying; age += escalationInterval {
		n *= 2
	}
	return n
}

// chooseSources chooses this host's sources and its queries anew, and applies the choice.
func (e *Entry) chooseSources(st *sourceState) {
	now := time.Now()
	s := e.settings.Load()
	// The watcher publishes hosts just before they are ranked.
	ranking := e.neighbors.Load().ranking
	known := len(ranking.hall) > 0
	if e.keepJoining(known) {
		return
	}
	if !known {
		e.discoverHosts()
		return
	}
	if st.othersKnownAt.IsZero() {
		st.othersKnownAt = now
	}
	sinceKnown := now.Sub(st.othersKnownAt)
	if sinceKnown < settleTime && e.joining() {
		return
	}
	e.settled.Store(true)
	provenAge, bound := ageOr(sinceKnown, e.watcher.ConfigAge), s.Bounds.Config
	st.recordServers(now, provenAge < bound && ageOr(sinceKnown, e.watcher.ServersAge) > bound)
	c := sourceInput{
		ranking: ranking, alive: e.aliveHosts(sinceKnown < assumedAliveTime),
		relayedAge: ageOr(sinceKnown, e.watcher.RelayedAge), provenAge: provenAge, bound: bound,
		unheardFor: ageOr(sinceKnown, e.relayClient.HeardAgo), serversStaleFor: st.serversStaleFor(now),
	}.choose()
	e.apply(st, c, now)
}

// recordServers records whether the list of servers is too old now.
func (st *sourceState) recordServers(now time.Time, stale bool) {
	switch {
	case !stale:
		st.serversStaleSince = time.Time{}
	case st.serversStaleSince.IsZero():
		st.serversStaleSince = now
	}
}

// serversStaleFor returns how long the list of servers has been too old.
func (st *sourceState) serversStaleFor(now time.Time) time.Duration {
	if st.serversStaleSince.IsZero() {
		return 0
	}
	return now.Sub(st.serversStaleSince)
}

// ageOr returns an age, or the fallback if there is none.
func ageOr(fallback time.Duration, age func() (time.Duration, bool)) time.Duration {
	if a, ok := age(); ok {
		return a
	}
	return fallback
}

// apply puts a choice into effect, and logs it if it has changed. Queries of all tables and
// additional sources are kept for minChoiceTime.
func (e *Entry) apply(st *sourceState, c sourceChoice, now time.Time) {
	if c.queries == watch.PollAll {
		st.queryUntil = now.Add(minChoiceTime)
	}
	if now.Before(st.queryUntil) {
		c.queries = watch.PollAll
	}
	if len(c.sources) > len(st.sources) {
		st.wideUntil = now.Add(minChoiceTime)
	}
	if len(c.sources) < len(st.sources) && now.Before(st.wideUntil) {
		c.sources = st.sources
	}
	if c.queries == st.queries && c.pause == st.pause && slices.Equal(c.sources, st.sources) {
		return
	}
	st.sourceChoice = c
	e.watcher.SetPolling(c.queries, c.pause)
	e.relayClient.SetServers(c.sources)
	attrs := []slog.Attr{
		slog.Bool("asks", c.queries != watch.PollNothing), slog.String("hears", strings.Join(c.sources, ",")),
		slog.Int("others", e.neighbors.Load().otherHosts),
	}
	if ago, ok := e.relayClient.HeardAgo(); ok {
		attrs = append(attrs, slog.Duration("heard_ago", ago))
	}
	e.log.Write(event.SourcesChosen, attrs...)
}

// discoverHosts chooses this host's queries while it knows of no other host.
func (e *Entry) discoverHosts() {
	announcedAt := e.announcedAt.Load()
	now := e.clock.Now()
	switch {
	case !e.settings.Load().FirstStart || now > discoveryTimeout:
		e.watcher.SetPolling(watch.PollAll, maxReaderPause)
	case announcedAt > 0 && now-time.Duration(announcedAt) > announceWait:
		e.watcher.SetPolling(watch.PollHosts, maxReaderPause)
	}
}

// aliveHosts returns a function that reports whether another host seems alive, or always
// true if all is set. A host from which updates are received is alive. Hosts of the cell
// send heartbeats. Any other host counts as alive, but none does to which this host has
// recently failed to subscribe.
func (e *Entry) aliveHosts(all bool) func(watch.Host) bool {
	peers, hostAlive := e.neighbors.Load().peers, e.hostAlive()
	return func(h watch.Host) bool {
		switch {
		case all || e.relayClient.Receiving(h.Addr):
			return true
		case e.relayClient.Unreachable(h.Addr):
			return false
		}
		return !peers[h.Name] || hostAlive(h.Number)
	}
}
