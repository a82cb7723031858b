package quarantine

import (
	"slices"
	"time"
)

const (
	// confineAfter is how many servers have to end within confineTime under a
	// workspace's suspects that ran apart, before all that it sends runs on one
	// server. One may be chance; whoever sends one deadly request after the other
	// would end all servers though each request is held in the end. A request that
	// is held ends no more of them, and counts once.
	confineAfter = 3
	confineTime  = time.Minute
	// endPause lies between two ends under such a workspace: as servers are back
	// after some four seconds, it keeps four of them down at most.
	endPause = time.Second
)

// offender is a workspace under whose suspects servers ended that ran apart: when
// they did, the last confineAfter times, and when any server of its suspects did.
type offender struct {
	ends []time.Duration
	last time.Duration
}

// Confined reports whether all that a workspace sends has to run on one server now,
// and whether it has to wait since one has just ended under it. Callers without a
// workspace are many: one of them doesn't confine the others.
func (b *Registry) Confined(workspace string, now time.Duration) (confined, waits bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, known := b.offenders[workspace]
	if !known || len(o.ends) < confineAfter || now-o.ends[0] >= confineTime {
		return false, false
	}
	return true, now-o.last < endPause
}

// reckon works out anew what a workspace's suspects say of it. It is called when
// one of them has changed, which is rare.
func (b *Registry) reckon(workspace string) {
	if workspace == "" {
		return
	}
	var o offender
	for _, s := range b.suspects {
		if s.record.Workspace != workspace || len(s.record.Crashes) == 0 {
			continue
		}
		o.last = max(o.last, s.latest)
		switch {
		case s.record.Stage() == Blocked:
			o.ends = append(o.ends, s.latest)
		default:
			o.ends = append(o.ends, s.blamed...)
		}
	}
	if len(o.ends) == 0 {
		delete(b.offenders, workspace)
		return
	}
	slices.Sort(o.ends)
	o.ends = o.ends[max(len(o.ends)-confineAfter, 0):]
	b.offenders[workspace] = o
}
