// Package gossip spreads versioned records from daemon to daemon on messages
// that are sent anyway.
//
// A [Set] holds one record a key. A record that is newer than the known one
// replaces it and is then hot: it rides on the next messages, a number of
// times that grows with the logarithm of the members, and then rests. The
// cost of a quiet set is nothing.
//
// # Usage
//
//	s := gossip.New(key, newer)
//	if s.Merge(r) { ... }          // r was news
//	message.Records = s.News(8, members)
package gossip

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// sendFactor times the logarithm of the members is how often a record
	// rides; 3 reaches all with a probability close to one.
	sendFactor = 3
	// knownFactor is the part of these rides, one in so many, that a record is
	// spared when another daemon turns out to know all that is known here.
	knownFactor = 2
)

type (
	// Set holds records of type T by key. One goroutine owns it.
	Set[T any] struct {
		key     func(T) string
		newer   func(a, b T) bool
		records map[string]T
		hot     map[string]int // key to times sent
	}
)

// New returns an empty set. Newer reports whether a replaces b; it must be a
// strict order, so that all daemons end with the same record.
func New[T any](key func(T) string, newer func(a, b T) bool) *Set[T] {
	return &Set[T]{key: key, newer: newer, records: map[string]T{}, hot: map[string]int{}}
}

// Merge takes a record if it is unknown or newer, and reports whether it was.
func (s *Set[T]) Merge(v T) bool {
	k := s.key(v)
	old, ok := s.records[k]
	if ok && !s.newer(v, old) {
		return false
	}
	s.records[k] = v
	s.hot[k] = 0
	return true
}

// Get returns the record with key k, and whether there is one.
func (s *Set[T]) Get(k string) (T, bool) {
	v, ok := s.records[k]
	return v, ok
}

// Delete forgets the record with key k.
func (s *Set[T]) Delete(k string) {
	delete(s.records, k)
	delete(s.hot, k)
}

// All returns all records by key.
func (s *Set[T]) All() []T {
	out := make([]T, 0, len(s.records))
	for _, v := range s.records {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(s.key(a), s.key(b)) })
	return out
}

// Len returns the number of records.
func (s *Set[T]) Len() int { return len(s.records) }

// PeerInSync says that some other daemon, picked at random, has the same records.
// What is hot has then most likely gone round, and rides less often from now on;
// whoever lacks it still gets it by a sync.
func (s *Set[T]) PeerInSync(members int) {
	for k := range s.hot {
		s.sent(k, rides(members)/knownFactor, members)
	}
}

// rides returns how often a record rides among so many members.
func rides(members int) int { return sendFactor * bits.Len(uint(members)) }

// sent counts a hot record as sent n more times.
func (s *Set[T]) sent(k string, n, members int) {
	s.hot[k] += n
	if s.hot[k] >= rides(members) {
		delete(s.hot, k)
	}
}

// Updates returns at most n hot records, the least sent first, and counts them
// as sent. Members is the number of daemons to reach.
func (s *Set[T]) Updates(n, members int) []T {
	if len(s.hot) == 0 {
		return nil
	}
	ks := make([]string, 0, len(s.hot))
	for k := range s.hot {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.hot[a], s.hot[b]), cmp.Compare(a, b))
	})
	ks = ks[:min(n, len(ks))]
	out := make([]T, len(ks))
	for i, k := range ks {
		out[i] = s.records[k]
		s.sent(k, 1, members)
	}
	return out
}
