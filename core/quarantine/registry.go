package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// Change reports that the stage of a suspect has changed.
	Change struct {
		Record Record
		Stage  Stage
		// Removed reports that the suspect was removed from the registry, because
		// its retention period has passed or the registry was full.
		Removed bool
	}

	// OwnRecord is the record of a suspect that this host has changed itself, by a
	// crash that it observed or confirmed or by clearing the suspect, with the time
	// since the last change.
	OwnRecord struct {
		Record Record
		Stage  Stage
		Age    time.Duration
	}

	// Registry stores the records of all suspects. It is safe for concurrent use.
	Registry struct {
		mu        sync.Mutex
		subject   subject
		suspects  map[Fingerprint]*suspect
		headCount map[HeadHash]int // number of suspects with this head hash
		histories map[string]crashHistory
		crashedAt map[uint32]time.Duration // when a crash of a server became known first; of parts only
	}

	suspect struct {
		record       Record
		changed      time.Duration            // when the record last changed or this host last recorded a crash in it
		since        time.Duration            // when the first of the current crashes became known
		attributedAt map[uint32]time.Duration // when each attributable crash became known, by server
		own          bool                     // whether this host has changed the record itself
		// reconciled reports that the current crashes need no further comparison with
		// the server list. listedSince is when a server among them was first found
		// on the list in this comparison, 0 if none was.
		reconciled  bool
		listedSince time.Duration
	}
)

// NewRegistry returns an empty registry of requests.
func NewRegistry() *Registry { return newRegistry(requests) }

func newRegistry(s subject) *Registry {
	return &Registry{subject: s, suspects: map[Fingerprint]*suspect{}, headCount: map[HeadHash]int{}, histories: map[string]crashHistory{}, crashedAt: map[uint32]time.Duration{}}
}

// MayContain reports whether some suspect has the head hash. If not, a request
// with this hash is no suspect, and its fingerprint need not be computed.
func (reg *Registry) MayContain(h HeadHash) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.headCount[h] > 0
}

// Stage returns the current stage of a request, Clear if it is no suspect.
func (reg *Registry) Stage(f Fingerprint) Stage {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if s := reg.suspects[f]; s != nil {
		return reg.subject.stage(s.record)
	}
	return Clear
}

// Lookup returns the record of a suspect and the time since it last changed, or
// zero values if there is none.
func (reg *Registry) Lookup(f Fingerprint, now time.Duration) (Record, time.Duration) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if s := reg.suspects[f]; s != nil {
		return s.record, now - s.changed
	}
	return Record{}, 0
}

// AwaitsConfirmation reports whether a request has to wait until its crashes are
// confirmed, or until confirmationTimeout has passed. A single crash doesn't make it
// wait: most requests that were running when a server crashed didn't cause the crash.
func (reg *Registry) AwaitsConfirmation(f Fingerprint, now time.Duration) bool {
	r, age := reg.Lookup(f, now)
	return len(r.Crashes) >= serializeAfterCrashes && r.HasUnconfirmed() && age < confirmationTimeout
}

// AddCrash records that a server crashed before it answered a request. It returns
// the resulting stage changes.
func (reg *Registry) AddCrash(id Identity, c Crash, now time.Duration) []Change {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.merge(Record{HeadHash: id.HeadHash, Fingerprint: id.Fingerprint, Workspace: id.Workspace, Crashes: []Crash{c}}, true, now)
}

// Merge merges a record received from another host. It returns the resulting stage
// changes.
func (reg *Registry) Merge(r Record, now time.Duration) []Change {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.merge(r, false, now)
}

// ConfirmCrash marks a server's crash as confirmed for all requests that were running
// on it. It returns the records changed by this, which have to be sent to other
// hosts, and the resulting stage changes.
func (reg *Registry) ConfirmCrash(server uint32, now time.Duration) ([]Record, []Change) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var updated []Record
	var changes []Change
	for _, s := range reg.suspects {
		if r, ok := s.record.withConfirmed(server); ok {
			updated = append(updated, r)
			changes = append(changes, reg.update(s, r, true, now)...)
		}
	}
	return updated, changes
}

// Crashed reports whether a crash of a server is recorded.
func (reg *Registry) Crashed(server uint32) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, s := range reg.suspects {
		if slices.ContainsFunc(s.record.Crashes, func(c Crash) bool { return c.Server == server }) {
			return true
		}
	}
	return false
}

// merge merges a record into the suspect with its fingerprint, which it creates if
// need be, and returns the resulting stage changes. own reports that the record
// is an observation of this host.
func (reg *Registry) merge(r Record, own bool, now time.Duration) []Change {
	var changes []Change
	s := reg.suspects[r.Fingerprint]
	if s == nil {
		changes = reg.evictIfFull(r.Workspace)
		s = &suspect{record: Record{HeadHash: r.HeadHash, Fingerprint: r.Fingerprint, Workspace: r.Workspace}}
		reg.suspects[r.Fingerprint] = s
		reg.headCount[r.HeadHash]++
	}
	if own {
		r.Pardons = s.record.Pardons
	}
	return append(changes, reg.update(s, s.record.merged(r, reg.subject.maxCrashes()), own, now)...)
}

