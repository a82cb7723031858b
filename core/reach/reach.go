// Package reach judges whether this host has a path to the backend servers.
//
// A single server that can't be reached may have crashed. If several servers fail, and
// fewer send anything meanwhile, the fault is more likely in this host's own path. A
// [Tracker] gathers this evidence from the traffic and from probes. It judges groups of
// servers, such as those of a service in a data hall: if halls are cut off from each other,
// the path to the servers of the own hall is sound. If servers of whatever groups fail, and
// none at all is heard, the path to each group of which one has failed is lost, and that to
// the others in doubt: all servers of a service may crash at once.
//
// # Usage
//
//	t := reach.New()
//	t.Heard(group, server, now)                    // the server has sent something
//	t.Failed(group, server, listed, now)
//	if t.State(group, now) == reach.Doubtful { ... probe other servers }
//	t.Retain(isListed)                             // regularly
package reach

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// The states of the path to a group of servers.
const (
	// Sound means that no server has failed since one was last heard.
	Sound State = iota
	// Doubtful means that a server of the group has failed, or several of others, and none
	// was heard since.
	Doubtful
	// Closed means that servers are heard on open connections, but most new ones fail.
	Closed
	// Lost means that most servers fail.
	Lost
)

const (
	// lostServers is the number of servers that have to fail until a path counts as lost:
	// two may well crash at the same moment. Of a group with few servers, more than
	// half have to fail.
	lostServers = 3
	// unheardTime is how long no server may have been heard for a path to count as lost
	// although few have failed. If part of the servers are cut off with resets, many
	// connections break before the next event of the others arrives.
	unheardTime = 100 * time.Millisecond
	// servingWindow is how long a server counts as serving after it was heard.
	servingWindow = 2 * time.Second
	// restoreProbes is the number of successful probes in a row of servers that failed
	// after which a path counts as sound again. A flapping link lets a single one pass.
	restoreProbes = 3
)

type (
	// State is the state of the path to a group of servers.
	State uint8

	// Listed are the numbers of listed servers, of one group and of all.
	Listed struct{ Group, All int }

	// Tracker gathers evidence about the path to the servers. It is safe for concurrent
	// use. Times are those of a monotonic clock.
	Tracker struct {
		mu     sync.Mutex
		all    *path
		groups map[string]*path
		// passed is the number of successful probes in a row.
		passed int
		// recent are the two servers that were heard last, the latest first.
		recent [2]contact
	}

	// path is what is known about the path to a set of servers.
	path struct {
		heard   time.Duration // when any server was last heard, 0 for never
		servers map[string]*evidence
		// failed and unopened are the servers that have failed, and those to which no
		// connection could be opened, since they last did the opposite, by the time of the
		// failure.
		failed, unopened map[string]time.Duration
		lost, closed     bool
		needed           int // servers that have to fail for the path to be lost
		lostAt, closedAt time.Duration
	}

	// evidence holds when a server was last heard, and a connection to it last opened.
	evidence struct{ heard, opened time.Duration }

	contact struct {
		server string
		at     time.Duration
	}
)

// String returns the name of the state for logs.
func (s State) String() string { return [...]string{"sound", "doubtful", "closed", "lost"}[s] }

// New returns a tracker without evidence: all paths count as sound.
func New() *Tracker { return &Tracker{all: newPath(), groups: map[string]*path{}} }

func newPath() *path {
	return &path{servers: map[string]*evidence{}, failed: map[string]time.Duration{}, unopened: map[string]time.Duration{}}
}

// Heard records that a server of a group has sent something, and reports whether that
// may have changed the state.
func (t *Tracker) Heard(group, server string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.group(group)
	failing := len(t.all.failed)+len(p.failed) > 0
	t.record(server, now)
	t.all.hear(server, now)
	t.all.lost = false
	p.hear(server, now)
	return failing
}

// Opened records that a connection to a server of a group was opened and works.
func (t *Tracker) Opened(group, server string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.group(group).open(server, now)
}

// Probed records that a probe has opened a connection to a server, which stays open. After
// restoreProbes in a row all paths count as sound.
func (t *Tracker) Probed(group, server string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(server, now)
	t.all.hear(server, now)
	t.group(group).hear(server, now)
	t.group(group).open(server, now)
	if t.passed++; t.passed >= restoreProbes {
		t.all.reset()
		for _, p := range t.groups {
			p.reset()
		}
	}
}

// Failed records that a server has broken a connection, or has been silent for too long.
func (t *Tracker) Failed(group, server string, l Listed, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail(group, server, l, now)
}

// NotOpened records that no connection to a server could be opened.
func (t *Tracker) NotOpened(group, server string, l Listed, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail(group, server, l, now)
	t.group(group).notOpen(server, l.Group, now)
}

func (t *Tracker) fail(group, server string, l Listed, now time.Duration) {
	t.passed = 0
	t.all.fail(server, l.All, now)
	p := t.group(group)
	p.fail(server, l.Group, now)
	if len(p.failed) >= p.needed && p.failingFor(now) >= unheardTime && len(p.failed) > p.serving(now-servingWindow) {
		p.lose(now)
	}
}

// State returns the state of the path to a group.
func (t *Tracker) State(group string, now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.group(group)
	t.all.loseIfUnheard(now)
	p.loseIfUnheard(now)
	failing := p.failedSinceHeard() > 0
	switch {
	case p.lost, t.all.lost && failing:
		return Lost
	case p.closed:
		return Closed
	case t.all.lost, failing:
		return Doubtful
	}
	return Sound
}

// AllUnheard reports whether several servers of whatever groups have failed, and none was heard
// since. Then all paths are worth a check.
func (t *Tracker) AllUnheard(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.loseIfUnheard(now)
	return t.all.lost
}

