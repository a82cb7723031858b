// Package claim makes calls that may not be repeated run at most once, and
// makes "not run" true.
//
// The platform's table service holds one row a key. Whoever inserts the row as
// [Sent], in one conditional insert, may send the call, once. Whoever wants to
// answer "not run" must have a row that says [Void]. So of every key one of
// these holds:
//
//   - no row: nobody has sent it;
//   - sent: it was sent, or its sender died before it could; the outcome is
//     unknown until the row changes;
//   - done: it ran, and the row has the answer;
//   - lost: it was sent, and its sender gave up waiting for the answer;
//   - void: it did not run and never will;
//   - open: a sender that was told nothing about its own row, and so did not
//     send, has taken it back ([Claim.Withdraw]).
//
// A sent row is changed only by its own sender. An open row stands for no row:
// whoever wants the key turns it into a sent one. It has to be there, since a
// write that got no answer may still take effect later, and would then claim
// the key for a sender that has given up; the row makes its condition fail.
//
// When the store does not answer, the writer reads back and knows its own row
// by its attempt token. When that fails too, it does not send, and says that
// the call is undecided, never that it was not run.
//
// Keys are UUIDs of version 7. The time in the key bounds how long it is
// accepted ([KeyLife]), and rows live longer ([RowLife]), so that a key whose
// row has gone is refused and can't run again.
//
// # Usage
//
//	r := claim.New(store)
//	c, err := r.Begin(ctx, workspace, key)
//	switch c.State() {
//	case claim.Sent: // ours: check the deadline, send once, then
//		c.Done(ctx, answer) // or c.Void(ctx) if it certainly was not sent
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

// State of a claim's row.
type State string

// The states of a row.
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
	// KeyLife is how long a key is accepted after the time in it.
	KeyLife = 24 * time.Hour
	// RowLife is how long a row is kept. It is longer than KeyLife by more
	// than clocks can differ.
	RowLife = 26 * time.Hour

	keySkew  = 5 * time.Minute
	attempts = 3
	// refusedPause is the longest pause after the store refused a write.
	refusedPause = 100 * time.Millisecond
)

// Result of one conditional write.
type Result uint8

// The results of a write. The numbers are part of the protocol between
// daemons.
const (
	Written Result = iota // it took effect
	Differs               // it did not: the row was not as expected
	Refused               // it did not: the service refused it
	Unknown               // nobody knows
)

type (
	// Answer is a stored answer.
	Answer struct {
		Status      int    `json:"status"`
		ContentType string `json:"content_type"`
		Body        []byte `json:"body"`
	}

	// Writer writes one row under a condition. It is a seam: [Direct] writes
	// by itself, and a daemon writes through its hall's batcher.
	Writer func(ctx context.Context, w store.Write) (Result, uint64)

	// Registry decides claims.
	Registry struct {
		store store.Store
		write Writer
		token func() string
		now   func() time.Time
	}

	// Option changes a register under construction.
	Option func(*Registry)

	// Claim is the decision on one key, as this caller sees it.
	Claim struct {
		register *Registry
		key      string
		row      row
		version  uint64
		mine     bool
	}

	row struct {
		State  State   `json:"state"`
		Token  string  `json:"token"`
		Answer *Answer `json:"answer,omitempty"`
	}
)

// WithWriter sets how rows are written.
func WithWriter(w Writer) Option { return func(r *Registry) { r.write = w } }

// WithToken sets the source of attempt tokens.
func WithToken(f func() string) Option { return func(r *Registry) { r.token = f } }

// WithNow sets the clock that keys are compared with.
func WithNow(f func() time.Time) Option { return func(r *Registry) { r.now = f } }

// New returns a register over s.
func New(s store.Store, os ...Option) *Registry {
	r := &Registry{store: s, write: Direct(s), token: uuid.NewString, now: time.Now}
	for _, o := range os {
		o(r)
	}
	return r
}

// Direct returns a writer that commits each row by itself.
func Direct(s store.Store) Writer {
	return func(ctx context.Context, w store.Write) (Result, uint64) {
		o, err := s.Commit(ctx, []store.Write{w})
		switch {
		case store.IsRefused(err):
			return Refused, 0
		case err != nil:
			return Unknown, 0
		case !o.Committed:
			return Differs, 0
		default:
			return Written, o.Versions[0]
		}
	}
}

// CheckKey returns a fault if key is not a UUID of version 7 that is fresh.
func CheckKey(key string, now time.Time) error {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return fault.New(fault.KeyRequired, "a call that may not be repeated needs a key",
			"send Idempotency-Key with a new UUID of version 7, and the same one when you ask again")
	}
	at := time.Unix(u.Time().UnixTime())
	if age := now.Sub(at); age > KeyLife || age < -keySkew {
		return fault.Newf(fault.KeyRequired, "use a UUID of version 7 that was made for this call",
			"the key was made at %s, and is accepted for %s", at.UTC().Format(time.RFC3339), KeyLife)
	}
	return nil
}

