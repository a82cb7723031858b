// Package changes keeps the log of accepted template changes in the platform's
// table service, and applies an operator's change to it.
//
// A change is one transaction over four rows: the workspace's template, by
// compare-and-swap on its version; the head, which holds the number of the
// last change; the change itself, under its number; and the operator's id of
// the change. So numbers rise by one without gaps, two operators who race get
// one change and one conflict, and a repeat after a lost answer finds its id.
//
// Daemons read the head now and then (one small row) and fetch what they
// lack. Nothing here ever lowers a number.
//
// Now and then the whole book is stored as an object, and a row names the
// newest one ([Log.SaveSnapshot]). What the log has from before it, beyond what
// a history shows, is then deleted ([Log.Trim]), so that neither the log nor
// the start of a new daemon grows with the age of the fleet.
//
// # Usage
//
//	l := changes.New(store)
//	c, err := l.Apply(ctx, id, t, t.Version)
//	n, err := l.Head(ctx)
//	cs, err := l.After(ctx, known)
package changes

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
)

const (
	templateTable = "templates"
	logTable      = "changes"
	idTable       = "change_ids"
	headTable     = "heads"
	headKey       = "templates"

	// idLife is how long a repeat of a change is recognised.
	idLife = 7 * 24 * time.Hour
	// page bounds the changes read at once.
	page = 500
	// defaultReach is how many changes back a history looks, and how many the
	// log keeps when it is trimmed: nine days at 1,100 a day.
	defaultReach = 10_000
	// tries bounds the races with other workspaces' changes.
	tries = 8
)

type (
	// Log is the log of changes.
	Log struct {
		store store.Store
		reach uint64
	}

	// Option changes a log under construction.
	Option func(*Log)

	head struct {
		Number uint64 `json:"number"`
	}

	// current is what an apply rests on.
	current struct {
		templateRow uint64
		template    template.Template
		headRow     uint64
		head        uint64
		accepted    uint64 // number under which the id was accepted before
	}
)

// WithRetention sets how many changes back a history looks; older ones are trimmed
// once a snapshot has them.
func WithRetention(n uint64) Option { return func(l *Log) { l.reach = n } }

// New returns the log in s.
func New(s store.Store, os ...Option) *Log {
	l := &Log{store: s, reach: defaultReach}
	for _, o := range os {
		o(l)
	}
	return l
}

// Apply accepts t as the next version of its workspace's template, if the
// version in force is base (0 if there is none). A repeat with the same id
// returns the change that was accepted before. A fault of kind conflict names
// the version in force; one of kind undecided means that a repeat with the
// same id will tell.
func (l *Log) Apply(ctx context.Context, id string, t template.Template, base uint64) (template.Change, error) {
	if err := t.Validate(); err != nil {
		return template.Change{}, err
	}
	for range tries {
		c, err := l.read(ctx, id, t.Workspace)
		if err != nil {
			return template.Change{}, platformDown(err)
		}
		if c.accepted > 0 {
			return l.at(ctx, id, c)
		}
		if c.template.Version != base {
			return template.Change{}, conflict(t.Workspace, base, c.template.Version)
		}
		change := template.Change{Number: c.head + 1, ID: id, Template: t.WithVersion(base + 1)}
		done, err := l.commit(ctx, change, c)
		if err != nil {
			return l.recover(ctx, change)
		}
		if done {
			return change, nil
		}
	}
	return template.Change{}, fault.New(fault.Overloaded, "too many changes at the same moment",
		"apply it again").WithRetryAfter(time.Second)
}

func (l *Log) read(ctx context.Context, id, workspace string) (current, error) {
	rows, err := l.store.Read(ctx, []store.Ref{
		{Table: templateTable, Key: workspace},
		{Table: headTable, Key: headKey},
		{Table: idTable, Key: id},
	})
	if err != nil {
		return current{}, err
	}
	var c current
	for _, r := range rows {
		switch r.Table {
		case templateTable:
			c.templateRow = r.Version
			err = json.Unmarshal(r.Value, &c.template)
		case headTable:
			c.headRow = r.Version
			err = unmarshalNumber(r.Value, &c.head)
		case idTable:
			err = unmarshalNumber(r.Value, &c.accepted)
		}
		if err != nil {
			return current{}, errors.Wrapf(err, "decode row of %s", r.Table)
		}
	}
	return c, nil
}

