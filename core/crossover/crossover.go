// Package crossover selects the site, old or new, that serves a request of a
// workspace that is being moved.
//
// The selection hashes a stable key of the request, so all entry hosts send
// repeats of a request to the same site as long as the template's crossover is
// unchanged.
//
// # Usage
//
//	if crossover.Choose(t, key) == crossover.OldSite { ... }
package crossover

import (
	"github.com/cespare/xxhash/v2"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/template"
)

// Site is one of the two sites.
type Site string

// The sites.
const (
	OldSite Site = "old"
	NewSite Site = "new"
)

const maxPercent = 100

// Settled returns the site that serves all requests of a workspace that is not
// being moved, and false if the workspace is being moved.
func Settled(t template.Template) (Site, bool) {
	switch t.Crossover.State {
	case template.Old:
		return OldSite, true
	case template.New:
		return NewSite, true
	default:
		return "", false
	}
}

// Choose returns the site that serves the request with this stable key.
func Choose(t template.Template, key string) Site {
	if s, ok := Settled(t); ok {
		return s
	}
	percent := t.Crossover.Percent
	if int(xxhash.Sum64String(t.Workspace+"/"+key)%maxPercent) < percent {
		return NewSite
	}
	return OldSite
}

// Next returns t with the given crossover state and percentage and the next
// epoch. The usual cycle is old, moving, new, returning, old; a move can be
// reversed at any point. In states old and new the percentage is 0 and 100,
// whatever is given. A transition between old and new that skips moving and
// returning is a fault of kind bad_request.
func Next(t template.Template, to template.State, percent int) (template.Template, error) {
	if !validTransition(t.Crossover.State, to) {
		return t, fault.Newf(fault.BadRequest, "go through moving or returning first",
			"the crossover of %s can't go from %s to %s", t.Workspace, t.Crossover.State, to)
	}
	switch to {
	case template.Old:
		percent = 0
	case template.New:
		percent = maxPercent
	}
	t = t.WithCrossover(template.Crossover{State: to, Percent: percent, Epoch: t.Crossover.Epoch + 1})
	return t, t.Validate()
}

func validTransition(from, to template.State) bool {
	inTransit := func(s template.State) bool { return s == template.Moving || s == template.Returning }
	return from == to || inTransit(from) || inTransit(to)
}
