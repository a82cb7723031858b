// Package directory keeps the records of the engines of a fleet: the model
// copies on each engine, its role, and whether it accepts work. The owner of an
// engine writes the engine's record; the records spread by gossip.
//
// Each daemon deletes the record of an engine some time after it has seen that
// the engine is down, so the daemons delete it at different times. A record with
// status Down is therefore merged only if the engine is in the directory.
// Otherwise a daemon that deletes the engine late would add it again on those
// that have already deleted it.
//
// # Usage
//
//	d := directory.New()
//	d.Merge(e)
//	d.Tick(now)
//	es := d.All()
package directory

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"slipcrank.example/core/gossip"
)

// Status is the status of an engine.
type Status uint8

// Statuses of an engine, in ascending precedence. Only engines that are Up get work.
const (
	Up Status = iota
	Leaving
	Down
)

// DownRetention is how long the directory keeps the record of an engine that is
// down.
const DownRetention = 10 * time.Minute

type (
	// Copy is a copy of one version of a model.
	Copy struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}

	// Engine is the record of one engine. It is an immutable value.
	Engine struct {
		Addr        string `json:"addr"`
		Hall        string `json:"hall"`
		Incarnation uint64 `json:"incarnation"`
		Revision    uint64 `json:"revision"`
		Copies      []Copy `json:"copies"`
		Role        string `json:"role"`
		Status      Status `json:"status"`
		TotalTokens int    `json:"total_tokens"`
	}

	// Directory holds the records of all engines. It is not safe for concurrent use.
	Directory struct {
		set       *gossip.Set[Engine]
		downSince map[string]time.Time
	}
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Up:
		return "up"
	case Leaving:
		return "leaving"
	default:
		return "down"
	}
}

// Holds reports whether the engine has a copy of a model. An empty version
// matches any version.
func (e Engine) Holds(model, version string) bool {
	return slices.ContainsFunc(e.Copies, func(c Copy) bool {
		return c.Model == model && (version == "" || c.Version == version)
	})
}

// EqualState reports whether e and o are equal in incarnation, role, status,
// tokens and copies, apart from their revisions.
func (e Engine) EqualState(o Engine) bool {
	return e.Incarnation == o.Incarnation && e.Role == o.Role && e.Status == o.Status &&
		e.TotalTokens == o.TotalTokens && slices.Equal(e.Copies, o.Copies)
}

// WithStatus returns a copy of e with status s.
func (e Engine) WithStatus(s Status) Engine {
	e.Status = s
	return e
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		set:       gossip.New(func(e Engine) string { return e.Addr }, newer),
		downSince: map[string]time.Time{},
	}
}

// newer reports whether a replaces b. For a short time an engine may have two
// owners that write the same revision. Such records are ordered by their
// contents, so that all daemons keep the same one until the next revision.
func newer(a, b Engine) bool {
	if c := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision)); c != 0 {
		return c > 0
	}
	if a.Status != b.Status {
		return a.Status > b.Status
	}
	return fmt.Sprint(a) > fmt.Sprint(b)
}

// Merge stores a record if it is newer, and reports whether it was. It ignores
// records of unknown engines that are down.
func (d *Directory) Merge(e Engine) bool {
	if _, known := d.set.Get(e.Addr); !known && e.Status == Down {
		return false
	}
	return d.set.Merge(e)
}

// Tick deletes the engines that have been down for [DownRetention], and reports
// whether there were any.
func (d *Directory) Tick(now time.Time) bool {
	deleted := false
	for _, e := range d.set.All() {
		since, recorded := d.downSince[e.Addr]
		switch {
		case e.Status != Down:
			delete(d.downSince, e.Addr)
		case !recorded:
			d.downSince[e.Addr] = now
		case now.Sub(since) >= DownRetention:
			d.Delete(e.Addr)
			deleted = true
		}
	}
	return deleted
}

// Observe stores the state of an engine as observed by its owner, under the next
// revision, and reports whether it differs from the stored record.
func (d *Directory) Observe(e Engine) bool {
	old, ok := d.set.Get(e.Addr)
	if (ok && old.EqualState(e)) || (!ok && e.Status == Down) {
		return false
	}
	e.Incarnation = max(e.Incarnation, old.Incarnation)
	e.Revision = old.Revision + 1
	return d.set.Merge(e)
}

// Get returns the record of the engine at addr, and whether there is one.
func (d *Directory) Get(addr string) (Engine, bool) { return d.set.Get(addr) }

// All returns all records, sorted by address.
func (d *Directory) All() []Engine { return d.set.All() }

// Delete removes the record of the engine at addr.
func (d *Directory) Delete(addr string) {
	d.set.Delete(addr)
	delete(d.downSince, addr)
}

// Updates returns at most n records that other daemons, members in number, may
// not have yet.
func (d *Directory) Updates(n, members int) []Engine { return d.set.Updates(n, members) }

// PeerInSync records that another daemon, picked at random among members daemons,
// has the same records.
func (d *Directory) PeerInSync(members int) { d.set.PeerInSync(members) }
