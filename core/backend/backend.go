// Package backend knows the backend servers of a site: which there are, and
// which may get new work.
//
// A [Registry] takes in what the platform's list says, row by row, and never goes
// back to an older row. Entries lapse by themselves while the platform is
// away, so one that is gone right after an outage is kept for a short while:
// if the server lives, its entry returns.
//
// # Usage
//
//	b := backend.NewBook()
//	b.Put(server, revision)
//	b.Remove(id, revision, now)
//	v := b.View(now)          // immutable
//	for _, s := range v.Ready("service") { ... }
package backend

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// lapseGrace is how long after the platform's return a missing entry may
// still come back. The users' pages say about two seconds.
const lapseGrace = 2200 * time.Millisecond

// The changes of a server.
const (
	// Draining says that it is leaving, and Unreadable that its entry can't be used.
	Draining, Unreadable ChangeKind = "drains", "unreadable"
	// Removed says that its entry has gone. Retained says the same of an entry that may
	// have lapsed: the server gets work until it is Expired or Restored.
	Removed, Retained, Expired, Restored ChangeKind = "gone", "kept", "dropped", "back"
)

type (
	// Server is one start of a backend server.
	Server struct {
		// ID names this start: all that is known of a server by its ID, placed
		// there or held against it, belongs to one start and ends with it.
		ID string
		// Name is the platform's ID, which the server keeps when it starts again;
		// "" if that is ID.
		Name string
		// StartedMillis is when it started, in Unix milliseconds; 0 if it doesn't say.
		StartedMillis int64
		// Service is the name of what it serves.
		Service string
		// Addr is an IP number and a port. After the server's end it may
		// belong to another.
		Addr string
		// Hall is the data hall in which it runs.
		Hall string
		// Slots is how many requests it works on at once.
		Slots int
		// Draining servers take no new work.
		Draining bool
	}

	// ChangeKind is what becomes of a server that gets new work, or of one that gets none.
	ChangeKind string

	// Change is a change of one server, for the log.
	Change struct {
		ID   string // of its start
		Kind ChangeKind
	}

	// Registry collects the entries. One goroutine owns it.
	Registry struct {
		entries  map[string]entry // by the platform's ID
		returned time.Duration    // when the platform was last back
		leaving  []Change         // since they were asked for last
	}

	entry struct {
		server   Server
		revision int64
		gone     bool
		// until is when the grace is over of one that has gone and may have lapsed;
		// 0 for others. It stays so if the return that it runs from is told again:
		// each word of it would keep a server that left.
		until time.Duration
	}

	// View is an immutable picture of all servers.
	View struct {
		byService map[string][]Server
		byID      map[string]Server
		byName    map[string]Server
		byAddr    map[string]Server
	}
)

// NewRegistry returns an empty book.
func NewRegistry() *Registry { return &Registry{entries: map[string]entry{}, returned: -time.Hour} }

// PlatformReturned notes that the platform answers again after an outage. Entries
// that turn out to be gone from now on, and for a short while, may have lapsed.
func (b *Registry) PlatformReturned(now time.Duration) { b.returned = now }

// PlatformID is the ID by which the platform knows the server, in all its starts.
func (s Server) PlatformID() string { return cmp.Or(s.Name, s.ID) }

// Put takes in an entry, and reports whether it changed what is known. What an
// earlier start wrote late doesn't take the place of a later one.
func (b *Registry) Put(s Server, revision int64) bool {
	old, ok := b.entries[s.PlatformID()]
	if ok && (old.revision >= revision || s.StartedMillis < old.server.StartedMillis) {
		return false
	}
	b.entries[s.PlatformID()] = entry{server: s, revision: revision}
	switch {
	case ok && !old.gone && s.Draining && !old.server.Draining:
		b.note(s, Draining)
	case ok && old.gone && !s.Draining:
		b.note(s, Restored)
	}
	return !ok || old.gone || old.server != s
}

// note keeps a change for the log.
func (b *Registry) note(s Server, c ChangeKind) { b.leaving = append(b.leaving, Change{s.ID, c}) }