// Unreached reports whether a connection to a server could not be opened at since or later, and
// the server was not heard after.
func (t *Tracker) Unreached(group, server string, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.group(group)
	at, ok := p.unopened[server]
	return ok && at >= since && p.evidence(server).heard <= at
}

// OutOfReach reports whether the path to the group of a server is lost, and the server
// was not heard since.
func (t *Tracker) OutOfReach(group, server string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.group(group)
	p.loseIfUnheard(now)
	e := p.servers[server]
	return p.lost && (e == nil || e.heard < p.lostAt)
}

// Failing returns the servers of a group that have failed, or to which no connection
// could be opened, since they last did the opposite.
func (t *Tracker) Failing(group string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.group(group)
	failing := maps.Clone(p.failed)
	maps.Copy(failing, p.unopened)
	return slices.Sorted(maps.Keys(failing))
}

// HeardOther reports whether another server than the given one was heard since a time.
// Then this host has a path, and may hold a failure against the server.
func (t *Tracker) HeardOther(server string, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.recent[:], func(c contact) bool { return c.server != "" && c.server != server && c.at >= since })
}

// HeardSince reports whether any server of a group was heard since a time.
func (t *Tracker) HeardSince(group string, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.group(group)
	return p.heard > 0 && p.heard >= since
}

// LastHeard returns when any server was last heard, and false if none ever was.
func (t *Tracker) LastHeard() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent[0].at, t.recent[0].server != ""
}

// Retain drops what is known about servers for which listed is false.
func (t *Tracker) Retain(listed func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.retain(listed)
	for _, p := range t.groups {
		p.retain(listed)
	}
}

func (t *Tracker) group(name string) *path {
	p := t.groups[name]
	if p == nil {
		p = newPath()
		t.groups[name] = p
	}
	return p
}

// record moves a server to the front of those that were heard last.
func (t *Tracker) record(server string, now time.Duration) {
	if t.recent[0].server != server {
		t.recent[1] = t.recent[0]
	}
	t.recent[0] = contact{server, now}
}

func (p *path) evidence(server string) *evidence {
	e := p.servers[server]
	if e == nil {
		e = &evidence{}
		p.servers[server] = e
	}
	return e
}

func (p *path) hear(server string, now time.Duration) {
	p.heard = now
	p.evidence(server).heard = now
	delete(p.failed, server)
	if p.lost && p.serving(p.lostAt) >= len(p.failed) {
		p.lost = false
	}
}

func (p *path) open(server string, now time.Duration) {
	p.evidence(server).opened = now
	delete(p.unopened, server)
	if p.closed && p.opening(p.closedAt) >= len(p.unopened) {
		p.closed = false
	}
}

// reset forgets all failures.
func (p *path) reset() {
	p.lost, p.closed = false, false
	clear(p.failed)
	clear(p.unopened)
}

func (p *path) fail(server string, listed int, now time.Duration) {
	if _, ok := p.failed[server]; !ok || p.failed[server] < p.heard {
		p.failed[server] = now // of several failures in a row, the first counts
	}
	p.needed = neededFailures(listed)
}

// loseIfUnheard makes the path count as lost if enough servers have failed, and none was
// heard since and for unheardTime.
func (p *path) loseIfUnheard(now time.Duration) {
	if !p.lost && len(p.failed) > 0 && now-p.heard >= unheardTime && p.failedSinceHeard() >= p.needed {
		p.lose(now)
	}
}

func (p *path) lose(now time.Duration) {
	if !p.lost {
		p.lost, p.lostAt = true, now
	}
}

func (p *path) notOpen(server string, listed int, now time.Duration) {
	p.unopened[server] = now
	if !p.closed && len(p.unopened) >= neededFailures(listed) && len(p.unopened) > p.opening(now-servingWindow) {
		p.closed, p.closedAt = true, now
	}
}

func neededFailures(listed int) int { return min(lostServers, listed/2+1) }

// failingFor returns how long the first of the servers that have failed has not been heard.
func (p *path) failingFor(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, at := range p.failed {
		longest = max(longest, now-at)
	}
	return longest
}

// failedSinceHeard returns how many servers have failed since any was last heard.
func (p *path) failedSinceHeard() int {
	n := 0
	for _, at := range p.failed {
		if at >= p.heard {
			n++
		}
	}
	return n
}

// serving returns how many servers were heard since a time, and have not failed after.
func (p *path) serving(since time.Duration) int {
	return p.countSince(since, p.failed, func(e *evidence) time.Duration { return e.heard })
}

// opening returns to how many servers connections were opened since a time, and have not
// failed to open after.
func (p *path) opening(since time.Duration) int {
	return p.countSince(since, p.unopened, func(e *evidence) time.Duration { return e.opened })
}

// countSince returns how many servers that aren't excluded have a time of at least since.
func (p *path) countSince(since time.Duration, excluded map[string]time.Duration, at func(*evidence) time.Duration) int {
	n := 0
	for s, e := range p.servers {
		if _, out := excluded[s]; !out && at(e) > 0 && at(e) >= since {
			n++
		}
	}
	return n
}

func (p *path) retain(listed func(server string) bool) {
	maps.DeleteFunc(p.servers, func(s string, _ *evidence) bool { return !listed(s) })
	for _, m := range []map[string]time.Duration{p.failed, p.unopened} {
		maps.DeleteFunc(m, func(s string, _ time.Duration) bool { return !listed(s) })
	}
	p.lost = p.lost && len(p.failed) > 0
	p.closed = p.closed && len(p.unopened) > 0
}
