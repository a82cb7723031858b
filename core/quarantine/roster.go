package quarantine

import (
	"maps"
	"slices"
	"time"
)

// States of a server according to the platform's server list.
const (
	// Inconclusive means that the list proves neither that the server runs nor that
	// it has terminated.
	Inconclusive Listing = iota
	// Listed servers are running.
	Listed
	// Terminated servers have certainly terminated.
	Terminated
)

const (
	// maxListLag is how long a server may stay on the platform's list after its crash:
	// the list drops it after three heartbeats of 1.2 s, and after an outage of the
	// platform it keeps expired entries for 2.2 s. A server counts as running if it is
	// found on the list after this time and again after the same time once more.
	maxListLag = 6 * time.Second
	// minAbsence is how long a server has to be missing from the list. The servers of
	// a hall that is cut off all disappear within one heartbeat of 1.2 s.
	minAbsence = 1200 * time.Millisecond
	// hallLossWindow is the period over which servers missing from the same hall are
	// counted together.
	hallLossWindow = 10 * time.Second
	// delistedRetention is how long a server is remembered after it has left the list.
	delistedRetention = time.Minute
)

type (
	// Listing is the state of a server according to the platform's server list.
	Listing int

	// Instance is one incarnation of a server on the list.
	Instance struct {
		// ID identifies the incarnation, Name the server across restarts.
		ID, Name string
		Hall     string
	}

	// Roster tracks which servers are or were on the platform's server list. It is not
	// safe for concurrent use.
	Roster struct {
		entries map[uint32]*entry // by ServerDigest
	}

	entry struct {
		instance   Instance
		listed     bool
		replaced   bool          // a later instance of the same server is listed
		delistedAt time.Duration // when the instance left the list
	}
)

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{entries: map[uint32]*entry{}} }

// Update applies a current list. It has to be called for each change of the list, and
// also regularly without changes, since it removes outdated entries too.
func (r *Roster) Update(list []Instance, now time.Duration) {
	ids := make(map[string]string, len(list)) // by name
	for _, s := range list {
		ids[s.Name] = s.ID
		e := r.entries[ServerDigest(s.ID)]
		if e == nil {
			e = &entry{instance: s}
			r.entries[ServerDigest(s.ID)] = e
		}
		e.listed, e.replaced = true, false
	}
	for server, e := range r.entries {
		id, found := ids[e.instance.Name]
		if id == e.instance.ID {
			continue
		}
		if e.listed {
			e.listed, e.delistedAt = false, now
		}
		e.replaced = found
		if now-e.delistedAt > delistedRetention {
			delete(r.entries, server)
		}
	}
}

// Listing returns the state of a server, given by its digest, according to the list.
func (r *Roster) Listing(server uint32, now time.Duration) Listing {
	e := r.entries[server]
	switch {
	case e == nil:
		return Inconclusive
	case e.listed:
		return Listed
	case e.replaced:
		return Terminated
	case now-e.delistedAt < minAbsence || !r.hallReachable(e.instance.Hall, now):
		return Inconclusive
	}
	return Terminated
}

// hallReachable reports whether at least as many servers of a hall are listed as have
// left the list within hallLossWindow without being replaced. Otherwise the hall may
// be cut off from the platform.
func (r *Roster) hallReachable(hall string, now time.Duration) bool {
	listed, lost := 0, 0
	for _, e := range r.entries {
		switch {
		case e.instance.Hall != hall:
		case e.listed:
			listed++
		case !e.replaced && now-e.delistedAt < hallLossWindow:
			lost++
		}
	}
	return listed >= lost
}

// Reconcile compares the recorded crashes with the platform's server list, where
// listing returns the state of a server given by its digest. It has to be called
// regularly while the list is current. Crashes of terminated servers are confirmed.
// Crashes of servers that stay on the list for long are dropped, since these servers
// have not crashed; a forged record thus loses its effect, as its sender can't remove
// servers from the list. Reconcile returns the resulting changes.
func (reg *Registry) Reconcile(listing func(server uint32) Listing, now time.Duration) []Change {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var changes []Change
	for _, s := range reg.suspects {
		changes = append(changes, reg.confirmTerminated(s, listing, now)...)
		changes = append(changes, reg.dropRefuted(s, listing, now)...)
	}
	return changes
}

// confirmTerminated confirms the crashes of servers that have terminated according to
// the list.
func (reg *Registry) confirmTerminated(s *suspect, listing func(server uint32) Listing, now time.Duration) []Change {
	r := s.record
	for _, c := range s.record.Crashes {
		if !c.Confirmed && listing(c.Server) == Terminated {
			r, _ = r.withConfirmed(c.Server)
		}
	}
	if slices.Equal(r.Crashes, s.record.Crashes) {
		return nil
	}
	return reg.update(s, r, false, now) // own is false, since other hosts read the same list
}

// dropRefuted drops the crashes of servers that still run according to the list.
func (reg *Registry) dropRefuted(s *suspect, listing func(server uint32) Listing, now time.Duration) []Change {
	if s.reconciled || now-s.changed < maxListLag {
		return nil
	}
	listed := func(c Crash) bool { return listing(c.Server) == Listed }
	if !slices.ContainsFunc(s.record.Crashes, listed) {
		s.reconciled = true
		return nil
	}
	if s.listedSince == 0 {
		s.listedSince = now
	}
	if now-s.listedSince < maxListLag {
		return nil
	}
	s.reconciled = true
	before := reg.subject.stage(s.record)
	s.record.Crashes = slices.DeleteFunc(slices.Clone(s.record.Crashes), listed)
	maps.DeleteFunc(s.attributedAt, func(server uint32, _ time.Duration) bool { return listing(server) == Listed })
	reg.updateHistory(s.record.Workspace)
	switch after := reg.subject.stage(s.record); {
	case len(s.record.Crashes) == 0:
		return []Change{reg.remove(s)}
	case after != before:
		return []Change{{Record: s.record, Stage: after}}
	}
	return nil
}
