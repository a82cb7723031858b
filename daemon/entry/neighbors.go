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
	// fewServers is the least number of a service's servers in a cell; with
	// fewer, hosts use all of the service.
	fewServers = 8
	// idleUnbounded is how many connections are kept to a server that names no
	// bound: about two for each of an engine's slots.
	idleUnbounded = 32
)

// neighbors are the servers and hosts of a host's cell: an immutable value.
type neighbors struct {
	cells  int
	others int                         // hosts of the whole fleet
	mates  map[string]bool             // hosts of the cell, without this one
	near   map[string][]backend.Server // by service, where not all are used
	cell   broadcast.Hosts             // this host and its mates
}

// divide returns the neighbors of a host.
func (n *neighbors) divide(host string, others []watch.Host, servers *backend.View) *neighbors {
	most := 0
	for _, name := range servers.Services() {
		most = max(most, len(servers.Ready(name)))
	}
	names := []string{host}
	for _, o := range others {
		names = append(names, o.Name)
	}
	out := &neighbors{cells: cell.Count(most, n.cells), others: len(others), near: map[string][]backend.Server{}}
	mine, mates := cell.OfHost(host, names, out.cells)
	out.mates = mates
	if out.cells == 1 {
		return out
	}
	for _, name := range servers.Services() {
		var near []backend.Server
		for _, s := range servers.Ready(name) {
			if cell.OfServer(s.PlatformID(), out.cells) == mine {
				near = append(near, s)
			}
		}
		if len(near) >= fewServers {
			out.near[name] = near
		}
	}
	return out
}

// setHosts takes in who the other hosts are, and what servers there are now.
func (e *Entry) setHosts(hosts []watch.Host) {
	e.hearStored(e.watcher.State().Suspects)
	own := e.settings.Load()
	others := e.others(hosts)
	old := e.neighbors.Load()
	now := old.divide(own.Host, others, e.watcher.State().Servers)
	now.cell = e.cellHosts(own, others, now.mates)
	e.neighbors.Store(now)
	e.setHolders(others)
	if now.others != old.others || now.cells != old.cells || len(now.mates) != len(old.mates) {
		e.log.Write(event.HostsChanged, slog.Int("others", now.others), slog.Int("cells", now.cells), slog.Int("told", len(now.mates)))
		wake(e.known)
	}
	e.metrics.Set("other_hosts", int64(now.others))
}

// others returns the hosts without this one, also in an earlier start at its address.
func (e *Entry) others(hosts []watch.Host) []watch.Host {
	own := e.settings.Load()
	var out []watch.Host
	for _, h := range hosts {
		if h.Name != own.Host && h.Addr != own.Listen.News {
			out = append(out, h)
		}
	}
	return out
}

// cellHosts are the hosts of the cell that can be told news.
func (e *Entry) cellHosts(own *settings.Entry, others []watch.Host, mates map[string]bool) broadcast.Hosts {
	var hosts []broadcast.Host
	for _, h := range others {
		if !mates[h.Name] {
			continue
		}
		a, err := netip.ParseAddrPort(h.Addr)
		if err != nil {
			e.log.Write(event.NewsLost, slog.String("of", h.Name), slog.String("error", err.Error()))
			continue
		}
		hosts = append(hosts, broadcast.Host{Name: h.Name, Hall: h.Hall, Addr: a, Link: h.Link, StartNumber: h.Number})
	}
	return broadcast.NewHosts(broadcast.Host{Name: own.Host, Hall: own.Hall, Link: own.Link, StartNumber: e.number}, hosts)
}

// routeNews decides anew by whom this host's news reach the cell.
func (e *Entry) routeNews(c *broadcast.RouteChooser, old broadcast.Routes) broadcast.Routes {
	now := e.clock.Now()
	r := c.Choose(now, e.neighbors.Load().cell, broadcast.Liveness{
		Alive:        func(number uint32) bool { return e.board.HostAlive(number, now) },
		LastReceived: e.news.LastReceived,
	})
	e.news.SetRoutes(r)
	if r.Forwarder != old.Forwarder || !slices.Equal(r.Remote, old.Remote) {
		e.log.Write(event.NewsRouted, slog.String("forwarder", r.Forwarder.String()),
			slog.Any("remote", r.Remote), slog.Int("hall", len(r.Hall)), slog.Int("direct", len(r.Direct)))
	}
	return r
}

// maxIdle is how many connections to a server this host may keep, so that all
// that use the server leave half of what it takes to those in use.
func (e *Entry) maxIdle(addr string) int {
	s := e.watcher.State()
	server, known := s.Servers.Find(addr)
	if !known || s.Config == nil {
		return 1
	}
	service, _ := s.Config.Service(server.Service)
	if service.MaxConns <= 0 {
		return idleUnbounded
	}
	n := e.neighbors.Load()
	sharing := n.others + 1
	if _, part := n.near[server.Service]; part {
		sharing = len(n.mates) + 1
	}
	return max(service.MaxConns/2/sharing, 1)
}
