// Package backend keeps the registry of a site's backend servers: which exist, and
// which accept new work.
//
// A [Registry] is updated row by row from the platform's list, and ignores rows that
// are older than the one it has. Entries lapse by themselves during an outage of the
// platform, so an entry that is missing right after one is retained for a short grace
// period: if the server is alive, its entry returns.
//
// # Usage
//
//	r := backend.NewRegistry()
//	r.Put(server, revision)
//	r.Remove(id, revision, now)
//	v := r.View(now)          // immutable
//	for _, s := range v.Ready("service") { ... }
package backend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"slipcrank.example/core/feed"
)

// lapseGrace is how long after the platform's return a missing entry may still be
// restored. The user documentation says about two seconds.
const lapseGrace = 2200 * time.Millisecond

// copyGrace is how long after the platform's return from a copy a server gets no work
// whose entry was gone before and is in the copy. If the server has ended, the platform
// removes the entry after three missed heartbeats.
const copyGrace = 6 * time.Second

// Kinds of changes of a server.
const (
	// Draining means that the server is leaving, and Unreadable that its entry can't
	// be parsed.
	Draining, Unreadable ChangeKind = "drains", "unreadable"
	// Removed means that the server's entry is gone. Retained means the same of an
	// entry that may have lapsed: the server gets work until it is Expired or Restored.
	Removed, Retained, Expired, Restored ChangeKind = "gone", "kept", "dropped", "back"
)

type (
	// Server is one start of a backend server.
	Server struct {
		// ID identifies this start. All state kept by a server's ID, such as its
		// placements and failures, belongs to one start and ends with it.
		ID string
		// Name is the platform's ID, which the server keeps across restarts; empty if
		// it equals ID.
		Name string
		// StartedMillis is the start time in Unix milliseconds, 0 if unknown.
		StartedMillis int64
		// Service is the name of the service that it provides.
		Service string
		// Addr is an IP address and a port. It may be reused by another server after
		// this one has ended.
		Addr string
		// Hall is the data hall in which it runs.
		Hall string
		// Slots is the number of requests that it processes concurrently.
		Slots int
		// Draining servers accept no new work.
		Draining bool
		// ColdLeft is how much longer the server was cold when it wrote its entry, and
		// ColdUntil the local time until which it is cold by that; both are 0 if it
		// wasn't. A cold server accepts few requests from all hosts together.
		ColdLeft, ColdUntil time.Duration
	}

	// ChangeKind says how a server began or ceased to leave.
	ChangeKind string

	// Change is a change of one server, for the log.
	Change struct {
		ID   string // of its start
		Kind ChangeKind
	}

	// Registry holds the servers' entries. It is not safe for concurrent use.
	Registry struct {
		entries     map[string]entry      // by the platform's ID
		evacuations map[string]evacuation // by hall, including those that were taken back
		expired     []string              // halls of evacuations that expired, since the last call of TakeExpiredEvacuations
		returned    time.Duration         // when the platform last returned from an outage
		changes     []Change              // since the last call of TakeChanges
		// lastAt is that of the views. If lastAtShared is set, a view has it.
		lastAt       map[string]string
		lastAtShared bool
	}

	entry struct {
		server   Server
		revision int64
		gone     bool
		// graceEnd is when the grace period ends of an entry that is gone and may have
		// lapsed; 0 for others. Later reports of the same return of the platform don't
		// move it: each would prolong the grace of a server that has left.
		graceEnd time.Duration
		// leaving reports that the server has said that it leaves. A start never takes
		// that back: a row that says so is older.
		leaving bool
		// present is the revision of the last row that was not gone.
		present int64
		// restoreAt is when an entry that is gone is restored unless it is removed again;
		// 0 for others.
		restoreAt time.Duration
	}

	// View is an immutable snapshot of all servers.
	View struct {
		byService map[string][]Server // those that accept new work, sorted by ID
		byID      map[string]*Server
		byName    map[string]*Server
		byAddr    map[string]*Server
		// lastAt has the platform's ID of the server that started last at an address,
		// empty if that isn't known. It may be gone.
		lastAt map[string]string

		evacuations map[string]evacuation
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries: map[string]entry{}, evacuations: map[string]evacuation{}, returned: -time.Hour,
		lastAt: map[string]string{},
	}
}

// PlatformReturned records that the platform answers again after an outage. Entries
// found to be gone within the grace period from now may have lapsed.
func (r *Registry) PlatformReturned(now time.Duration) { r.returned = now }

// PlatformID returns the ID by which the platform knows the server, the same for all
// its starts.
func (s Server) PlatformID() string { return cmp.Or(s.Name, s.ID) }

