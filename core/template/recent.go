package template

import "slices"

// maxRecentChanges is the maximum number of changes that a daemon keeps in memory
// for daemons that lag slightly behind: about six hours at 1,100 changes a day.
const maxRecentChanges = 256

type (
	// RecentChanges is the immutable list of the latest changes, oldest first and
	// without gaps.
	RecentChanges struct {
		changes []Change
	}

	// Update holds what advances a set: further changes, a complete newer set,
	// or both.
	Update struct {
		Changes  []Change
		Snapshot *Set
	}
)

// Append returns r extended by the changes cs. Changes that r already includes
// are skipped, and after a gap, only the later changes are kept.
func (r RecentChanges) Append(cs []Change) RecentChanges {
	out := slices.Clone(r.changes)
	for _, c := range cs {
		last := lastNumber(out)
		if c.Number <= last {
			continue
		}
		if last > 0 && c.Number != last+1 {
			out = out[:0]
		}
		out = append(out, c)
	}
	return RecentChanges{changes: out[max(0, len(out)-maxRecentChanges):]}
}

// After returns the changes with a higher number, and false if the list does not
// reach back to the one that follows number.
func (r RecentChanges) After(number uint64) ([]Change, bool) {
	if len(r.changes) == 0 || r.changes[0].Number > number+1 {
		return nil, false
	}
	i := min(number+1-r.changes[0].Number, uint64(len(r.changes)))
	return r.changes[i:], true
}

// Update returns s after the update u, and the recent changes that belong to the
// result. The number of the result is never lower than that of s.
func (s *Set) Update(u Update, r RecentChanges) (*Set, RecentChanges) {
	newer := s.Newer(u.Snapshot)
	if newer != s {
		r = RecentChanges{}
	}
	updated := newer.Apply(u.Changes)
	if updated.Number() == newer.Number() {
		return newer, r
	}
	return updated, r.Append(u.Changes)
}

func lastNumber(cs []Change) uint64 {
	if len(cs) == 0 {
		return 0
	}
	return cs[len(cs)-1].Number
}
