// Package claim ensures that a call that is not repeatable runs at most once,
// and that a caller is told "not run" only if the call never will run.
//
// The platform's table service holds at most one row per key. A daemon may send
// the call, once, only after it has set the row to [Sent] with a conditional
// write. A daemon may answer "not run" only if the row says [Void]. Each key is
// in exactly one of these states:
//
//   - no row: the call has not been sent;
//   - sent: the call was sent, or its sender failed before sending it; the
//     outcome is unknown until the row changes;
//   - done: the call ran, and the row holds the answer;
//   - lost: the call was sent, and the sender stopped waiting for the answer;
//   - void: the call was not run and never will be;
//   - open: the sender could not confirm its own row, did not send the call,
//     and withdrew the claim ([Claim.Withdraw]).
//
// Only its own sender changes a sent row. An open row is equivalent to no row:
// the next caller overwrites it with a sent one. The open row is needed because
// an unacknowledged write may still take effect later, and would then claim the
// key for a sender that has given up; with the open row in place, the condition
// of that write fails.
//
// If the store does not answer a write, the writer reads the row back and
// recognizes its own by the attempt token. If the read fails too, the writer
// does not send the call and reports it as undecided, never as not run.
//
// Keys are UUIDs of version 7. A key is accepted until [KeyLifetime] after the
// time in it. Rows are kept for longer ([RowLifetime]), so a key whose row has
// expired is no longer accepted and its call can't run again.
//
// # Usage
//
//	r := claim.New(store)
//	c, err := r.Begin(ctx, workspace, key)
//	switch c.State() {
//	case claim.Sent: // if c.Owned(): check the deadline, send once, then
//		c.Done(ctx, answer) // or c.Void(ctx) if the call was certainly not sent
//	case claim.Done: reply(c.Answer())
//	}
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/store"
)

// State is the state of a claim's row.
type State string

// The states of a row; see the package documentation.
const (
	Sent State = "sent"
	Done State = "done"
	Lost State = "lost"
	Void State = "void"
	Open State = "open"
)

const (
	// Table is the name of the table of claims.
	Table = "claims"
	// KeyLifetime is the time for which a key is accepted, from the timestamp
	// in the key.
	KeyLifetime = 24 * time.Hour
	// RowLifetime is the time for which a row is kept. It exceeds KeyLifetime by
	// more than clocks can differ.
	RowLifetime = 26 * time.Hour

	// maxKeySkew is how far in the future the timestamp of a key may be.
	maxKeySkew  = 5 * time.Minute
	maxAttempts = 3
	// maxRefusedWait is the longest wait before a refused write is retried.
	maxRefusedWait = 100 * time.Millisecond
)

// Result is the result of one conditional write.
type Result uint8

// The results of a write. Their numeric values are part of the protocol
// between daemons.
const (
	Written         Result = iota // the write took effect
	ConditionFailed               // no effect: the row did not meet the condition
	Refused                       // no effect: the service refused the write
	Unknown                       // the write may or may not have taken effect
)

type (
	// Answer is the stored answer to a call.
	Answer struct {
		Status      int    `json:"status"`
		ContentType string `json:"content_type"`
		Body        []byte `json:"body"`
	}

	// Writer performs one conditional write and returns its result and, if
	// it was written, the row's new version. [Direct] commits each write on
	// its own; a daemon writes through the batcher of its data hall.
	Writer func(ctx context.Context, w store.Write) (Result, uint64)

	// Registry grants and records claims.
	Registry struct {
		store store.Store
		write Writer
		token func() string
		now   func() time.Time
	}

	// Option configures a [Registry] during construction.
	Option func(*Registry)

	// Claim is the state of one key as this caller last wrote or read it.
	Claim struct {
		registry *Registry
		key      string
		row      row
		version  uint64
		owned    bool
	}

	row struct {
		State  State   `json:"state"`
		Token  string  `json:"token"`
		Answer *Answer `json:"answer,omitempty"`
	}
)

// WithWriter sets the writer of rows, [Direct] by default.
func WithWriter(w Writer) Option { return func(r *Registry) { r.write = w } }

// WithToken sets the source of attempt tokens.
func WithToken(f func() string) Option { return func(r *Registry) { r.token = f } }

// WithNow sets the clock against which the age of keys is checked.
func WithNow(f func() time.Time) Option { return func(r *Registry) { r.now = f } }

// New returns a registry whose rows are in s.
func New(s store.Store, opts ...Option) *Registry {
	r := &Registry{store: s, write: Direct(s), token: uuid.NewString, now: time.Now}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Direct returns a writer that commits each row in a transaction of its own.
func Direct(s store.Store) Writer {
	return func(ctx context.Context, w store.Write) (Result, uint64) {
		o, err := s.Commit(ctx, []store.Write{w})
		switch {
		case store.IsRefused(err):
			return Refused, 0
		case err != nil:
			return Unknown, 0
		case !o.Committed:
			return ConditionFailed, 0
		default:
			return Written, o.Versions[0]
		}
	}
}

// CheckKey returns a fault of kind key_required unless key is a UUID of version 7
// whose timestamp is at most [KeyLifetime] before now and at most 5 minutes
// after it.
func CheckKey(key string, now time.Time) error {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return fault.New(fault.KeyRequired, "a call that may not be repeated needs a key",
			"send Idempotency-Key with a new UUID of version 7, and the same one when you ask again")
	}
	created := time.Unix(u.Time().UnixTime())
	if age := now.Sub(created); age > KeyLifetime || age < -maxKeySkew {
		return fault.Newf(fault.KeyRequired, "use a UUID of version 7 that was made for this call",
			"the key was made at %s, and is accepted for %s", created.UTC().Format(time.RFC3339), KeyLifetime)
	}
	return nil
}

