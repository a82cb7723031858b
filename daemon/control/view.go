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
	// View is an immutable snapshot of the control state, for the goroutines
	// that handle requests.
	View struct {
		// Self is the daemon's own record.
		Self member.Member
		// Templates holds the templates in force, which were last updated at
		// TemplatesSince.
		Templates      *template.Set
		TemplatesSince time.Time
		// RecentChanges holds the last template changes.
		RecentChanges template.RecentChanges
		// Members holds the records of all members, including dead ones.
		Members []member.Member
		// Engines holds the records of all engines, including those that are
		// down.
		Engines []directory.Engine
		// PlatformDown reports whether the last request to the platform was
		// not answered.
		PlatformDown bool
		// Draining reports whether the daemon is draining before it stops.
		Draining bool

		liveDaemons map[string][]string // hall to addresses of its daemons
		engineSets  map[engineSetKey]*EngineSet
		owners      map[string]string       // engine to its owner, by address
		services    map[string][]hosts.Host // plain service to its hosts
		oldSite     []hosts.Host
		hosts       []hosts.Host
	}
)

func newView(s *State) *View {
	v := &View{
		Self:           s.members.Self(),
		Templates:      s.templates,
		TemplatesSince: s.templatesSince,
		RecentChanges:  s.recentChanges,
		Members:        s.members.All(),
		Engines:        s.engines.All(),
		PlatformDown:   s.platform.down,
		Draining:       s.draining,
		liveDaemons:    map[string][]string{},
		owners:         map[string]string{},
		services:       map[string][]hosts.Host{},
		hosts:          s.hosts,
	}
	for _, m := range v.Members {
		if m.Status == member.Alive || m.Status == member.Suspect {
			v.liveDaemons[m.Hall] = append(v.liveDaemons[m.Hall], m.Addr)
		}
	}
	for _, e := range v.Engines {
		v.owners[e.Addr] = route.Owner(e.Addr, v.liveDaemons[e.Hall])
	}
	v.engineSets = newEngineSets(v)
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

// LocalEngines returns the engines of the daemon's own hall that are up and hold
// the given version of a model. The set is nil if there are none.
func (v *View) LocalEngines(model, version string) *EngineSet {
	return v.engineSets[engineSetKey{local: true, model: model, version: version}]
}

// RemoteEngines returns the engines of all other halls that are up and hold the
// given version of a model. The set is nil if there are none.
func (v *View) RemoteEngines(model, version string) *EngineSet {
	return v.engineSets[engineSetKey{model: model, version: version}]
}

// Owner returns the address of the daemon that owns an engine, or "" if the
// engine is unknown or its hall has no live daemon.
func (v *View) Owner(engine string) string { return v.owners[engine] }

// Incarnation returns the last known incarnation of an engine, or 0 if the
// engine is unknown.
func (v *View) Incarnation(engine string) uint64 {
	i := slices.IndexFunc(v.Engines, func(e directory.Engine) bool { return e.Addr == engine })
	if i < 0 {
		return 0
	}
	return v.Engines[i].Incarnation
}

// ChecksFence reports whether an engine refuses orders with an old fence,
// according to the host list.
func (v *View) ChecksFence(engine string) bool {
	i := slices.IndexFunc(v.hosts, func(h hosts.Host) bool { return h.Addr == engine })
	return i >= 0 && v.hosts[i].ChecksFence
}

// LiveDaemons returns the addresses of the daemons of a hall that are alive or
// suspected.
func (v *View) LiveDaemons(hall string) []string { return v.liveDaemons[hall] }

// ServiceHosts returns the hosts of a plain service that are not leaving, those
// of the daemon's own hall first.
func (v *View) ServiceHosts(service string) []hosts.Host {
	hs := slices.Clone(v.services[service])
	slices.SortStableFunc(hs, func(a, b hosts.Host) int {
		return hallDistance(a, v.Self.Hall) - hallDistance(b, v.Self.Hall)
	})
	return hs
}

// AllHosts returns the platform's host list as it was last read.
func (v *View) AllHosts() []hosts.Host { return v.hosts }

// OldSite returns the front hosts of the old site that are not leaving.
func (v *View) OldSite() []hosts.Host { return v.oldSite }

// hallDistance returns 0 for a host in the given hall, and 1 for any other.
func hallDistance(h hosts.Host, hall string) int {
	if h.Hall == hall {
		return 0
	}
	return 1
}
