// Package group reserves memory on several engines at once, for a prompt that
// needs more memory than any single engine has.
//
// A reservation is all or nothing. Reservations are always made in the order of
// the members' addresses, so that two requests cannot deadlock by each holding
// memory that the other needs. A request that is refused releases everything
// that it has reserved and tries other engines. Each reservation has an expiry
// that its owner extends while it runs, so that all memory is freed if the owner
// fails.
//
// # Usage
//
//	ms, err := group.Pick(candidates, tokens)
//	err = group.Reserve(ctx, ms, reserve, release)
//	defer group.Release(ms, release)
package group

import (
	"cmp"
	"context"
	"slices"

	"github.com/cockroachdb/errors"
)

// MaxMembers is the maximum number of engines in a group.
const MaxMembers = 8

// ErrTooLarge reports that all engines together have too little memory for a
// prompt, or that it would need more than [MaxMembers] of them.
var ErrTooLarge = errors.New("no group of engines has enough memory")

type (
	// Candidate is an engine that could become a member of a group.
	Candidate struct {
		Addr  string
		Free  int // estimated free memory, in tokens
		Total int // memory usable by a group on the idle engine, in tokens
	}

	// Member is an engine and the memory to reserve there, in tokens.
	Member struct {
		Addr   string
		Tokens int
	}
)

// Pick selects the fewest engines that together have enough free memory for the
// tokens, those with the most free memory first, and returns them ordered by
// address. The tokens are distributed in proportion to the free memory, so that
// a group with memory to spare fills none of its members completely. Pick
// returns [ErrTooLarge] if no group of at most [MaxMembers] has enough.
func Pick(cs []Candidate, tokens int) ([]Member, error) {
	cs = slices.Clone(cs)
	slices.SortFunc(cs, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Addr, b.Addr))
	})
	free, n := 0, 0
	for n < len(cs) && n < MaxMembers && free < tokens && cs[n].Free > 0 {
		free += cs[n].Free
		n++
	}
	if free < tokens {
		return nil, ErrTooLarge
	}
	ms := make([]Member, n)
	left := tokens
	for i, c := range cs[:n] {
		share := min(c.Free, (tokens*c.Free+free-1)/free, left)
		ms[i] = Member{Addr: c.Addr, Tokens: share}
		left -= share
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return slices.DeleteFunc(ms, func(m Member) bool { return m.Tokens == 0 }), nil
}

// Reserve reserves the memory of each member in turn. If a reservation fails,
// Reserve releases the earlier ones and also the failed one, which may have
// succeeded although its reply was lost, and returns the error.
func Reserve(ctx context.Context, ms []Member, reserve func(context.Context, Member) error, release func(Member)) error {
	for i, m := range ms {
		if err := reserve(ctx, m); err != nil {
			Release(ms[:i+1], release)
			return errors.Wrapf(err, "reserve %d tokens on %s", m.Tokens, m.Addr)
		}
	}
	return nil
}

// Addrs returns the addresses of the members.
func Addrs(ms []Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Addr
	}
	return out
}

// Release releases the memory of all members, in reverse order.
func Release(ms []Member, release func(Member)) {
	for _, m := range slices.Backward(ms) {
		release(m)
	}
}