// Begin tries to claim the key, which is scoped to the workspace. If the
// returned claim is [Claim.Owned], the caller may send the call; otherwise the
// claim holds the state that another attempt recorded. A fault of kind undecided
// means that this attempt must not send the call and that the state of the key
// is unknown; the claim returned with it can only be withdrawn.
func (r *Registry) Begin(ctx context.Context, workspace, key string) (Claim, error) {
	if err := CheckKey(key, r.now()); err != nil {
		return Claim{}, err
	}
	c := Claim{registry: r, key: workspace + "/" + key, row: row{State: Sent, Token: r.token()}}
	b, err := json.Marshal(c.row)
	if err != nil {
		return Claim{}, errors.Wrap(err, "encode claim")
	}
	w := store.Write{Table: Table, Key: c.key, Value: b, Expect: store.Absent, TTL: RowLifetime}
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		res, version := r.write(ctx, w)
		if res == Written {
			c.version, c.owned = version, true
			return c, nil
		}
		if res == Refused { // no effect, so the same write can be retried
			_ = pause.UpTo(ctx, maxRefusedWait)
			continue
		}
		found, ok := r.readBack(ctx, c)
		if ok && found.State() != Open {
			return found, nil
		}
		if ok {
			w.Expect = found.version
		}
	}
	return c, undecided()
}

// readBack returns c with the row and version in the table, and false if there
// is no row or the read fails.
func (r *Registry) readBack(ctx context.Context, c Claim) (Claim, bool) {
	got, version, err := r.fetch(ctx, c.key)
	if err != nil || version == store.Absent {
		return Claim{}, false
	}
	c.owned = got.Token == c.row.Token
	c.row, c.version = got, version
	return c, true
}

// fetch reads the row of a key. The version is [store.Absent] if there is none.
func (r *Registry) fetch(ctx context.Context, key string) (row, uint64, error) {
	rows, err := r.store.Read(ctx, []store.Ref{{Table: Table, Key: key}})
	if err != nil {
		return row{}, store.Absent, errors.Wrap(err, "read claim")
	}
	if len(rows) == 0 {
		return row{}, store.Absent, nil
	}
	var got row
	err = json.Unmarshal(rows[0].Value, &got)
	return got, rows[0].Version, errors.Wrap(err, "decode claim")
}

// Lookup returns the recorded claim on a key, and false if there is no row or
// the read fails.
func (r *Registry) Lookup(ctx context.Context, workspace, key string) (Claim, bool) {
	return r.readBack(ctx, Claim{registry: r, key: workspace + "/" + key})
}

// State returns the state of the row.
func (c Claim) State() State { return c.row.State }

// Owned reports whether this caller holds the claim in state [Sent], and so is
// the only one that may send the call.
func (c Claim) Owned() bool { return c.owned && c.row.State == Sent }

// Answer returns the stored answer of a call in state [Done], or a zero Answer.
func (c Claim) Answer() Answer {
	if c.row.Answer == nil {
		return Answer{}
	}
	return *c.row.Answer
}

// Done records the answer. If that fails, the only consequence is that a repeat
// of the call is answered with an unknown outcome.
func (c Claim) Done(ctx context.Context, a Answer) error {
	return c.change(ctx, row{State: Done, Token: c.row.Token, Answer: &a})
}

// Void records that the call was not run. A caller may be told so only after
// Void has returned nil.
func (c Claim) Void(ctx context.Context) error {
	return c.change(ctx, row{State: Void, Token: c.row.Token})
}

// MarkLost records that the call was sent and no answer arrived, so that other
// requests with the key stop waiting for one.
func (c Claim) MarkLost(ctx context.Context) error {
	return c.change(ctx, row{State: Lost, Token: c.row.Token})
}

// Withdraw withdraws a claim that [Registry.Begin] left undecided, whether its
// row was written, was not written, or may still be written by a delayed
// request. The caller must not have sent the call. Once Withdraw has returned
// nil, the claim can no longer take effect.
func (c Claim) Withdraw(ctx context.Context) error {
	b, err := json.Marshal(row{State: Open, Token: c.row.Token})
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	for range maxAttempts {
		got, version, err := c.registry.fetch(ctx, c.key)
		if err != nil {
			return err
		}
		if claimedByOther := got.Token != c.row.Token && got.State != Open; version != store.Absent && claimedByOther {
			return nil // the condition of every write of this claim fails
		}
		// An open row is rewritten to change its version, since a delayed
		// write of this claim may have that version as its condition.
		res, _ := c.registry.write(ctx, store.Write{Table: Table, Key: c.key, Value: b, Expect: version, TTL: RowLifetime})
		switch res {
		case Written:
			return nil
		case Refused, Unknown:
			return undecided()
		}
	}
	return undecided()
}

// change replaces the claim's own sent row with next.
func (c Claim) change(ctx context.Context, next row) error {
	if !c.Owned() {
		return undecided()
	}
	b, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	w := store.Write{Table: Table, Key: c.key, Value: b, Expect: c.version, TTL: RowLifetime}
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		res, _ := c.registry.write(ctx, w)
		if res == Written {
			return nil
		}
		if res == Refused {
			_ = pause.UpTo(ctx, maxRefusedWait)
			continue
		}
		if found, ok := c.registry.readBack(ctx, c); ok && found.row.State == next.State && found.owned {
			return nil
		}
	}
	return undecided()
}

func undecided() error {
	return fault.New(fault.Undecided, "the platform did not confirm the claim on this key",
		"ask again with the same Idempotency-Key").WithRetryAfter(time.Second)
}
