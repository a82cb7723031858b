package reach

import "time"

// Silence tracks whether a host has heard others all the time. A host that heard none for longer
// than its bound was probably cut off from them. It isn't safe for concurrent use.
type Silence struct {
	bound    time.Duration
	heard    bool
	last     time.Duration // when a host was heard last
	from, to time.Duration // the last silence above the bound
}

// NewSilence returns the state of a host that has heard no other.
func NewSilence(bound time.Duration) Silence { return Silence{bound: bound} }

// Heard records that another host is heard.
func (s *Silence) Heard(now time.Duration) {
	if s.heard && now-s.last > s.bound {
		s.from, s.to = s.last, now
	}
	s.heard, s.last = true, now
}

// Since reports whether no host was heard for longer than the bound, at some time since the given
// one. It is false if none was heard before.
func (s *Silence) Since(since, now time.Duration) bool {
	if !s.heard {
		return false
	}
	return now-max(s.last, since) > s.bound || s.to-max(s.from, since) > s.bound
}
