package gateway

import (
	"slices"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
)

// hasHomes reports whether a call may run in some regions only.
func (c *call) hasHomes() bool { return len(c.route.Homes) > 0 || len(c.workspace.Homes) > 0 }

// isHome reports whether a call may run on a server. If both its route and its workspace
// are restricted to regions, both restrictions apply.
func (g *Gateway) isHome(c *call, server backend.Server) bool {
	region := g.regions[server.Hall]
	allows := func(homes []string) bool { return len(homes) == 0 || slices.Contains(homes, region) }
	return allows(c.route.Homes) && allows(c.workspace.Homes)
}

// homeServers returns the ready servers of a service on which a call may run: those that
// this host uses, or all if none of these is in a home region.
func (g *Gateway) homeServers(c *call, s State, service string) []backend.Server {
	usable := s.usableServers(service)
	if !c.hasHomes() {
		return usable
	}
	elsewhere := func(server backend.Server) bool { return !g.isHome(c, server) }
	if home := slices.DeleteFunc(slices.Clone(usable), elsewhere); len(home) > 0 {
		return home
	}
	return slices.DeleteFunc(slices.Clone(s.Servers.Ready(service)), elsewhere)
}

// placedAtHome reports whether a call may run on all servers of its placement. Its homes
// may have changed since it was placed.
func (g *Gateway) placedAtHome(c *call, s State, p schedule.Placement) bool {
	if !c.hasHomes() {
		return true
	}
	return !slices.ContainsFunc(append([]string{p.Lead}, p.Helpers...), func(id string) bool {
		server, known := s.Servers.Get(id)
		return !known || !g.isHome(c, server)
	})
}
