// Package changes keeps the log of accepted template changes in the platform's
// table service and applies operators' changes to it.
//
// A change is one transaction over four rows: the workspace's template, with a
// compare-and-swap on its version; the head, which holds the number of the last
// change; the change itself, keyed by its number; and the operator's id of the
// change. So numbers rise by one without gaps; of two operators who race, one
// succeeds and the other gets a conflict; and a repeat after a lost answer is
// recognized by its id.
//
// Daemons poll the head, which is one small row, and fetch the changes that they
// lack. No operation lowers a number.
//
// From time to time the complete set of templates is stored as an object, and a
// row names the newest one ([Log.SaveSnapshot]). Changes that are older than the
// snapshot and beyond the retention are then deleted ([Log.Trim]), so that neither
// the log nor the start-up time of a daemon grows with the age of the fleet.
//
// # Usage
//
//	l := changes.New(store)
//	c, err := l.Apply(ctx, id, t, t.Version)
//	n, err := l.Head(ctx)
//	cs, err := l.After(ctx, number)
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

	// idLifetime is the time for which a repeat of a change is recognized.
	idLifetime = 7 * 24 * time.Hour
	// pageSize is the maximum number of changes in one read.
	pageSize = 500
	// defaultRetention is the number of latest changes that a history covers
	// and that trimming keeps: nine days at 1,100 changes a day.
	defaultRetention = 10_000
	// maxAttempts bounds the attempts to commit a change that loses races
	// against changes of other workspaces.
	maxAttempts = 8
)

type (
	// Log is the log of template changes.
	Log struct {
		store     store.Store
		retention uint64
	}

	// Option configures a [Log] during construction.
	Option func(*Log)

	head struct {
		Number uint64 `json:"number"`
	}

	// applyState is the state that an apply reads, and on whose row versions its
	// commit is conditional.
	applyState struct {
		templateRowVersion uint64
		template           template.Template
		headRowVersion     uint64
		headNumber         uint64
		acceptedNumber     uint64 // number under which the id was accepted, or 0
	}
)

// WithRetention sets the number of latest changes that a history covers. Older
// ones are trimmed once a snapshot includes them.
func WithRetention(n uint64) Option { return func(l *Log) { l.retention = n } }

