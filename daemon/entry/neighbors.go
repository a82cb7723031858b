package entry

import (
	"log/slog"
	"net/netip"
	"slices"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/broadcast"
	"slipcrank.example/core/cell"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/watch"
)

const (
	// minServersInCell is the minimum number of a service's servers in a cell. If there
	// are fewer, the hosts of the cell use all servers of the service.
	minServersInCell = 8
	// defaultMaxIdle is the maximum number of idle connections to a server without a
	// connection limit: about two for each slot of an engine.
	defaultMaxIdle = 32
)

// neighbors holds the servers and hosts of a host's cell. It is an immutable value.
type neighbors struct {
	cells      int                         // in the whole fleet
	own        int                         // the cell of this host
	listed     []watch.Host                // all hosts, as listed by the platform
	otherHosts int                         // in the whole fleet
	peers      map[string]bool             // other hosts of the cell, by name
	servers    map[string][]backend.Server // of the cell, by service; without services of which all are used
	hosts      broadcast.Hosts             // this host and its peers
	ranking    ranking                     // of all hosts
}

// withCellCount returns the neighbors with the number of cells after a change of servers. It
// depends on the largest service and on the current number in n; if it changes, the fields
// that depend on the hosts are out of date.
func (n *neighbors) withCellCount(servers *backend.View) *neighbors {
	largest := 0
	for _, name := range servers.Services() {
		largest = max(largest, len(servers.Ready(name)))
	}
	out := *n
	out.cells = cell.Count(largest, n.cells)
	return &out
}

// withHosts returns the neighbors of a host after a change of the other hosts or of the
// number of cells, without the field hosts.
func (n *neighbors) withHosts(host watch.Host, others []watch.Host) *neighbors {
	out := *n
	names := make([]string, 0, len(others)+1)
	names = append(names, host.Name)
	for _, o := range others {
		names = append(names, o.Name)
	}
	out.otherHosts = len(others)
	out.own, out.peers = cell.OfHost(host.Name, names, out.cells)
	out.ranking = newRanking(host, others)
	return &out
}

// withCellServers returns the neighbors with the servers of this host's cell.
func (n *neighbors) withCellServers(servers *backend.View) *neighbors {
	out := *n
	out.servers = map[string][]backend.Server{}
	if out.cells == 1 {
		return &out
	}
	for _, name := range servers.Services() {
		var inCell []backend.Server
		for _, s := range servers.Ready(name) {
			if cell.OfServer(s.PlatformID(), out.cells) == out.own {
				inCell = append(inCell, s)
			}
		}
		if len(inCell) >= minServersInCell {
			out.servers[name] = inCell
		}
	}
	return &out
}

// setHosts updates everything that depends on the platform's lists of hosts and servers,
// of which the watcher has read a new version. What depends on the hosts is updated only if
// they have changed, since in a large fleet that takes milliseconds.
func (e *Entry) setHosts(hosts []watch.Host) {
	s := e.watcher.State()
	e.mergeStoredSuspects(s.Suspects)
	e.applyCold(s)
	own := e.settings.Load()
	old := e.neighbors.Load()
	now := old.withCellCount(s.Servers)
	changed := now.cells != old.cells || !slices.Equal(hosts, old.listed)
	if changed {
		others := e.excludeOwn(hosts)
		now = now.withHosts(watch.Host{Name: own.Host, Hall: own.Hall, Link: own.Link}, others)
		now.listed = hosts
		now.hosts = e.cellHosts(own, others, now.peers)
		e.setGrantHosts(others)
		e.checkListed()
	}
	now = now.withCellServers(s.Servers)
	e.neighbors.Store(now)
	if now.otherHosts != old.otherHosts || now.cells != old.cells || len(now.peers) != len(old.peers) {
		e.log.Write(event.HostsChanged, slog.Int("others", now.otherHosts), slog.Int("cells", now.cells), slog.Int("told", len(now.peers)))
		signal(e.routeSignal)
	}
	e.metrics.Set("other_hosts", int64(now.otherHosts))
}

