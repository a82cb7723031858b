package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"slipcrank.example/core/pause"
)

// excusedReasons are the reasons of refusals that have nothing to do with the path: the host has
// no current state from the platform, the key isn't valid yet or any more, or the servers accept few
// requests from all hosts.
var excusedReasons = []string{"keys_unproven", "no_configuration", "_in_old_configuration", "server_limits", "servers_rest", "unknown_key"}

// Ways in which a host is cut off from all servers.
const (
	cutNone   cutMode = iota
	cutSilent         // nothing is forwarded
	cutReset          // open connections and new ones are reset
	cutNew            // new connections are reset, open ones work
)

const (
	// cutNotice is how long after the begin of a cut its first tries count.
	cutNotice = 3 * time.Second
	// restTime is how long a host must have been undisturbed otherwise for its first tries to
	// count.
	restTime = time.Second
	// cutAllowance and cutAllowedShare are how many first tries may fail at hosts that are
	// cut off, and minCutShare the share of the others' that they serve beyond that.
	cutAllowance    = 10
	cutAllowedShare = 1.0 / 50
	minCutShare     = 2.0 / 3
	// noServerMargin extends the time for which a refusal shows that no server is left. Hosts
	// learn at slightly different times of the last one that leaves.
	noServerMargin = 100 * time.Millisecond
	// minOthers is the least number of first tries at the others that are compared with.
	minOthers = 20
)

type (
	cutMode int

	// cuts holds which hosts are cut off, and records which were. It is safe for concurrent
	// use. No host is cut off by a nil value.
	cuts struct {
		mu     sync.Mutex
		active map[string]cutMode // by IP address
		past   []pastCut
	}

	// pastCut is a time in which some hosts were cut off from all servers.
	pastCut struct {
		hosts    map[string]bool // by IP address
		from, to time.Time       // to is zero while it lasts
	}

	// cutCount counts first tries, and those that were served.
	cutCount struct {
		sent, served int
		failed       map[string]int // by status and body
	}
)

func newCuts() *cuts { return &cuts{active: map[string]cutMode{}} }

func ipOf(c net.Conn) string {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	return a.IP.String()
}

// of returns how the client of a connection is cut off.
func (c *cuts) of(client net.Conn) cutMode {
	if c == nil {
		return cutNone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[ipOf(client)]
}

// begin cuts hosts off, and returns the number of the cut. It reports false if others are cut
// off already.
func (c *cuts) begin(hosts map[string]bool, m cutMode) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.active) > 0 {
		return 0, false
	}
	for ip := range hosts {
		c.active[ip] = m
	}
	c.past = append(c.past, pastCut{hosts: hosts, from: time.Now()})
	return len(c.past) - 1, true
}

func (c *cuts) end(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.past[n].to.IsZero() {
		c.past[n].to = time.Now()
		clear(c.active)
	}
}

func (c *cuts) endAll() {
	for n := range c.all() {
		c.end(n)
	}
}

func (c *cuts) all() []pastCut {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]pastCut(nil), c.past...)
}

// cutHosts cuts one to all but one of the hosts off from all servers.
func (w *world) cutHosts(ctx context.Context, d time.Duration) {
	hosts := map[string]bool{}
	for _, n := range w.rnd.Perm(len(w.hosts))[:1+w.rnd.IntN(len(w.hosts)-1)] {
		hosts[w.hosts[n].ip] = true
	}
	m := []cutMode{cutSilent, cutReset, cutNew}[w.rnd.IntN(3)]
	n, ok := w.cuts.begin(hosts, m)
	if !ok {
		return
	}
	if m == cutReset {
		for _, s := range w.slots {
			for ip := range hosts {
				s.proxy.resetClient(ip)
			}
		}
	}
	go func() {
		_ = pause.For(ctx, cutNotice+2*d) // when ctx ends, so does the cut
		w.cuts.end(n)
	}()
}

// checkCuts compares the first tries at hosts that were cut off with those at the others, as
// far as neither were disturbed otherwise.
func (w *world) checkCuts() {
	w.mu.Lock()
	requests := w.requests
	w.mu.Unlock()
	for _, c := range w.cuts.all() {
		noServer := c.timesWithoutServer(requests)
		cutOff, others := cutCount{failed: map[string]int{}}, cutCount{failed: map[string]int{}}
		for _, r := range requests {
			end := r.sentAt.Add(r.duration)
			if r.sentAt.Before(c.from.Add(cutNotice)) || end.After(c.to) || w.excused(r, end) || !w.pathLeft(c, r, end) || overlapsAny(noServer, r.sentAt, end) || w.plannedStops && r.host.stoppedDuring(r.sentAt, end) {
				continue
			}
			n := &others
			if c.hosts[r.host.ip] {
				n = &cutOff
			}
			n.sent++
			if r.seal != "" && !r.incomplete {
				n.served++
				continue
			}
			n.failed[fmt.Sprint(r.status, " ", r.body)]++
		}
		fmt.Printf("cut of %d hosts for %v: they served %d of %d first tries, the others %d of %d\n",
			len(c.hosts), c.to.Sub(c.from).Round(time.Millisecond), cutOff.served, cutOff.sent, others.served, others.sent)
		if others.sent < minOthers {
			continue
		}
		failed := cutOff.sent - cutOff.served
		allowed := cutAllowance + cutAllowedShare*float64(cutOff.sent+others.sent)
		if float64(failed) > allowed && float64(cutOff.served*others.sent) < minCutShare*float64(others.served*cutOff.sent) {
			w.failf("hosts cut off from all servers at %v served %d of %d first tries, the others %d of %d; failed there: %v, at the others: %v",
				c.from.Format("05.000"), cutOff.served, cutOff.sent, others.served, others.sent, cutOff.failed, others.failed)
		}
	}
}

// timesWithoutServer returns the times in which hosts that weren't cut off refused requests since
// no server was left: all were leaving, or in a hall that was evacuated. At the hosts that are cut
// off the same reason may well be due to the cut.
func (c pastCut) timesWithoutServer(requests []*request) []period {
	var out []period
	for _, r := range requests {
		if !c.hosts[r.host.ip] && strings.Contains(r.body, "no_server") {
			out = append(out, period{r.sentAt.Add(-noServerMargin), r.sentAt.Add(r.duration + noServerMargin)})
		}
	}
	return out
}

func overlapsAny(ps []period, from, to time.Time) bool {
	return slices.ContainsFunc(ps, func(p period) bool { return p.from.Before(to) && p.to.After(from) })
}

// pathLeft reports whether a host that was not cut off was undisturbed during a request, and not
// stopped.
func (w *world) pathLeft(c pastCut, r *request, end time.Time) bool {
	return slices.ContainsFunc(w.hosts, func(h *host) bool {
		return !c.hosts[h.ip] && !h.disturbedDuring(r.sentAt.Add(-restTime), end) && !(w.plannedStops && h.stoppedDuring(r.sentAt, end))
	})
}

// excused reports whether a request doesn't count: its key was revoked, its host was disturbed
// shortly before, or it was refused for one of excusedReasons.
func (w *world) excused(r *request, end time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, revoked := w.revokedAt[r.key]
	refused := slices.ContainsFunc(excusedReasons, func(why string) bool { return strings.Contains(r.body, why) })
	return revoked || refused || r.host.disturbedDuring(r.sentAt.Add(-restTime), end)
}