// Begin decides whether the caller may send the call with this key. The key
// belongs to a workspace. A fault of kind undecided means that nothing was
// sent by this attempt and nothing else is known; the claim that comes with it
// can only be withdrawn.
func (r *Registry) Begin(ctx context.Context, workspace, key string) (Claim, error) {
	if err := CheckKey(key, r.now()); err != nil {
		return Claim{}, err
	}
	c := Claim{register: r, key: workspace + "/" + key, row: row{State: Sent, Token: r.token()}}
	b, err := json.Marshal(c.row)
	if err != nil {
		return Claim{}, errors.Wrap(err, "encode claim")
	}
	w := store.Write{Table: Table, Key: c.key, Value: b, Expect: store.Absent, TTL: RowLife}
	for range attempts {
		if ctx.Err() != nil {
			break
		}
		res, v := r.write(ctx, w)
		if res == Written {
			c.version, c.mine = v, true
			return c, nil
		}
		if res == Refused { // certainly not written, so the same write may be tried again
			_ = pause.UpTo(ctx, refusedPause)
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

// readBack returns the claim as the table has it, and false if it has none or
// can't be read.
func (r *Registry) readBack(ctx context.Context, c Claim) (Claim, bool) {
	got, version, err := r.fetch(ctx, c.key)
	if err != nil || version == store.Absent {
		return Claim{}, false
	}
	c.mine = got.Token == c.row.Token
	c.row, c.version = got, version
	return c, true
}

// fetch reads the row of a key. The version is that of no row, if there is
// none.
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

// Lookup returns the claim on a key as it is recorded, and false if there is no
// row or it can't be read.
func (r *Registry) Lookup(ctx context.Context, workspace, key string) (Claim, bool) {
	return r.readBack(ctx, Claim{register: r, key: workspace + "/" + key})
}

// State returns what the row says.
func (c Claim) State() State { return c.row.State }

// Owned reports whether this caller, and nobody else, may send the call.
func (c Claim) Owned() bool { return c.mine && c.row.State == Sent }

// Answer returns the stored answer of a call that is done.
func (c Claim) Answer() Answer {
	if c.row.Answer == nil {
		return Answer{}
	}
	return *c.row.Answer
}

// Done records the answer. An error means only that a repeat of the call will
// be told that its outcome is unknown.
func (c Claim) Done(ctx context.Context, a Answer) error {
	return c.change(ctx, row{State: Done, Token: c.row.Token, Answer: &a})
}

// Void records that the call was not run. Only after a nil error may anybody
// be told so.
func (c Claim) Void(ctx context.Context) error {
	return c.change(ctx, row{State: Void, Token: c.row.Token})
}

// MarkLost records that the call was sent and that no answer came, so that others
// who ask for the key need not wait for one.
func (c Claim) MarkLost(ctx context.Context) error {
	return c.change(ctx, row{State: Lost, Token: c.row.Token})
}

// Withdraw takes back a claim that [Registry.Begin] left undecided, whether its
// row was written, was not, or is still on its way. The caller must not have
// sent the call. After a nil error the claim can't take effect any more.
func (c Claim) Withdraw(ctx context.Context) error {
	b, err := json.Marshal(row{State: Open, Token: c.row.Token})
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	for range attempts {
		got, version, err := c.register.fetch(ctx, c.key)
		if err != nil {
			return err
		}
		if others := got.Token != c.row.Token && got.State != Open; version != store.Absent && others {
			return nil // no write of this claim can meet its condition
		}
		// An open row is written anew, since this claim may have meant to take it.
		res, _ := c.register.write(ctx, store.Write{Table: Table, Key: c.key, Value: b, Expect: version, TTL: RowLife})
		switch res {
		case Written:
			return nil
		case Refused, Unknown:
			return undecided()
		}
	}
	return undecided()
}

// change turns the claim's own sent row into another state.
func (c Claim) change(ctx context.Context, to row) error {
	if !c.Owned() {
		return undecided()
	}
	b, err := json.Marshal(to)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	w := store.Write{Table: Table, Key: c.key, Value: b, Expect: c.version, TTL: RowLife}
	for range attempts {
		if ctx.Err() != nil {
			break
		}
		res, _ := c.register.write(ctx, w)
		if res == Written {
			return nil
		}
		if res == Refused {
			_ = pause.UpTo(ctx, refusedPause)
			continue
		}
		if found, ok := c.register.readBack(ctx, c); ok && found.row.State == to.State && found.mine {
			return nil
		}
	}
	return undecided()
}

func undecided() error {
	return fault.New(fault.Undecided, "the platform did not confirm the claim on this key",
		"ask again with the same Idempotency-Key").WithRetryAfter(time.Second)
}
