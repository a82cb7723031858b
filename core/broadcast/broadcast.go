// Package broadcast chooses the routes by which updates reach all hosts of a large
// cell.
//
// If each host sends its updates to all others, its traffic grows with the number of
// hosts in the cell, although each host serves less than one request per second: with
// 147 hosts and 133 requests/s, each host handled 700 datagrams/s in both directions.
// With more than [maxDirectHosts] others, a host sends its updates to a forwarder in
// its data hall, which forwards them in batches to the hosts of its hall and to a
// forwarder in each other hall. There is no election: each host computes the forwarders
// from the hosts that are alive, those with the fastest links first, and any host
// forwards what it receives for forwarding. A forwarder that falls silent is replaced by
// the next host; updates sent to it in the meantime are lost, like any datagram may be.
//
// # Usage
//
//	hosts := broadcast.NewHosts(own, others)    // on each change of the cell
//	c := broadcast.NewRouteChooser()
//	routes := c.Choose(now, hosts, broadcast.Liveness{Alive: ..., LastReceived: ...})
//	for _, addr := range contacts.Update(hosts, alive) { ... send it the running placements }
package broadcast

import (
	"iter"
	"net/netip"
	"slices"
	"time"

	"slipcrank.example/core/route"
)

const (
	// maxDirectHosts is the maximum number of other hosts to which a host sends its
	// updates directly. With as many, it sends and receives about as many datagrams
	// per second as it would receive batches from forwarders.
	maxDirectHosts = 32
	// rankKey is the key by which the hosts of a hall are ranked.
	rankKey = "forwarders"
	// forwarderTimeout is how long a forwarder may send nothing to a host that sends it
	// updates: 30 times the interval between its batches, and longer than the time
	// without updates after which each host of its hall sends a heartbeat, which the
	// forwarder forwards.
	forwarderTimeout = 600 * time.Millisecond
	// retryDelay is how long a silent forwarder is excluded. Each retry loses the
	// updates of one forwarderTimeout.
	retryDelay = 5 * time.Second
)

type (
	// Host is a host of the cell.
	Host struct {
		Name, Hall string
		Addr       netip.AddrPort
		// Link is the bandwidth of its link in Mbit/s, 0 if unknown.
		Link float64
		// StartNumber distinguishes its starts.
		StartNumber uint32
	}

	// Hosts is an immutable view of a cell's hosts from one of them.
	Hosts struct {
		own       Host
		others    []netip.AddrPort
		hallPeers []netip.AddrPort  // other hosts of the own hall
		byHall    map[string][]Host // in order of preference as forwarders
	}

	// Liveness reports which hosts are alive.
	Liveness struct {
		// Alive reports whether updates of a start of a host arrived recently,
		// directly or forwarded.
		Alive func(number uint32) bool
		// LastReceived returns when the last datagram from an address arrived, zero
		// if none has.
		LastReceived func(addr netip.AddrPort) time.Duration
	}

	// Routes says to which hosts updates are sent.
	Routes struct {
		// Direct lists all other hosts if updates are sent without a forwarder.
		Direct []netip.AddrPort
		// Forwarder is that of the own hall; invalid if this host is the forwarder.
		Forwarder netip.AddrPort
		// Hall lists the other hosts of the own hall, and Remote the forwarders of the
		// other halls. This host forwards to them.
		Hall, Remote []netip.AddrPort
	}

	// RouteChooser chooses routes, and excludes silent forwarders for a while. It is
	// not safe for concurrent use.
	RouteChooser struct {
		forwarders    map[string]forwarder     // by hall
		excludedUntil map[string]time.Duration // by host
	}

	// forwarder is the chosen forwarder of a hall.
	forwarder struct {
		name  string
		since time.Duration
	}
)

// NewHosts returns the view of a cell from the own host, with the other hosts.
func NewHosts(own Host, others []Host) Hosts {
	hs := Hosts{own: own, others: addresses(others), byHall: map[string][]Host{}}
	names, links, byName := map[string][]string{}, map[string]float64{}, map[string]Host{}
	for _, h := range append([]Host{own}, others...) {
		names[h.Hall] = append(names[h.Hall], h.Name)
		links[h.Name], byName[h.Name] = h.Link, h
	}
	for _, h := range others {
		if h.Hall == own.Hall {
			hs.hallPeers = append(hs.hallPeers, h.Addr)
		}
	}
	for hall, ns := range names {
		for _, n := range route.RankByLink(rankKey, ns, links) {
			hs.byHall[hall] = append(hs.byHall[hall], byName[n])
		}
	}
	return hs
}

