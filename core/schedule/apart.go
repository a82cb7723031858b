package schedule

import (
	"encoding/binary"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/route"
)

// given returns the server that a request has to go to for the sake of others: ""
// if any will do. It reports false if there is none now.
//
// Copies of one request go to one server while that has a free slot. Should the
// request end it, then that is one server and not one for each copy.
func (b *Board) given(now time.Duration, able []backend.Server, r Request) (string, bool) {
	if r.Mark == 0 {
		return "", true
	}
	for _, p := range b.byMark[r.Mark] {
		if !r.Apart && !p.undecided(now) {
			continue
		}
		for _, s := range able {
			if s.ID == p.Lead && (r.Apart || b.count(s.ID) < s.Slots) {
				return s.ID, !r.Single
			}
		}
	}
	if r.Single && len(b.byMark[r.Mark]) > 0 {
		return "", false
	}
	if r.Apart {
		return b.apart(able, r)
	}
	return "", true
}

// undecided reports whether it is yet to be seen what becomes of a placement: no
// token of it has come, and it isn't late. A caller that left a slow server and
// comes back isn't sent there again.
func (p *Placement) undecided(now time.Duration) bool {
	return !p.writing && now-p.Begun < p.Objective
}

// apart returns the server for a request that has to run where no other such
// runs: the first of these in an order that all hosts know, so that copies which
// arrive at several hosts at once meet. While each server has one, it takes the
// server with the fewest, unless the request has to be single.
func (b *Board) apart(able []backend.Server, r Request) (string, bool) {
	fewest := -1
	var names []string
	for _, s := range able {
		n := b.countApart(s.ID)
		if fewest < 0 || n < fewest {
			fewest, names = n, nil
		}
		if n == fewest {
			names = append(names, s.ID)
		}
	}
	if len(names) == 0 || r.Single && fewest > 0 {
		return "", false
	}
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], r.Mark)
	return route.Owner(string(key[:]), names), true
}

// countApart counts the requests on a server that have to run apart.
func (b *Board) countApart(server string) int {
	n := 0
	if l := b.byServer[server]; l != nil {
		for _, p := range l.placements {
			if p.Apart {
				n++
			}
		}
	}
	return n
}
