package control

import (
	"slices"
	"time"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
)

type (
	// View is an immutable snapshot of the control state, for traffic.
	View struct {
		// Self is the daemon's own record.
		Self member.Member
		// Templates has the templates in force, since BookAt.
		Templates      *template.Set
		TemplatesSince time.Time
		// RecentChanges has the last template changes.
		RecentChanges template.RecentChanges
		// Members has all daemons known.
		Members []member.Member
		// Engines has all engines known.
		Engines []directory.Engine
		// PlatformDown says that the platform does not answer.
		PlatformDown bool
		// Draining says that the daemon takes no new requests.
		Draining bool

		live     map[string][]string // hall to daemons
		groups   map[groupKey]*EngineSet
		owners   map[string]string       // engine to its owner
		services map[string][]hosts.Host // plain service to its hosts
		oldSite  []hosts.Host
		hosts    []hosts.Host
	}
)

func newView(s *State) *View {
	v := &View{
		Self:           s.members.Self(),
		Templates:      s.book,
		TemplatesSince: s.bookAt,
		RecentChanges:  s.recent,
		Members:        s.members.All(),
		Engines:        s.engines.All(),
		PlatformDown:   s.platform.down,
		Draining:       s.draining,
		live:           map[string][]string{},
		owners:         map[string]string{},
		services:       map[string][]hosts.Host{},
		hosts:          s.hosts,
	}
	for _, m := range v.Members {
		if m.Status == member.Alive || m.Status == member.Suspect {
			v.live[m.Hall] = append(v.live[m.Hall], m.Addr)
		}
	}
	for _, e := range v.Engines {
		v.owners[e.Addr] = route.Owner(e.Addr, v.live[e.Hall])
	}
	v.groups = newGroups(v)
	for _, h := range s.hosts {
		v.addHost(h)
	}
	return v
}

func (v *View) addHost(h hosts.Host) {
	if h.Leaving {
		return
	}
	switch h.Role {
	case hosts.Service:
		v.services[h.Service] = append(v.services[h.Service], h)
	case hosts.OldSite:
		v.oldSite = append(v.oldSite, h)
	}
}

// LocalEngines returns the engines of the daemon's own hall that are up and hold a
// model in a version; it may be nil.
func (v *View) LocalEngines(model, version string) *EngineSet {
	return v.groups[groupKey{home: true, model: model, version: version}]
}

// RemoteEngines returns those of the other halls; it may be nil.
func (v *View) RemoteEngines(model, version string) *EngineSet {
	return v.groups[groupKey{model: model, version: version}]
}

// Owner returns the daemon that owns an engine, or "".
func (v *View) Owner(engine string) string { return v.owners[engine] }

// Incarnation returns the life that an engine is in, as far as known, or 0.
func (v *View) Incarnation(engine string) uint64 {
	i := slices.IndexFunc(v.Engines, func(e directory.Engine) bool { return e.Addr == engine })
	if i < 0 {
		return 0
	}
	return v.Engines[i].Incarnation
}

// ChecksFence reports whether the host list says that an engine refuses orders
// with an old fence.
func (v *View) ChecksFence(engine string) bool {
	i := slices.IndexFunc(v.hosts, func(h hosts.Host) bool { return h.Addr == engine })
	return i >= 0 && v.hosts[i].ChecksFence
}

// LiveDaemons returns the daemons of a hall that are thought alive.
func (v *View) LiveDaemons(hall string) []string { return v.live[hall] }

// ServiceHosts returns the hosts of a plain service, those of the daemon's own hall
// first.
func (v *View) ServiceHosts(service string) []hosts.Host {
	hs := slices.Clone(v.services[service])
	slices.SortStableFunc(hs, func(a, b hosts.Host) int {
		return far(a, v.Self.Hall) - far(b, v.Self.Hall)
	})
	return hs
}

// AllHosts returns the platform's host list as it was last read.
func (v *View) AllHosts() []hosts.Host { return v.hosts }

// OldSite returns the fronts of the old site.
func (v *View) OldSite() []hosts.Host { return v.oldSite }

func far(h hosts.Host, hall string) int {
	if h.Hall == hall {
		return 0
	}
	return 1
}
