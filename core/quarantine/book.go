package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

type (
	// Change is a suspect whose stage has changed.
	Change struct {
		Record Record
		Stage  Stage
		// Removed says that it was dropped, since it is old or there were too
		// many.
		Removed bool
	}

	// OwnRecord is a suspect of which this host has evidence of its own, with the time
	// since that last changed.
	OwnRecord struct {
		Record Record
		Age    time.Duration
	}

	// Registry is what is known of suspects. It is safe for use by many goroutines.
	Registry struct {
		mu        sync.Mutex
		suspects  map[Fingerprint]*suspect
		marks     map[HeadHash]int // how many suspects have the mark
		offenders map[string]offender
	}

	suspect struct {
		record Record
		latest time.Duration   // when more was learnt of it
		blamed []time.Duration // when ends became known that blame it
		own    bool            // whether this host has evidence of its own
		// checked says that its ends were compared with the list of servers, and
		// listed when one of these was found there first, 0 for none.
		checked bool
		listed  time.Duration
	}
)

// NewRegistry returns an empty book.
func NewRegistry() *Registry {
	return &Registry{suspects: map[Fingerprint]*suspect{}, marks: map[HeadHash]int{}, offenders: map[string]offender{}}
}

// MayContain reports whether a suspect has the mark, and so whether the print of a
// request with that mark has to be looked up.
func (b *Registry) MayContain(m HeadHash) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.marks[m] > 0
}

// Stage returns what becomes of a request now.
func (b *Registry) Stage(p Fingerprint) Stage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[p]; s != nil {
		return s.record.Stage()
	}
	return Clear
}

// Lookup returns what is known of a suspect, and how old that is.
func (b *Registry) Lookup(p Fingerprint, now time.Duration) (Record, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[p]; s != nil {
		return s.record, now - s.latest
	}
	return Record{}, 0
}

// AwaitsConfirmation reports whether a request has to wait until it is proved or not that
// servers have ended under it, where there are several. It doesn't wait for the first:
// most requests under which one has ended didn't end it.
func (b *Registry) AwaitsConfirmation(p Fingerprint, now time.Duration) bool {
	r, age := b.Lookup(p, now)
	return len(r.Crashes) >= doubtfulEnds && r.HasUnconfirmed() && age < verdictTime
}

// AddCrash notes that a server has ended with a request's answer due. It returns the
// stages that changed.
func (b *Registry) AddCrash(id Identity, e Crash, now time.Duration) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(Record{HeadHash: id.HeadHash, Fingerprint: id.Fingerprint, Workspace: id.Workspace, Crashes: []Crash{e}}, true, now)
}

// Merge takes in what another host knows of a suspect.
func (b *Registry) Merge(r Record, now time.Duration) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(r, false, now)
}

// ConfirmCrash notes that a server's end is proved, for all requests under which it ended.
// It returns what is known of these now, which others have to be told, and the
// stages that changed.
func (b *Registry) ConfirmCrash(server uint32, now time.Duration) ([]Record, []Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var more []Record
	var changes []Change
	for _, s := range b.suspects {
		if r, is := s.record.withProved(server); is {
			more = append(more, r)
			changes = append(changes, b.update(s, r, true, now)...)
		}
	}
	return more, changes
}

// merge adds what a record says, and returns the stages that changed.
func (b *Registry) merge(r Record, own bool, now time.Duration) []Change {
	var changes []Change
	s := b.suspects[r.Fingerprint]
	if s == nil {
		changes = b.makeRoom(r.Workspace)
		s = &suspect{record: Record{HeadHash: r.HeadHash, Fingerprint: r.Fingerprint, Workspace: r.Workspace}}
		b.suspects[r.Fingerprint] = s
		b.marks[r.HeadHash]++
	}
	if own {
		r.Pardons = s.record.Pardons
	}
	return append(changes, b.update(s, s.record.with(r), own, now)...)
}

