package quarantine

import (
	"slices"
	"time"
)

// What the platform's list says of a server.
const (
	// Inconclusive is all that proves nothing.
	Inconclusive Listing = iota
	// Listed servers live.
	Listed
	// Terminated are the starts of servers that are proved to have ended.
	Terminated
)

const (
	// listedTime is how long after its end a server may still be on the
	// platform's list, which it leaves after three heartbeats of 1.2 s, and again
	// how much longer it has to be there to count as living: after an outage of the
	// platform entries that lapsed are kept for 2.2 s.
	listedTime = 6 * time.Second
	// goneTime is how long a server has to be off the list: in one heartbeat of
	// 1.2 s all servers of a hall that was cut off leave it.
	goneTime = 1200 * time.Millisecond
	// cutTime is within what time others of its hall have left the list with it.
	cutTime = 10 * time.Second
	// rosterTime is for how long servers are remembered that have left the list.
	rosterTime = time.Minute
)

type (
	// Listing is what the platform's list says of a server.
	Listing int

	// Instance is a start of a server as the list has it.
	Instance struct {
		// ID names the start, Name the server in all its starts.
		ID, Name string
		Hall     string
	}

	// Roster remembers which servers the platform's list had. One goroutine owns it.
	Roster struct {
		starts map[uint32]*entry
	}

	entry struct {
		start    Instance
		listed   bool
		replaced bool
		left     time.Duration // when the list had it no more
	}
)

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{starts: map[uint32]*entry{}} }

// Update takes in a list that is current. It is called for each change, and now and
// then, since it forgets too.
func (r *Roster) Update(list []Instance, now time.Duration) {
	names := make(map[string]string, len(list))
	for _, s := range list {
		names[s.Name] = s.ID
		e := r.starts[ServerDigest(s.ID)]
		if e == nil {
			e = &entry{start: s}
			r.starts[ServerDigest(s.ID)] = e
		}
		e.listed, e.replaced = true, false
	}
	for server, e := range r.starts {
		id, named := names[e.start.Name]
		if id == e.start.ID {
			continue
		}
		if e.listed {
			e.listed, e.left = false, now
		}
		e.replaced = named
		if now-e.left > rosterTime {
			delete(r.starts, server)
		}
	}
}

// Listing returns what the list says of a server.
func (r *Roster) Listing(server uint32, now time.Duration) Listing {
	e := r.starts[server]
	switch {
	case e == nil:
		return Inconclusive
	case e.listed:
		return Listed
	case e.replaced:
		return Terminated
	case now-e.left < goneTime || !r.stands(e.start.Hall, now):
		return Inconclusive
	}
	return Terminated
}

// stands reports whether a hall has lost no more servers than it has.
func (r *Roster) stands(hall string, now time.Duration) bool {
	listed, lost := 0, 0
	for _, e := range r.starts {
		switch {
		case e.start.Hall != hall:
		case e.listed:
			listed++
		case !e.replaced && now-e.left < cutTime:
			lost++
		}
	}
	return listed >= lost
}

// Reconcile compares ends with the platform's list, and is called again and again while
// that is current. Ends that the list proves are proved. Ends of servers that stay
// on it long after are dropped: these have not ended. Whoever forges news can't
// take servers off the list. It returns the changes.
func (b *Registry) Reconcile(says func(server uint32) Listing, now time.Duration) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	for _, s := range b.suspects {
		changes = append(changes, b.prove(s, says, now)...)
		changes = append(changes, b.disbelieve(s, says, now)...)
	}
	return changes
}

// prove proves the ends of a suspect that the list proves.
func (b *Registry) prove(s *suspect, says func(server uint32) Listing, now time.Duration) []Change {
	r := s.record
	for _, e := range s.record.Crashes {
		if !e.Confirmed && says(e.Server) == Terminated {
			r, _ = r.withProved(e.Server)
		}
	}
	if slices.Equal(r.Crashes, s.record.Crashes) {
		return nil
	}
	return b.update(s, r, false, now) // others read the list too
}

// disbelieve drops ends of a suspect that the list belies.
func (b *Registry) disbelieve(s *suspect, says func(server uint32) Listing, now time.Duration) []Change {
	if s.checked || now-s.latest < listedTime {
		return nil
	}
	listed := func(e Crash) bool { return says(e.Server) == Listed }
	if !slices.ContainsFunc(s.record.Crashes, listed) {
		s.checked = true
		return nil
	}
	if s.listed == 0 {
		s.listed = now
	}
	if now-s.listed < listedTime {
		return nil
	}
	s.checked = true
	before := s.record.Stage()
	s.record.Crashes = slices.DeleteFunc(slices.Clone(s.record.Crashes), listed)
	s.blamed = s.blamed[:min(len(s.blamed), s.record.count(Crash.blames))]
	b.reckon(s.record.Workspace)
	switch after := s.record.Stage(); {
	case len(s.record.Crashes) == 0:
		return []Change{b.drop(s)}
	case after != before:
		return []Change{{Record: s.record, Stage: after}}
	}
	return nil
}