// checkListed has this host's row written again if the platform has that of an earlier
// start: a write that got no answer may take effect late.
func (e *Entry) checkListed() {
	if row, ok := e.listedHost(); ok && e.announcedAt.Load() > 0 && row.Number != e.startNumber {
		signal(e.announceSignal)
	}
}

// excludeOwn returns the hosts without this host, under its current name or an earlier
// one with the same address.
func (e *Entry) excludeOwn(hosts []watch.Host) []watch.Host {
	own := e.settings.Load()
	var out []watch.Host
	for _, h := range hosts {
		if h.Name != own.Host && h.Addr != own.Listen.News {
			out = append(out, h)
		}
	}
	return out
}

// cellHosts returns the hosts of the cell to which updates can be sent. It skips and logs
// hosts with a malformed address.
func (e *Entry) cellHosts(own *settings.Entry, others []watch.Host, peers map[string]bool) broadcast.Hosts {
	var hosts []broadcast.Host
	for _, h := range others {
		if !peers[h.Name] {
			continue
		}
		a, err := netip.ParseAddrPort(h.Addr)
		if err != nil {
			e.log.Write(event.UpdateLost, slog.String("of", h.Name), slog.String("error", err.Error()))
			continue
		}
		hosts = append(hosts, broadcast.Host{Name: h.Name, Hall: h.Hall, Addr: a, Link: h.Link, StartNumber: h.Number})
	}
	return broadcast.NewHosts(broadcast.Host{Name: own.Host, Hall: own.Hall, Link: own.Link, StartNumber: e.startNumber}, hosts)
}

// chooseRoutes chooses the routes by which this host's updates reach its cell, and logs
// them if they differ from the old ones.
func (e *Entry) chooseRoutes(c *broadcast.RouteChooser, old broadcast.Routes) broadcast.Routes {
	now := e.clock.Now()
	r := c.Choose(now, e.neighbors.Load().hosts, broadcast.Liveness{
		Alive:        e.hostAlive(),
		LastReceived: e.exchange.LastReceived,
	})
	e.exchange.SetRoutes(r)
	if r.Forwarder != old.Forwarder || !slices.Equal(r.Remote, old.Remote) {
		e.log.Write(event.ForwardersChosen, slog.String("forwarder", r.Forwarder.String()),
			slog.Any("remote", r.Remote), slog.Int("hall", len(r.Hall)), slog.Int("direct", len(r.Direct)))
	}
	return r
}

// hostAlive returns a function that reports whether a start of another host is alive now, by
// the messages that have arrived from it.
func (e *Entry) hostAlive() func(startNumber uint32) bool {
	now := e.clock.Now()
	return func(startNumber uint32) bool { return e.scheduler.HostAlive(startNumber, now) }
}

// sendRunning sends this host's running placements to the hosts of its cell that have just
// started. Without them, a host that starts takes all engines for idle, and its first long
// prompts stop the streams on the engines that it chooses.
func (e *Entry) sendRunning(c *broadcast.Contacts) {
	if started := c.Update(e.neighbors.Load().hosts, e.hostAlive()); len(started) > 0 {
		e.exchange.SendRunning(started, e.scheduler.OwnPlacements())
	}
}

// maxIdleConns returns the maximum number of idle connections to the server at an address.
// The idle connections of all hosts that use the server take at most half of its
// connection limit, so that the other half is left for connections in use.
func (e *Entry) maxIdleConns(addr string) int {
	s := e.watcher.State()
	server, known := s.Servers.Find(addr)
	if !known || s.Config == nil {
		return 1
	}
	service, _ := s.Config.Service(server.Service)
	if service.MaxConns <= 0 {
		return defaultMaxIdle
	}
	n := e.neighbors.Load()
	users := n.otherHosts + 1
	if _, divided := n.servers[server.Service]; divided {
		users = len(n.peers) + 1
	}
	return max(service.MaxConns/2/users, 1)
}
