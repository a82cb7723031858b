// Package broadcast decides by which hosts news reaches all hosts of a large
// cell.
//
// Where each host tells each other one, what a host sends and hears grows with
// the hosts of its cell, although each serves less than one request a second:
// 147 hosts with 133 requests a second cost each of them 700 datagrams a second
// in both directions. Beyond [directHosts] others, a host tells one forwarder
// of its data hall, which passes news on in batches, to the hosts of its hall
// and to a forwarder of each other hall. Who forwards is no role: each host
// works it out by itself from who is there, wide links first, and any host
// passes on what it is asked to. A forwarder that falls silent is replaced by
// the next; what was told meanwhile is lost, as datagrams may be.
//
// # Usage
//
//	hosts := broadcast.NewHosts(own, others)    // on each change of the cell
//	c := broadcast.NewChooser()
//	routes := c.Choose(now, hosts, broadcast.Evidence{Alive: ..., Heard: ...})
package broadcast

import (
	"net/netip"
	"slices"
	"time"

	"slipcrank.example/core/route"
)

const (
	// directHosts is up to how many others a host tells its news by itself.
	// With as many, it sends and hears about as many datagrams a second as
	// forwarders would send it batches.
	directHosts = 32
	// rankKey is what the hosts of a hall are ranked by.
	rankKey = "forwarders"
	// silence is how long a forwarder may say nothing to a host that tells it
	// news: 30 times the pause between its batches, and more than each host
	// of its hall says nothing.
	silence = 600 * time.Millisecond
	// lostTime is how long a silent forwarder isn't tried again. Each try costs
	// the news of silence.
	lostTime = 5 * time.Second
)

type (
	// Host is a host of the cell.
	Host struct {
		Name, Hall string
		Addr       netip.AddrPort
		// Link is the bandwidth of its link in Mbit/s, 0 if it isn't known.
		Link float64
		// StartNumber tells its starts apart.
		StartNumber uint32
	}

	// Hosts are the hosts of a cell as one of them sees them: an immutable
	// value.
	Hosts struct {
		own    Host
		others []netip.AddrPort
		mates  []netip.AddrPort  // the others of the own hall
		byHall map[string][]Host // in the order in which they are to forward
	}

	// Liveness tells what is known of other hosts.
	Liveness struct {
		// Alive reports whether a start of a host told something lately, however
		// it came here.
		Alive func(number uint32) bool
		// LastReceived is when a datagram came from an address last, zero if never.
		LastReceived func(addr netip.AddrPort) time.Duration
	}

	// Routes are who is told what.
	Routes struct {
		// Direct are all others, if they are told without a forwarder.
		Direct []netip.AddrPort
		// Forwarder is the own hall's; not valid if this host forwards itself.
		Forwarder netip.AddrPort
		// Hall are the other hosts of the own hall, and Remote the forwarders of
		// the other halls: whom this host passes news on to.
		Hall, Remote []netip.AddrPort
	}

	// RouteChooser chooses routes, and remembers which forwarders were lost. It is
	// for use by one goroutine.
	RouteChooser struct {
		chosen map[string]choice        // by hall
		lost   map[string]time.Duration // until when, by host
	}

	// choice is the forwarder of a hall.
	choice struct {
		name  string
		since time.Duration
	}
)

// NewHosts returns the hosts of a cell: the own one and others.
func NewHosts(own Host, others []Host) Hosts {
	hs := Hosts{own: own, others: addresses(others), byHall: map[string][]Host{}}
	names, links, byName := map[string][]string{}, map[string]float64{}, map[string]Host{}
	for _, h := range append([]Host{own}, others...) {
		names[h.Hall] = append(names[h.Hall], h.Name)
		links[h.Name], byName[h.Name] = h.Link, h
	}
	for _, h := range others {
		if h.Hall == own.Hall {
			hs.mates = append(hs.mates, h.Addr)
		}
	}
	for hall, ns := range names {
		for _, n := range route.RankByLink(rankKey, ns, links) {
			hs.byHall[hall] = append(hs.byHall[hall], byName[n])
		}
	}
	return hs
}

// NewRouteChooser returns a chooser that knows nothing yet.
func NewRouteChooser() *RouteChooser {
	return &RouteChooser{chosen: map[string]choice{}, lost: map[string]time.Duration{}}
}

// Choose returns who is told what from now on.
func (c *RouteChooser) Choose(now time.Duration, hs Hosts, e Liveness) Routes {
	if len(hs.others) <= directHosts {
		return Routes{Direct: hs.others}
	}
	out := Routes{Hall: hs.mates}
	if f := c.forwarder(now, hs.own.Name, hs.byHall[hs.own.Hall], e); f.Name != hs.own.Name {
		out.Forwarder = f.Addr
		// Other halls' forwarders tell the own one and not this host, so it can't
		// know which of them are silent. Judged all the same, they changed on each
		// host every 0.75 s, a quarter of all lines of its log (76 hosts, one day).
		c.forgetOthers(hs.own.Hall)
	}
	for hall, hosts := range hs.byHall {
		if hall == hs.own.Hall {
			continue
		}
		f := firstAlive(hosts, e)
		if !out.Forwarder.IsValid() {
			f = c.forwarder(now, hs.own.Name, hosts, e)
		}
		out.Remote = append(out.Remote, f.Addr)
	}
	slices.SortFunc(out.Remote, netip.AddrPort.Compare)
	return out
}

// forgetOthers forgets which forwarders were chosen in other halls than the own
// one: who begins to forward gives each of them time to be heard.
func (c *RouteChooser) forgetOthers(own string) {
	for hall := range c.chosen {
		if hall != own {
			delete(c.chosen, hall)
		}
	}
}

// firstAlive returns the first host that is there, or the very first if none is.
func firstAlive(hosts []Host, e Liveness) Host {
	i := slices.IndexFunc(hosts, func(h Host) bool { return e.Alive(h.StartNumber) })
	return hosts[max(i, 0)]
}

// forwarder chooses the forwarder of a hall: the first of its hosts that is
// there, or the very first if none is.
func (c *RouteChooser) forwarder(now time.Duration, own string, hosts []Host, e Liveness) Host {
	best := hosts[0]
	for _, h := range hosts {
		if h.Name == own || e.Alive(h.StartNumber) && !c.isLost(now, h, e) {
			best = h
			break
		}
	}
	if c.chosen[best.Hall].name != best.Name {
		c.chosen[best.Hall] = choice{best.Name, now}
	}
	return best
}

// isLost reports whether a host is known not to forward: it was told news and
// has said nothing since.
func (c *RouteChooser) isLost(now time.Duration, h Host, e Liveness) bool {
	if now < c.lost[h.Name] {
		return true
	}
	chosen := c.chosen[h.Hall]
	if chosen.name != h.Name || now-max(chosen.since, e.LastReceived(h.Addr)) <= silence {
		return false
	}
	c.lost[h.Name] = now + lostTime
	return true
}

func addresses(hosts []Host) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Addr)
	}
	return out
}