// New returns the log stored in s.
func New(s store.Store, opts ...Option) *Log {
	l := &Log{store: s, retention: defaultRetention}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Apply accepts t as the next version of its workspace's template if the version
// in force is base (0 if there is none). A repeat with the same id returns the
// change that was already accepted. A fault of kind conflict states the version
// in force. A fault of kind undecided means that the change may have been
// accepted; a repeat with the same id finds out.
func (l *Log) Apply(ctx context.Context, id string, t template.Template, base uint64) (template.Change, error) {
	if err := t.Validate(); err != nil {
		return template.Change{}, err
	}
	for range maxAttempts {
		state, err := l.readState(ctx, id, t.Workspace)
		if err != nil {
			return template.Change{}, platformUnavailable(err)
		}
		if state.acceptedNumber > 0 {
			return l.acceptedChange(ctx, id, state)
		}
		if state.template.Version != base {
			return template.Change{}, conflict(t.Workspace, base, state.template.Version)
		}
		change := template.Change{Number: state.headNumber + 1, ID: id, Template: t.WithVersion(base + 1)}
		committed, err := l.commit(ctx, change, state)
		if err != nil {
			return l.resolveLostAnswer(ctx, change)
		}
		if committed {
			return change, nil
		}
	}
	return template.Change{}, fault.New(fault.Overloaded, "too many changes at the same moment",
		"apply it again").WithRetryAfter(time.Second)
}

func (l *Log) readState(ctx context.Context, id, workspace string) (applyState, error) {
	rows, err := l.store.Read(ctx, []store.Ref{
		{Table: templateTable, Key: workspace},
		{Table: headTable, Key: headKey},
		{Table: idTable, Key: id},
	})
	if err != nil {
		return applyState{}, err
	}
	var c applyState
	for _, r := range rows {
		switch r.Table {
		case templateTable:
			c.templateRowVersion = r.Version
			err = json.Unmarshal(r.Value, &c.template)
		case headTable:
			c.headRowVersion = r.Version
			err = unmarshalNumber(r.Value, &c.headNumber)
		case idTable:
			err = unmarshalNumber(r.Value, &c.acceptedNumber)
		}
		if err != nil {
			return applyState{}, errors.Wrapf(err, "decode row of %s", r.Table)
		}
	}
	return c, nil
}

// commit writes change c and reports whether it was committed. It returns false
// if a row has changed since state was read, or the service refused the write.
func (l *Log) commit(ctx context.Context, c template.Change, state applyState) (bool, error) {
	templateJSON, err := json.Marshal(c.Template)
	if err != nil {
		return false, errors.Wrap(err, "encode template")
	}
	changeJSON, err := json.Marshal(c)
	if err != nil {
		return false, errors.Wrap(err, "encode change")
	}
	headJSON, err := json.Marshal(head{Number: c.Number})
	if err != nil {
		return false, errors.Wrap(err, "encode head")
	}
	o, err := l.store.Commit(ctx, []store.Write{
		{Table: templateTable, Key: c.Template.Workspace, Value: templateJSON, Expect: state.templateRowVersion},
		{Table: headTable, Key: headKey, Value: headJSON, Expect: state.headRowVersion},
		{Table: logTable, Key: logKey(c.Number), Value: changeJSON, Expect: store.Absent},
		{Table: idTable, Key: c.ID, Value: headJSON, Expect: store.Absent, TTL: idLifetime},
	})
	if store.IsRefused(err) {
		return false, nil
	}
	return o.Committed, err
}

// resolveLostAnswer finds out whether a change whose commit returned an error was
// accepted.
func (l *Log) resolveLostAnswer(ctx context.Context, c template.Change) (template.Change, error) {
	state, err := l.readState(ctx, c.ID, c.Template.Workspace)
	if err != nil || state.acceptedNumber == 0 {
		return template.Change{}, fault.New(fault.Undecided,
			"the platform did not say whether the change was accepted",
			"apply it again with the same --change-id").WithRetryAfter(time.Second).WithCause(err)
	}
	return l.acceptedChange(ctx, c.ID, state)
}

// acceptedChange returns the change that was accepted under an id. If the log no
// longer holds that change, the result has the template in force instead.
func (l *Log) acceptedChange(ctx context.Context, id string, state applyState) (template.Change, error) {
	rows, err := l.store.Read(ctx, []store.Ref{{Table: logTable, Key: logKey(state.acceptedNumber)}})
	if err != nil {
		return template.Change{}, platformUnavailable(err)
	}
	if len(rows) == 0 {
		return template.Change{Number: state.acceptedNumber, ID: id, Template: state.template}, nil
	}
	var c template.Change
	return c, errors.Wrap(json.Unmarshal(rows[0].Value, &c), "decode change")
}

// Head returns the number of the last accepted change, or 0 if there is none.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	rows, err := l.store.Read(ctx, []store.Ref{{Table: headTable, Key: headKey}})
	if err != nil || len(rows) == 0 {
		return 0, err
	}
	var n uint64
	return n, unmarshalNumber(rows[0].Value, &n)
}

// After returns the first page of the changes with a higher number, in order.
func (l *Log) After(ctx context.Context, number uint64) ([]template.Change, error) {
	rows, err := l.store.Scan(ctx, logTable, logKey(number), pageSize)
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

// History returns the changes of one workspace, oldest first. It covers only the
// latest changes of all workspaces, as many as the retention ([WithRetention]).
func (l *Log) History(ctx context.Context, workspace string) ([]template.Change, error) {
	h, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	var out []template.Change
	for after := h - min(h, l.retention); after < h; {
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

func conflict(workspace string, base, current uint64) error {
	return fault.Newf(fault.Conflict,
		fmt.Sprintf("get version %d, make the change on it, and apply that", current),
		"the template of %s is at version %d, and the change was made on version %d", workspace, current, base)
}

func platformUnavailable(err error) error {
	return fault.New(fault.PlatformDown, "the platform's table service did not answer",
		"apply it again with the same --change-id; what is in force stays in force").
		WithRetryAfter(time.Second).WithCause(err)
}