// TakeChanges returns how servers began and ceased to leave since the last call.
func (b *Registry) TakeChanges() []Change {
	l := b.leaving
	b.leaving = nil
	return l
}

// MarkUnreadable takes in that a server's entry can't be used: the server gets no new work
// until it can. It reports whether that changed what is known.
func (b *Registry) MarkUnreadable(id string, revision int64) bool {
	old, ok := b.entries[id]
	if !ok || old.gone || old.revision >= revision {
		return false
	}
	changed := !old.server.Draining
	old.revision, old.server.Draining = revision, true
	b.entries[id] = old
	if changed {
		b.note(old.server, Unreadable)
	}
	return changed
}

// Remove takes in that an entry is gone, and reports whether that was new.
func (b *Registry) Remove(id string, revision int64, now time.Duration) bool {
	old, ok := b.entries[id]
	if !ok || old.gone || old.revision > revision {
		return false
	}
	old.revision, old.gone = revision, true
	change := Removed
	if until := b.returned + lapseGrace; !old.server.Draining && now < until {
		old.until, change = until, Retained
	}
	b.entries[id] = old
	b.note(old.server, change)
	return true
}

// RemoveMissing takes in a whole list: what it lacks is gone.
func (b *Registry) RemoveMissing(present map[string]bool, revision int64, now time.Duration) bool {
	changed := false
	for id := range b.entries {
		if !present[id] && b.Remove(id, revision, now) {
			changed = true
		}
	}
	return changed
}

// HasRetained reports whether servers are kept whose entries lapsed.
func (b *Registry) HasRetained() bool {
	for _, e := range b.entries {
		if e.until > 0 {
			return true
		}
	}
	return false
}

// View returns what is known now. Servers whose grace is over are forgotten.
func (b *Registry) View(now time.Duration) *View {
	v := &View{
		byService: map[string][]Server{},
		byID:      map[string]Server{}, byName: map[string]Server{}, byAddr: map[string]Server{},
	}
	for id, e := range b.entries {
		if e.until > 0 && now >= e.until {
			b.note(e.server, Expired)
			e.until = 0
			b.entries[id] = e
		}
		if e.gone && e.until == 0 {
			continue
		}
		v.byID[e.server.ID] = e.server
		v.byName[id] = e.server
		v.byAddr[e.server.Addr] = e.server
		if !e.server.Draining {
			v.byService[e.server.Service] = append(v.byService[e.server.Service], e.server)
		}
	}
	for _, ss := range v.byService {
		slices.SortFunc(ss, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// Ready returns the servers of a service that take new work, by ID.
func (v *View) Ready(service string) []Server { return v.byService[service] }

// Get returns a server, also one that is draining.
func (v *View) Get(id string) (Server, bool) {
	s, ok := v.byID[id]
	return s, ok
}

// Current returns the newest start of the server that the platform knows by an ID.
func (v *View) Current(platformID string) (Server, bool) {
	s, ok := v.byName[platformID]
	return s, ok
}

// Replaced reports whether a start of a server is over since a later one is known.
func (v *View) Replaced(s Server) bool {
	now, ok := v.byName[s.PlatformID()]
	return ok && now.ID != s.ID
}

// Find returns the server with this ID, of the platform's or of a start, or with
// this address.
func (v *View) Find(name string) (Server, bool) {
	if s, ok := v.byID[name]; ok {
		return s, true
	}
	if s, ok := v.byName[name]; ok {
		return s, true
	}
	s, ok := v.byAddr[name]
	return s, ok
}

// AcceptsWork reports whether a server may still get new work.
func (v *View) AcceptsWork(id string) bool {
	s, ok := v.byID[id]
	return ok && !s.Draining
}

// HasAddr reports whether any known server has the address.
func (v *View) HasAddr(addr string) bool {
	_, ok := v.byAddr[addr]
	return ok
}

// Services returns the names of all services that have ready servers.
func (v *View) Services() []string { return slices.Sorted(maps.Keys(v.byService)) }

// IDs returns the IDs of all servers, also of those that are draining.
func (v *View) IDs() []string { return slices.Collect(maps.Keys(v.byID)) }

// Len returns how many servers are known.
func (v *View) Len() int { return len(v.byID) }
