package template

import "slices"

// recentLength bounds the changes that a daemon keeps for others that lag a
// little: about six hours at 1,100 changes a day.
const recentLength = 256

type (
	// RecentChanges is the immutable list of the last changes without a gap, oldest
	// first.
	RecentChanges struct {
		changes []Change
	}

	// Update moves a book forward: by changes, or by a whole newer book.
	Update struct {
		Changes  []Change
		Snapshot *Set
	}
)

// Append returns r with more changes; those that it has already are passed
// over, and after a gap only the newer ones are kept.
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
	return RecentChanges{changes: out[max(0, len(out)-recentLength):]}
}

// After returns the changes after a number, and false if the list does not
// reach back that far.
func (r RecentChanges) After(number uint64) ([]Change, bool) {
	if len(r.changes) == 0 || r.changes[0].Number > number+1 {
		return nil, false
	}
	i := min(number+1-r.changes[0].Number, uint64(len(r.changes)))
	return r.changes[i:], true
}

// Update returns b moved forward by u, and the recent changes that go with
// it. It never goes back.
func (b *Set) Update(u Update, r RecentChanges) (*Set, RecentChanges) {
	n := b.Newer(u.Snapshot)
	if n != b {
		r = RecentChanges{}
	}
	moved := n.Apply(u.Changes)
	if moved.Number() == n.Number() {
		return n, r
	}
	return moved, r.Append(u.Changes)
}

func lastNumber(cs []Change) uint64 {
	if len(cs) == 0 {
		return 0
	}
	return cs[len(cs)-1].Number
}
