// Package directory keeps what is known of the engines of a fleet: which model
// copies each holds, its role, and whether it takes work. The owner of an
// engine writes its record; the records spread by gossip.
//
// An engine that stays down is forgotten by each daemon in its own time. So
// that a daemon which forgets later does not bring it back, the record of an
// engine that is down is only taken where the engine is known.
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

// Status of an engine.
type Status uint8

// The statuses. Only engines that are up get work.
const (
	Up Status = iota
	Leaving
	Down
)

// DownRetention is how long an engine that is down stays in the directory.
const DownRetention = 10 * time.Minute

type (
	// Copy is a model in one version.
	Copy struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}

	// Engine is the record of one engine: an immutable value.
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

	// Directory holds the records. One goroutine owns it.
	Directory struct {
		set       *gossip.Set[Engine]
		downSince map[string]time.Time
	}
)

// String returns the status as a word.
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

// Holds reports whether the engine has a copy of model; an empty version
// means any.
func (e Engine) Holds(model, version string) bool {
	return slices.ContainsFunc(e.Copies, func(c Copy) bool {
		return c.Model == model && (version == "" || c.Version == version)
	})
}

// EqualState reports whether e and o say the same, whatever their revisions.
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

// newer orders records. Two owners may write the same revision for a moment;
// their records are then ordered by what they say, so that all daemons keep
// the same one until the next revision.
func newer(a, b Engine) bool {
	if c := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision)); c != 0 {
		return c > 0
	}
	if a.Status != b.Status {
		return a.Status > b.Status
	}
	return fmt.Sprint(a) > fmt.Sprint(b)
}

// Merge takes a record and reports whether it was news. That an unknown engine
// is down is none.
func (d *Directory) Merge(e Engine) bool {
	if _, known := d.set.Get(e.Addr); !known && e.Status == Down {
		return false
	}
	return d.set.Merge(e)
}

// Tick forgets the engines that have been down for [DownRetention], and reports
// whether there were any.
func (d *Directory) Tick(now time.Time) bool {
	forgot := false
	for _, e := range d.set.All() {
		since, noted := d.downSince[e.Addr]
		switch {
		case e.Status != Down:
			delete(d.downSince, e.Addr)
		case !noted:
			d.downSince[e.Addr] = now
		case now.Sub(since) >= DownRetention:
			d.Delete(e.Addr)
			forgot = true
		}
	}
	return forgot
}

// Observe writes what the owner of an engine has seen, under the next
// revision, and reports whether it differs from what was known.
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

// All returns all records by address.
func (d *Directory) All() []Engine { return d.set.All() }

// Delete forgets the engine at addr.
func (d *Directory) Delete(addr string) {
	d.set.Delete(addr)
	delete(d.downSince, addr)
}

// Updates returns at most n records that others may not know.
func (d *Directory) Updates(n, members int) []Engine { return d.set.Updates(n, members) }

// PeerInSync says that some other daemon, of so many, has the same records.
func (d *Directory) PeerInSync(members int) { d.set.PeerInSync(members) }
