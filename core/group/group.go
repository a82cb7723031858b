// Package group reserves memory on several engines at once, for a prompt that
// is larger than any one of them.
//
// A reservation is all or nothing. Members are always asked in the order of
// their addresses, so that two requests can't each hold half of what the other
// needs; a request that is refused gives back all that it has and tries others.
// Each reservation has an expiry that its owner moves on while it lives, so
// that the death of the owner frees everything.
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

// MaxMembers bounds the engines that one prompt may hold.
const MaxMembers = 8

// ErrTooLarge is a prompt for which all engines together have too little
// memory, or too many would be needed.
var ErrTooLarge = errors.New("no group of engines has enough memory")

type (
	// Candidate is an engine that could be a member.
	Candidate struct {
		Addr  string
		Free  int // tokens, as far as known
		Total int // tokens that a group could have there if nobody else did
	}

	// Member is an engine and the tokens to reserve there.
	Member struct {
		Addr   string
		Tokens int
	}
)

// Pick chooses the fewest engines with the most free memory that can hold the
// tokens together, and returns them in the order of their addresses. The
// tokens are spread in proportion to what is free, so that no member is filled
// to the last.
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
		part := min(c.Free, (tokens*c.Free+free-1)/free, left)
		ms[i] = Member{Addr: c.Addr, Tokens: part}
		left -= part
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return slices.DeleteFunc(ms, func(m Member) bool { return m.Tokens == 0 }), nil
}

// Reserve asks each member in turn. If one refuses, it releases those that
// agreed, and also the one that may have agreed without saying so, and returns
// the refusal.
func Reserve(ctx context.Context, ms []Member, reserve func(context.Context, Member) error, release func(Member)) error {
	for i, m := range ms {
		if err := reserve(ctx, m); err != nil {
			Release(ms[:i+1], release)
			return errors.Wrapf(err, "reserve %d tokens on %s", m.Tokens, m.Addr)
		}
	}
	return nil
}

// Addrs returns the addresses of members.
func Addrs(ms []Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Addr
	}
	return out
}

// Release gives all members' memory back, in the reverse order.
func Release(ms []Member, release func(Member)) {
	for _, m := range slices.Backward(ms) {
		release(m)
	}
}
