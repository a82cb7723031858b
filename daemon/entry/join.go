package entry

import (
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"slipcrank.example/core/join"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/news"
	"slipcrank.example/daemon/watch"
)

const (
	// joinTimeout is how long a host that starts waits for the platform's tables from
	// the sources to which seeds refer it, before it reads them from the platform, and
	// firstJoinTimeout the same if all hosts of the site start for the first time.
	joinTimeout, firstJoinTimeout = 800 * time.Millisecond, discoveryTimeout
	// settleTime is how long a host keeps these sources after it has the tables. The
	// other hosts that started with it become known meanwhile.
	settleTime = 2 * time.Second
)

// joiner obtains the sources of a host that starts, and refers others to theirs if this
// host is a seed. It is safe for concurrent use.
type joiner struct {
	seeds []netip.AddrPort // other hosts
	seed  bool             // this host is a seed

	mu      sync.Mutex
	tree    *join.Tree
	sources []string // to which seeds have referred this host
	used    int      // the number of them that this host subscribes to
}

// newJoiner returns the joiner of a host with the given address for updates, by the
// addresses of the seeds. All hosts use the same port for updates, so that only the IP
// addresses of the seeds count. Malformed addresses are errors of the settings.
func newJoiner(own string, seeds []string) (*joiner, error) {
	self, err := netip.ParseAddrPort(own)
	if err != nil {
		return nil, err
	}
	j := &joiner{tree: join.NewTree(own), used: 1}
	for _, s := range seeds {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		if a.Addr() == self.Addr() {
			j.seed = true
			continue
		}
		j.seeds = append(j.seeds, netip.AddrPortFrom(a.Addr(), self.Port()))
	}
	return j, nil
}

// refer returns the source of a host that asks this host.
func (j *joiner) refer(addr netip.AddrPort, r news.JoinRequest, now time.Duration) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tree.Source(addr.String(), r.Hall, r.Unreached, now)
}

// addSource adds a source to which a seed has referred this host, and returns those that
// this host subscribes to.
func (j *joiner) addSource(addr string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !slices.Contains(j.sources, addr) {
		j.sources = append(j.sources, addr)
	}
	return j.usedSources()
}

// useMore returns the sources that this host subscribes to, with one more than before.
func (j *joiner) useMore() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.used++
	return j.usedSources()
}

// hasSources reports whether a seed has referred this host to a source.
func (j *joiner) hasSources() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.sources) > 0
}

// usedSources returns the sources that this host subscribes to. The joiner must be locked.
func (j *joiner) usedSources() []string { return slices.Clone(j.sources[:min(j.used, len(j.sources))]) }

// startJoining begins to obtain the platform's tables. Seeds also read them from the
// platform, since other hosts may all have started just now.
func (e *Entry) startJoining() {
	switch {
	case e.joiner.seed:
		e.watcher.SetPolling(watch.PollAll, maxReaderPause)
	case len(e.joiner.seeds) > 0 || e.settings.Load().FirstStart:
		e.watcher.SetPolling(watch.PollNothing, maxReaderPause)
	}
	e.askSeeds(false)
}

// keepJoining reports whether this host still obtains the tables from the sources to which
// seeds refer it. It asks the seeds again until it has some that it can reach, and then adds
// sources one by one, since each sends whole tables first.
func (e *Entry) keepJoining(known bool) bool {
	timeout := joinTimeout
	if e.settings.Load().FirstStart {
		timeout = firstJoinTimeout
	}
	if known || len(e.joiner.seeds) == 0 || e.clock.Now() >= timeout {
		return false
	}
	if e.joiner.hasSources() {
		sources := e.joiner.useMore()
		e.relayClient.SetServers(sources)
		if !slices.ContainsFunc(sources, func(a string) bool { return !e.relayClient.Unreachable(a) }) {
			e.askSeeds(true)
		}
	} else {
		e.askSeeds(false)
	}
	return !e.joiner.seed
}

// joining reports whether this host has its tables from sources to which seeds have
// referred it, or is a seed that reads them from the platform for others.
func (e *Entry) joining() bool { return e.joiner.seed || e.joiner.hasSources() }

// askSeeds asks all seeds for a source, and one of them to announce this host. Unreached
// reports that this host can't reach the sources that it has.
func (e *Entry) askSeeds(unreached bool) {
	s := e.settings.Load()
	for i, seed := range e.joiner.seeds {
		r := news.JoinRequest{
			Name: s.Host, Hall: s.Hall, Link: s.Link, Unreached: unreached,
			Announce: i == int(e.startNumber)%len(e.joiner.seeds),
		}
		e.exchange.AskSource(seed, r)
	}
}

// refer returns the source of a host that starts, and announces the host if it asks for
// that.
func (e *Entry) refer(from netip.AddrPort, r news.JoinRequest) string {
	if r.Announce && r.Name != "" {
		e.sponsor.add(watch.Host{Name: r.Name, Addr: from.String(), Hall: r.Hall, Link: r.Link, Number: r.Number})
	}
	return e.joiner.refer(from, r, e.clock.Now())
}

// applySource subscribes to the source to which a seed has referred this host, unless it has
// the tables already.
func (e *Entry) applySource(from netip.AddrPort, addr string) {
	if addr == "" || !slices.Contains(e.joiner.seeds, from) || e.settled.Load() {
		return
	}
	sources := e.joiner.addSource(addr)
	e.relayClient.SetServers(sources)
	e.log.Write(event.SourcesChosen, slog.Bool("asks", false), slog.String("hears", strings.Join(sources, ",")), slog.String("seed", from.String()))
}
