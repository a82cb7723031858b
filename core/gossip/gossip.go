// Package gossip spreads versioned records between daemons by piggybacking them on
// messages that are sent anyway.
//
// A [Set] holds one record per key. A record that replaces an older one is pending: it
// is attached to the next messages, a number of times that grows with the logarithm of
// the number of members. A set without pending records adds nothing to the messages.
//
// # Usage
//
//	s := gossip.New(key, newer)
//	if s.Merge(r) { ... }          // r was unknown or newer
//	message.Records = s.Updates(8, members)
package gossip

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// sendFactor times the logarithm of the number of members is how often a record
	// is sent; with 3, a record reaches all members with a probability close to one.
	sendFactor = 3
	// inSyncDivisor divides the number of sends: one part in so many is skipped each
	// time that another daemon is found to have the same records.
	inSyncDivisor = 2
)

type (
	// Set holds records of type T by key. It is not safe for concurrent use.
	Set[T any] struct {
		key     func(T) string
		newer   func(a, b T) bool
		records map[string]T
		pending map[string]int // number of sends, by key
	}
)

// New returns an empty set. Newer reports whether a replaces b; it must be a strict
// order, so that all daemons converge on the same record.
func New[T any](key func(T) string, newer func(a, b T) bool) *Set[T] {
	return &Set[T]{key: key, newer: newer, records: map[string]T{}, pending: map[string]int{}}
}

// Merge stores a record if it is unknown or newer, and reports whether it was.
func (s *Set[T]) Merge(v T) bool {
	k := s.key(v)
	old, ok := s.records[k]
	if ok && !s.newer(v, old) {
		return false
	}
	s.records[k] = v
	s.pending[k] = 0
	return true
}

// Get returns the record with key k, and whether there is one.
func (s *Set[T]) Get(k string) (T, bool) {
	v, ok := s.records[k]
	return v, ok
}

// Delete removes the record with key k.
func (s *Set[T]) Delete(k string) {
	delete(s.records, k)
	delete(s.pending, k)
}

// All returns all records, sorted by key.
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

// PeerInSync records that another daemon, picked at random, has the same records. The
// pending records have then most likely reached most members and are sent less often
// from now on; members that lack one receive it in a sync.
func (s *Set[T]) PeerInSync(members int) {
	for k := range s.pending {
		s.addSends(k, maxSends(members)/inSyncDivisor, members)
	}
}

// maxSends returns how often a record is sent for the given number of members.
func maxSends(members int) int { return sendFactor * bits.Len(uint(members)) }

// addSends adds n to the number of sends of a pending record.
func (s *Set[T]) addSends(k string, n, members int) {
	s.pending[k] += n
	if s.pending[k] >= maxSends(members) {
		delete(s.pending, k)
	}
}

// Updates returns at most n pending records, the least sent first, and counts them as
// sent. Members is the number of daemons to reach.
func (s *Set[T]) Updates(n, members int) []T {
	if len(s.pending) == 0 {
		return nil
	}
	ks := make([]string, 0, len(s.pending))
	for k := range s.pending {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.pending[a], s.pending[b]), cmp.Compare(a, b))
	})
	ks = ks[:min(n, len(ks))]
	out := make([]T, len(ks))
	for i, k := range ks {
		out[i] = s.records[k]
		s.addSends(k, 1, members)
	}
	return out
}