// update replaces the record of a suspect, and returns the resulting stage changes.
func (reg *Registry) update(s *suspect, r Record, own bool, now time.Duration) []Change {
	before := reg.subject.stage(s.record)
	if reg.subject == parts {
		var attributed bool
		if r, attributed = reg.attribute(r, now); attributed {
			own = true // other hosts may have heard of all crashes at once
		}
	}
	if len(s.record.Crashes) == 0 || r.Pardons != s.record.Pardons {
		s.since = now
	}
	if own || r.Pardons != s.record.Pardons || !slices.Equal(r.Crashes, s.record.Crashes) {
		s.changed, s.reconciled, s.listedSince = now, false, 0
	}
	if r.Pardons != s.record.Pardons {
		s.attributedAt = nil
	}
	for _, c := range r.Crashes {
		if _, known := s.attributedAt[c.Server]; !known && c.attributable() {
			if s.attributedAt == nil {
				s.attributedAt = map[uint32]time.Duration{}
			}
			s.attributedAt[c.Server] = now
		}
	}
	s.record, s.own = r, s.own || own
	reg.updateHistory(r.Workspace)
	if after := reg.subject.stage(r); after != before {
		return []Change{{Record: r, Stage: after}}
	}
	return nil
}

// evictIfFull evicts one suspect if the registry, or the share of the workspace in
// it, is full.
func (reg *Registry) evictIfFull(workspace string) []Change {
	inWorkspace := 0
	for _, s := range reg.suspects {
		if s.record.Workspace == workspace {
			inWorkspace++
		}
	}
	if inWorkspace < maxSuspectsPerWorkspace && len(reg.suspects) < maxSuspects {
		return nil
	}
	var victim *suspect
	for _, s := range reg.suspects {
		if inWorkspace >= maxSuspectsPerWorkspace && s.record.Workspace != workspace {
			continue
		}
		if victim == nil || reg.evictedBefore(s, victim) {
			victim = s
		}
	}
	return []Change{reg.remove(victim)}
}

// evictedBefore reports whether a suspect is evicted before another one: suspects
// that are not blocked come first, then those whose record changed longest ago.
func (reg *Registry) evictedBefore(s, o *suspect) bool {
	blocked, otherBlocked := reg.subject.stage(s.record) == Blocked, reg.subject.stage(o.record) == Blocked
	if blocked != otherBlocked {
		return otherBlocked
	}
	return s.changed < o.changed
}

// remove removes a suspect from the registry.
func (reg *Registry) remove(s *suspect) Change {
	delete(reg.suspects, s.record.Fingerprint)
	if reg.headCount[s.record.HeadHash]--; reg.headCount[s.record.HeadHash] == 0 {
		delete(reg.headCount, s.record.HeadHash)
	}
	reg.updateHistory(s.record.Workspace)
	return Change{Record: s.record, Removed: true}
}

// ClearAnswered clears a suspect that was answered completely, since a server ran
// it without crashing. A blocked request stays blocked; a blocked part is cleared, since
// it is the answer to another request that has it. It reports whether a suspect was cleared.
func (reg *Registry) ClearAnswered(f Fingerprint, now time.Duration) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.suspects[f]
	return s != nil && (reg.subject == parts || reg.subject.stage(s.record) != Blocked) && reg.pardon(s, now)
}

// Pardon clears a suspect in any stage, also a blocked one. It reports whether a
// suspect was cleared.
func (reg *Registry) Pardon(f Fingerprint, now time.Duration) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.suspects[f]
	return s != nil && reg.pardon(s, now)
}

// pardon clears a suspect, and reports false if it was clear already. The record
// stays in the registry for its retention period with a higher pardon count, so that
// older records from other hosts don't restore its crashes.
func (reg *Registry) pardon(s *suspect, now time.Duration) bool {
	if len(s.record.Crashes) == 0 {
		return false
	}
	r := s.record
	r.Crashes = nil
	r.Pardons++
	reg.update(s, r, true, now) // the caller logs that the suspect is clear
	return true
}

// Expire removes the suspects whose retention period has passed, and returns them.
func (reg *Registry) Expire(now time.Duration) []Change {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	maps.DeleteFunc(reg.crashedAt, func(_ uint32, at time.Duration) bool { return now-at > suspectRetention })
	var changes []Change
	for _, s := range reg.suspects {
		retention := suspectRetention
		if reg.subject.stage(s.record) == Blocked {
			retention = BlockedRetention
		}
		if now-s.changed > retention {
			changes = append(changes, reg.remove(s))
		}
	}
	return changes
}

// OwnRecords returns the records that this host has changed itself, which it sends to
// other hosts. The most recently changed come first.
func (reg *Registry) OwnRecords(now time.Duration) []OwnRecord {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var out []OwnRecord
	for _, s := range reg.suspects {
		if s.own {
			out = append(out, OwnRecord{s.record, reg.subject.stage(s.record), now - s.changed})
		}
	}
	slices.SortFunc(out, func(x, y OwnRecord) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Record.HeadHash, y.Record.HeadHash))
	})
	return out
}

// Records returns the records of all suspects, in descending order of their stage.
func (reg *Registry) Records() []Record {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	out := make([]Record, 0, len(reg.suspects))
	for _, s := range reg.suspects {
		out = append(out, s.record)
	}
	slices.SortFunc(out, func(x, y Record) int {
		return cmp.Or(cmp.Compare(reg.subject.stage(y), reg.subject.stage(x)), cmp.Compare(x.HeadHash, y.HeadHash))
	})
	return out
}