// CountOthers returns the number of other hosts for whose start the given function is true.
func (hs Hosts) CountOthers(f func(startNumber uint32) bool) int {
	n := 0
	for h := range hs.otherHosts() {
		if f(h.StartNumber) {
			n++
		}
	}
	return n
}

// otherHosts returns the other hosts, in no particular order.
func (hs Hosts) otherHosts() iter.Seq[Host] {
	return func(yield func(Host) bool) {
		for _, hosts := range hs.byHall {
			for _, h := range hosts {
				if h.Name != hs.own.Name && !yield(h) {
					return
				}
			}
		}
	}
}

// Empty reports that there is no other host to send updates to.
func (r Routes) Empty() bool {
	return len(r.Direct) == 0 && !r.Forwarder.IsValid() && len(r.Hall) == 0 && len(r.Remote) == 0
}

// NewRouteChooser returns a chooser without state.
func NewRouteChooser() *RouteChooser {
	return &RouteChooser{forwarders: map[string]forwarder{}, excludedUntil: map[string]time.Duration{}}
}

// Choose returns the routes for updates sent from now on.
func (c *RouteChooser) Choose(now time.Duration, hs Hosts, l Liveness) Routes {
	if len(hs.others) <= maxDirectHosts {
		return Routes{Direct: hs.others}
	}
	out := Routes{Hall: hs.hallPeers}
	if f := c.forwarder(now, hs.own.Name, hs.byHall[hs.own.Hall], l); f.Name != hs.own.Name {
		out.Forwarder = f.Addr
		// Forwarders of other halls send to the own hall's forwarder and not to this
		// host, so it can't tell which of them are silent. When it applied the time-out
		// to them all the same, the chosen forwarders changed on each host every
		// 0.75 s, which made up a quarter of all its log lines (76 hosts, one day).
		c.forgetRemote(hs.own.Hall)
	}
	for hall, hosts := range hs.byHall {
		if hall == hs.own.Hall {
			continue
		}
		f := firstAlive(hosts, l)
		if !out.Forwarder.IsValid() {
			f = c.forwarder(now, hs.own.Name, hosts, l)
		}
		out.Remote = append(out.Remote, f.Addr)
	}
	slices.SortFunc(out.Remote, netip.AddrPort.Compare)
	return out
}

// forgetRemote forgets the chosen forwarders of all halls but the own one. When this
// host becomes a forwarder, each of them gets a full time-out to send something.
func (c *RouteChooser) forgetRemote(own string) {
	for hall := range c.forwarders {
		if hall != own {
			delete(c.forwarders, hall)
		}
	}
}

// firstAlive returns the first host that is alive, or the first of all if none is.
func firstAlive(hosts []Host, l Liveness) Host {
	i := slices.IndexFunc(hosts, func(h Host) bool { return l.Alive(h.StartNumber) })
	return hosts[max(i, 0)]
}

// forwarder chooses the forwarder of a hall: the first of its hosts that is this host
// or is alive and not excluded, or the first of all if there is none.
func (c *RouteChooser) forwarder(now time.Duration, own string, hosts []Host, l Liveness) Host {
	best := hosts[0]
	for _, h := range hosts {
		if h.Name == own || l.Alive(h.StartNumber) && !c.excluded(now, h, l) {
			best = h
			break
		}
	}
	if c.forwarders[best.Hall].name != best.Name {
		c.forwarders[best.Hall] = forwarder{best.Name, now}
	}
	return best
}

// excluded reports whether a host is excluded as a forwarder. It excludes the chosen
// forwarder of a hall if that has sent nothing for forwarderTimeout.
func (c *RouteChooser) excluded(now time.Duration, h Host, l Liveness) bool {
	if now < c.excludedUntil[h.Name] {
		return true
	}
	chosen := c.forwarders[h.Hall]
	if chosen.name != h.Name || now-max(chosen.since, l.LastReceived(h.Addr)) <= forwarderTimeout {
		return false
	}
	c.excludedUntil[h.Name] = now + retryDelay
	return true
}

func addresses(hosts []Host) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Addr)
	}
	return out
}
