// Package lease keeps one lease in the platform's table service, with a
// fencing number that rises with every new holder.
//
// No two clocks are compared. A holder counts its lease from before it sent the
// write, on its own clock, which has to go on while the machine is suspended, and
// stops using it a margin before the end. Another daemon takes over only after it
// has itself watched the row stand unchanged for the whole length and the margin.
//
// A holder that is paused past the end and wakes up finds [Lease.Held] false
// before it acts. What it had sent before carries the old fence: engines that
// check the fence refuse it; for the others a new holder waits [OrderLifetime]
// before it gives orders ([Term.OrdersFrom]), and no order lives longer.
//
// # Usage
//
//	k := lease.New(store, "control/oslo-a", self, lease.WithNow(boottime.Time))
//	// every k.Period():
//	err := k.Step(ctx)
//	h, ok := k.Held(boottime.Time()) // by the clock of WithNow
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/store"
)

const (
	// Table is the name of the table of leases.
	Table = "leases"
	// DefaultLength is how long a lease lasts without renewal.
	DefaultLength = 10 * time.Second
	// OrderLifetime is the longest time for which an order given under a lease
	// may be carried out.
	OrderLifetime = 2 * time.Second

	marginPart = 4 // the margin is this part of the length
	periodPart = 4
)

type (
	// Lease takes and renews one lease.
	Lease struct {
		store  store.Store
		name   string
		self   string
		length time.Duration
		now    func() time.Time

		mu      sync.Mutex
		held    Term
		until   time.Time
		seen    uint64 // version of another holder's row
		seenAt  time.Time
		holder  string
		stopped bool
	}

	// Term is a lease while it is held.
	Term struct {
		// Fence is the fencing number of this holder.
		Fence uint64
		// OrdersFrom is the time from which engines that don't check the
		// fence may be given orders.
		OrdersFrom time.Time
	}

	// Option changes a keeper under construction.
	Option func(*Lease)

	row struct {
		Holder string `json:"holder"` // "" after it was given up
		Fence  uint64 `json:"fence"`
	}
)

// WithDuration sets the length of the lease.
func WithDuration(d time.Duration) Option { return func(k *Lease) { k.length = d } }

// WithNow sets the clock, which must be monotonic.
func WithNow(f func() time.Time) Option { return func(k *Lease) { k.now = f } }

// New returns a keeper of the lease called name for the daemon self.
func New(s store.Store, name, self string, os ...Option) *Lease {
	k := &Lease{store: s, name: name, self: self, length: DefaultLength, now: time.Now}
	for _, o := range os {
		o(k)
	}
	return k
}

// RenewInterval returns the time between two calls of [Lease.AcquireOrRenew].
func (k *Lease) RenewInterval() time.Duration { return k.length / periodPart }

// Held returns the lease if it may still be used at time now.
func (k *Lease) Held(now time.Time) (Term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held, now.Before(k.until)
}

// Holder returns the daemon that held the lease at the last look, or "".
func (k *Lease) Holder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder
}

// AcquireOrRenew takes or renews the lease if it can. An error means that the store did
// not answer; what was held stays held until its time.
func (k *Lease) AcquireOrRenew(ctx context.Context) error {
	if k.isStopped() {
		return nil
	}
	started := k.now()
	rows, err := k.store.Read(ctx, []store.Ref{{Table: Table, Key: k.name}})
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	if len(rows) == 0 {
		return k.write(ctx, row{Holder: k.self, Fence: 1}, store.Absent, started)
	}
	var r row
	if err := json.Unmarshal(rows[0].Value, &r); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	k.look(r, rows[0].Version, started)
	switch {
	case r.Holder == k.self && k.fence() == r.Fence:
		return k.write(ctx, r, rows[0].Version, started)
	case r.Holder == "" || k.stale(started):
		return k.write(ctx, row{Holder: k.self, Fence: r.Fence + 1}, rows[0].Version, started)
	default:
		return nil
	}
}

// Release gives the lease up, so that another can take it at once, and takes
// it no more.
func (k *Lease) Release(ctx context.Context) error {
	k.mu.Lock()
	h, mine := k.held, k.now().Before(k.until)
	k.stopped, k.until = true, time.Time{}
	k.mu.Unlock()
	if !mine {
		return nil
	}
	rows, err := k.store.Read(ctx, []store.Ref{{Table: Table, Key: k.name}})
	if err != nil || len(rows) == 0 {
		return errors.Wrap(err, "read lease")
	}
	var r row
	if err := json.Unmarshal(rows[0].Value, &r); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	if r.Holder != k.self || r.Fence != h.Fence {
		return nil
	}
	b, err := json.Marshal(row{Fence: r.Fence})
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	_, err = k.store.Commit(ctx, []store.Write{{Table: Table, Key: k.name, Value: b, Expect: rows[0].Version}})
	return errors.Wrap(err, "release lease")
}

func (k *Lease) write(ctx context.Context, r row, expect uint64, started time.Time) error {
	b, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	o, err := k.store.Commit(ctx, []store.Write{{Table: Table, Key: k.name, Value: b, Expect: expect}})
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	if !o.Committed {
		return nil // another was sooner
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return nil
	}
	if r.Fence != k.held.Fence {
		k.held = Term{Fence: r.Fence, OrdersFrom: k.now().Add(OrderLifetime)}
	}
	k.holder = k.self
	k.until = started.Add(k.length - k.length/marginPart)
	return nil
}

// look notes another holder's row, and since when it has stood unchanged.
func (k *Lease) look(r row, version uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holder = r.Holder
	if version != k.seen {
		k.seen, k.seenAt = version, now
	}
}

func (k *Lease) stale(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.seenAt) > k.length+k.length/marginPart
}

func (k *Lease) fence() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held.Fence
}

func (k *Lease) isStopped() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stopped
}