// Put adds or replaces an entry, and reports whether that changed the registry. A row
// of an earlier start never replaces that of a later one, even at a higher revision.
func (r *Registry) Put(s Server, revision int64) bool {
	old, ok := r.entries[s.PlatformID()]
	if ok && (old.revision >= revision || s.StartedMillis < old.server.StartedMillis) {
		return false
	}
	e := entry{server: s, revision: revision, leaving: s.Draining, present: revision}
	if ok && old.server.ID == s.ID {
		if old.inCopy(revision) {
			old.revision, old.restoreAt = revision, r.returned+copyGrace
			r.entries[s.PlatformID()] = old
			return false
		}
		e.leaving = e.leaving || old.leaving
		e.server.Draining = e.leaving
	}
	r.entries[s.PlatformID()] = e
	r.recordStart(s.PlatformID())
	switch {
	case ok && !old.gone && e.server.Draining && !old.server.Draining:
		r.addChange(s, Draining)
	case ok && old.gone && !e.server.Draining:
		r.addChange(s, Restored)
	}
	return !ok || old.gone || old.server != e.server
}

// inCopy reports whether the entry is gone for good, and a row of the same start at the
// given revision is the one from before, in a copy of the platform's data.
func (e entry) inCopy(revision int64) bool {
	return e.gone && e.graceEnd == 0 && feed.Era(revision) > feed.Era(e.revision) && feed.Counter(revision) <= feed.Counter(e.present)
}

// recordStart updates which server started last at the address of an entry. Few addresses
// are those of several entries.
func (r *Registry) recordStart(id string) {
	addr := r.entries[id].server.Addr
	last, known := r.lastAt[addr]
	if last == id {
		return
	}
	if known {
		id = r.lastStart(addr)
	}
	if r.lastAtShared {
		r.lastAt, r.lastAtShared = maps.Clone(r.lastAt), false
	}
	r.lastAt[addr] = id
}

// lastStart returns the platform's ID of the server that started last at an address, empty
// if that isn't known.
func (r *Registry) lastStart(addr string) string {
	var last entry
	id := ""
	first := true
	for i, e := range r.entries {
		switch {
		case e.server.Addr != addr:
		case first || e.startedAfter(last):
			last, id, first = e, i, false
		case !last.startedAfter(e):
			id = ""
		}
	}
	return id
}

// startedAfter reports whether the server of the entry is known to have started after that
// of another one. Revisions of different eras don't tell.
func (e entry) startedAfter(other entry) bool {
	if e.server.StartedMillis > 0 && other.server.StartedMillis > 0 {
		return e.server.StartedMillis > other.server.StartedMillis
	}
	return feed.Era(e.present) == feed.Era(other.present) && e.present > other.present
}

// addChange records a change for the log.
func (r *Registry) addChange(s Server, k ChangeKind) { r.changes = append(r.changes, Change{s.ID, k}) }

// TakeChanges returns the changes since the last call.
func (r *Registry) TakeChanges() []Change {
	c := r.changes
	r.changes = nil
	return c
}

// MarkUnreadable records that a server's entry can't be parsed: the server gets no new
// work until it can. It reports whether that changed the registry.
func (r *Registry) MarkUnreadable(id string, revision int64) bool {
	old, ok := r.entries[id]
	if !ok || old.gone || old.revision >= revision {
		return false
	}
	changed := !old.server.Draining
	old.revision, old.server.Draining = revision, true
	r.entries[id] = old
	if changed {
		r.addChange(old.server, Unreadable)
	}
	return changed
}

// Remove records that an entry is gone, and reports whether that changed the registry.
func (r *Registry) Remove(id string, revision int64, now time.Duration) bool {
	old, ok := r.entries[id]
	if !ok || old.revision > revision {
		return false
	}
	if old.gone {
		if old.restoreAt > 0 {
			old.revision, old.restoreAt = revision, 0
			r.entries[id] = old
		}
		return false
	}
	old.revision, old.gone = revision, true
	kind := Removed
	if end := r.returned + lapseGrace; !old.server.Draining && now < end {
		old.graceEnd, kind = end, Retained
	}
	r.entries[id] = old
	r.addChange(old.server, kind)
	return true
}

// RemoveMissing removes all entries that a complete list doesn't contain, and reports
// whether that changed the registry.
func (r *Registry) RemoveMissing(present map[string]bool, revision int64, now time.Duration) bool {
	changed := false
	for id := range r.entries {
		if !present[id] && r.Remove(id, revision, now) {
			changed = true
		}
	}
	return changed
}