func (l *Log) commit(ctx context.Context, c template.Change, on current) (bool, error) {
	t, err := json.Marshal(c.Template)
	if err != nil {
		return false, errors.Wrap(err, "encode template")
	}
	whole, err := json.Marshal(c)
	if err != nil {
		return false, errors.Wrap(err, "encode change")
	}
	n, err := json.Marshal(head{Number: c.Number})
	if err != nil {
		return false, errors.Wrap(err, "encode head")
	}
	o, err := l.store.Commit(ctx, []store.Write{
		{Table: templateTable, Key: c.Template.Workspace, Value: t, Expect: on.templateRow},
		{Table: headTable, Key: headKey, Value: n, Expect: on.headRow},
		{Table: logTable, Key: logKey(c.Number), Value: whole, Expect: store.Absent},
		{Table: idTable, Key: c.ID, Value: n, Expect: store.Absent, TTL: idLife},
	})
	if store.IsRefused(err) {
		return false, nil
	}
	return o.Committed, err
}

// recover finds out whether a change was accepted whose answer was lost.
func (l *Log) recover(ctx context.Context, c template.Change) (template.Change, error) {
	on, err := l.read(ctx, c.ID, c.Template.Workspace)
	if err != nil || on.accepted == 0 {
		return template.Change{}, fault.New(fault.Undecided,
			"the platform did not say whether the change was accepted",
			"apply it again with the same --change-id").WithRetryAfter(time.Second).WithCause(err)
	}
	return l.at(ctx, c.ID, on)
}

// at returns the change that was accepted under an id; once the log no longer
// has it, with the template that is in force.
func (l *Log) at(ctx context.Context, id string, on current) (template.Change, error) {
	rows, err := l.store.Read(ctx, []store.Ref{{Table: logTable, Key: logKey(on.accepted)}})
	if err != nil {
		return template.Change{}, platformDown(err)
	}
	if len(rows) == 0 {
		return template.Change{Number: on.accepted, ID: id, Template: on.template}, nil
	}
	var c template.Change
	return c, errors.Wrap(json.Unmarshal(rows[0].Value, &c), "decode change")
}

// Head returns the number of the last accepted change.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	rows, err := l.store.Read(ctx, []store.Ref{{Table: headTable, Key: headKey}})
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	var n uint64
	return n, unmarshalNumber(rows[0].Value, &n)
}

// After returns a page of the changes after a number, in order.
func (l *Log) After(ctx context.Context, number uint64) ([]template.Change, error) {
	rows, err := l.store.Scan(ctx, logTable, logKey(number), page)
	if err != nil {
		return nil, err
	}
	cs := make([]template.Change, len(rows))
	for i, r := range rows {
		if err := json.Unmarshal(r.Value, &cs[i]); err != nil {
			return nil, errors.Wrapf(err, "decode change %s", r.Key)
		}
	}
	return cs, nil
}

// History returns the newest changes of one workspace, oldest first, as far as
// the last few thousand changes of all workspaces reach back.
func (l *Log) History(ctx context.Context, workspace string) ([]template.Change, error) {
	h, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	var out []template.Change
	for after := h - min(h, l.reach); after < h; {
		cs, err := l.After(ctx, after)
		if err != nil || len(cs) == 0 {
			return out, err
		}
		for _, c := range cs {
			if c.Template.Workspace == workspace {
				out = append(out, c)
			}
		}
		after = cs[len(cs)-1].Number
	}
	return out, nil
}

func logKey(n uint64) string { return fmt.Sprintf("%020d", n) }

func unmarshalNumber(b []byte, n *uint64) error {
	var h head
	if err := json.Unmarshal(b, &h); err != nil {
		return errors.Wrap(err, "decode number")
	}
	*n = h.Number
	return nil
}

func conflict(workspace string, base, inForce uint64) error {
	return fault.Newf(fault.Conflict,
		fmt.Sprintf("get version %d, make the change on it, and apply that", inForce),
		"the template of %s is at version %d, and the change was made on version %d", workspace, inForce, base)
}

func platformDown(err error) error {
	return fault.New(fault.PlatformDown, "the platform's table service did not answer",
		"apply it again with the same --change-id; what is in force stays in force").
		WithRetryAfter(time.Second).WithCause(err)
}