// update replaces what is known of a suspect, and returns the stages that changed.
func (b *Registry) update(s *suspect, r Record, own bool, now time.Duration) []Change {
	before := s.record.Stage()
	if own || r.Pardons != s.record.Pardons || !slices.Equal(r.Crashes, s.record.Crashes) {
		s.latest, s.checked, s.listed = now, false, 0
	}
	if r.Pardons != s.record.Pardons {
		s.blamed = nil
	}
	for range r.count(Crash.blames) - len(s.blamed) {
		s.blamed = append(s.blamed, now)
	}
	s.record, s.own = r, s.own || own
	b.reckon(r.Workspace)
	if after := r.Stage(); after != before {
		return []Change{{Record: r, Stage: after}}
	}
	return nil
}

// makeRoom drops a suspect if there are as many as there may be.
func (b *Registry) makeRoom(workspace string) []Change {
	ofOne := 0
	for _, s := range b.suspects {
		if s.record.Workspace == workspace {
			ofOne++
		}
	}
	if ofOne < mostOfOne && len(b.suspects) < most {
		return nil
	}
	var oldest *suspect
	for _, s := range b.suspects {
		if ofOne >= mostOfOne && s.record.Workspace != workspace {
			continue
		}
		if oldest == nil || s.before(oldest) {
			oldest = s
		}
	}
	return []Change{b.drop(oldest)}
}

// before reports whether a suspect falls out before another one.
func (s *suspect) before(o *suspect) bool {
	held, other := s.record.Stage() == Blocked, o.record.Stage() == Blocked
	if held != other {
		return other
	}
	return s.latest < o.latest
}

// drop forgets a suspect.
func (b *Registry) drop(s *suspect) Change {
	delete(b.suspects, s.record.Fingerprint)
	if b.marks[s.record.HeadHash]--; b.marks[s.record.HeadHash] == 0 {
		delete(b.marks, s.record.HeadHash)
	}
	b.reckon(s.record.Workspace)
	return Change{Record: s.record, Removed: true}
}

// ClearAnswered notes that a request was answered whole: it ends no servers. It
// reports whether the request was a suspect. What is held stays held.
func (b *Registry) ClearAnswered(p Fingerprint, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	return s != nil && s.record.Stage() != Blocked && b.pardon(s, now)
}

// Pardon clears a suspect, also one that is held, and reports whether there was
// one.
func (b *Registry) Pardon(p Fingerprint, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	return s != nil && b.pardon(s, now)
}

// pardon clears a suspect, unless it is clear. It is kept for a while, so that
// others who know less don't bring it back.
func (b *Registry) pardon(s *suspect, now time.Duration) bool {
	if s.record.Stage() == Clear {
		return false
	}
	r := s.record
	r.Crashes = nil
	r.Pardons++
	b.update(s, r, true, now) // that it is clear now is for the caller to note
	return true
}

// Expire drops what is too old, and returns it.
func (b *Registry) Expire(now time.Duration) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	for _, s := range b.suspects {
		life := suspectTime
		if s.record.Stage() == Blocked {
			life = BlockedRetention
		}
		if now-s.latest > life {
			changes = append(changes, b.drop(s))
		}
	}
	return changes
}

// OwnRecords returns the suspects of which this host has evidence of its own, the last
// to change first: others are told of these.
func (b *Registry) OwnRecords(now time.Duration) []OwnRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []OwnRecord
	for _, s := range b.suspects {
		if s.own {
			out = append(out, OwnRecord{s.record, now - s.latest})
		}
	}
	slices.SortFunc(out, func(x, y OwnRecord) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Record.HeadHash, y.Record.HeadHash))
	})
	return out
}

// Records returns what is known of all suspects, those that are held first.
func (b *Registry) Records() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Record, 0, len(b.suspects))
	for _, s := range b.suspects {
		out = append(out, s.record)
	}
	slices.SortFunc(out, func(x, y Record) int {
		return cmp.Or(cmp.Compare(y.Stage(), x.Stage()), cmp.Compare(x.HeadHash, y.HeadHash))
	})
	return out
}