// HasRetained reports whether the view changes with time alone: whether any server is
// retained whose entry may have lapsed, or is not used yet whose entry is in a copy, or an
// evacuation may have been lost.
func (r *Registry) HasRetained() bool {
	for _, e := range r.entries {
		if e.graceEnd > 0 || e.restoreAt > 0 {
			return true
		}
	}
	for _, e := range r.evacuations {
		if e.lostUntil > 0 {
			return true
		}
	}
	return false
}

// View returns a snapshot of the servers. It drops servers whose grace period is over.
// Servers of evacuated halls count as draining.
func (r *Registry) View(now time.Duration) *View {
	r.expireEvacuations(now)
	r.lastAtShared = true
	size := len(r.entries)
	v := &View{
		byService: map[string][]Server{},
		byID:      make(map[string]*Server, size), byName: make(map[string]*Server, size), byAddr: make(map[string]*Server, size),
		evacuations: maps.Clone(r.evacuations),
		lastAt:      r.lastAt,
	}
	all := make([]Server, 0, size) // never grows, since the maps point into it
	for id, e := range r.entries {
		if e.graceEnd > 0 && now >= e.graceEnd {
			r.addChange(e.server, Expired)
			e.graceEnd = 0
			r.entries[id] = e
		}
		if e.restoreAt > 0 && now >= e.restoreAt {
			e.gone, e.restoreAt, e.present = false, 0, e.revision
			r.entries[id] = e
			r.recordStart(id)
			r.addChange(e.server, Restored)
		}
		if e.gone && e.graceEnd == 0 {
			continue
		}
		s := e.server
		s.Draining = s.Draining || v.Evacuated(s.Hall)
		all = append(all, s)
		p := &all[len(all)-1]
		v.byID[s.ID], v.byName[id], v.byAddr[s.Addr] = p, p, p
	}
	v.setReady(all)
	return v
}

// setReady sets the servers of each service that accept new work. It sorts pointers, since
// moving whole servers takes several times as long.
func (v *View) setReady(all []Server) {
	ready, counts := make([]*Server, 0, len(all)), map[string]int{}
	for i := range all {
		if s := &all[i]; !s.Draining {
			ready = append(ready, s)
			counts[s.Service]++
		}
	}
	slices.SortFunc(ready, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	for service, n := range counts {
		v.byService[service] = make([]Server, 0, n)
	}
	for _, s := range ready {
		v.byService[s.Service] = append(v.byService[s.Service], *s)
	}
}

// Ready returns the servers of a service that accept new work, sorted by ID.
func (v *View) Ready(service string) []Server { return v.byService[service] }

// Get returns the server with the ID of a start, including draining ones.
func (v *View) Get(id string) (Server, bool) { return copyOf(v.byID[id]) }

// Current returns the newest start of the server with the platform's ID.
func (v *View) Current(platformID string) (Server, bool) { return copyOf(v.byName[platformID]) }

// copyOf returns a copy of a server, and false if there is none.
func copyOf(s *Server) (Server, bool) {
	if s == nil {
		return Server{}, false
	}
	return *s, true
}

// Replaced reports whether the view has another, later start of the server.
func (v *View) Replaced(s Server) bool {
	current, ok := v.byName[s.PlatformID()]
	return ok && current.ID != s.ID
}

// AddressTaken reports whether another server has started at a server's address, which has
// therefore ended, whether its entry is still listed or not.
func (v *View) AddressTaken(s Server) bool {
	last := v.lastAt[s.Addr]
	return last != "" && last != s.PlatformID()
}

// Find returns the server with the given ID of a start, platform's ID, or address.
func (v *View) Find(name string) (Server, bool) {
	if s, ok := v.byID[name]; ok {
		return *s, true
	}
	if s, ok := v.byName[name]; ok {
		return *s, true
	}
	return copyOf(v.byAddr[name])
}

// AcceptsWork reports whether a server may get new work.
func (v *View) AcceptsWork(id string) bool {
	s, ok := v.byID[id]
	return ok && !s.Draining
}

// HasAddr reports whether any server has the address.
func (v *View) HasAddr(addr string) bool {
	_, ok := v.byAddr[addr]
	return ok
}

// Services returns the sorted names of all services that have ready servers.
func (v *View) Services() []string { return slices.Sorted(maps.Keys(v.byService)) }

// IDs returns the IDs of all servers, including draining ones, in no particular order.
func (v *View) IDs() []string { return slices.Collect(maps.Keys(v.byID)) }

// Len returns the number of servers.
func (v *View) Len() int { return len(v.byID) }
