// Package lease implements a lease on one row of the platform's table service,
// with a fencing number that rises with every new holder.
//
// Clocks of different daemons are never compared. A holder counts its lease from
// the moment before it sent the write, on its own clock, and stops using it a
// margin before the end; the clock must also advance while the host is
// suspended. Another daemon takes the lease over only after it has itself
// observed the row unchanged for the lease duration plus the margin.
//
// After a pause beyond the end of its lease, a holder sees [Lease.Held] return
// false before it acts. Orders that it sent earlier carry the old fence: engines
// that check the fence refuse them. For engines that don't, no order is valid for
// longer than [OrderLifetime], and a new holder waits that long before it sends
// its first ([Term.OrdersFrom]).
//
// # Usage
//
//	l := lease.New(store, "control/oslo-a", self, lease.WithNow(boottime.Time))
//	// every l.RenewInterval():
//	err := l.AcquireOrRenew(ctx)
//	t, ok := l.Held(boottime.Time()) // on the clock given to WithNow
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
	// DefaultDuration is the default duration of a lease without renewal.
	DefaultDuration = 10 * time.Second
	// OrderLifetime is the time after which an order sent under a lease must
	// no longer be executed.
	OrderLifetime = 2 * time.Second

	marginDivisor = 4 // the safety margin is duration / marginDivisor
	renewDivisor  = 4 // the renewal interval is duration / renewDivisor
)

type (
	// Lease is one daemon's handle on a named lease: it acquires, renews and
	// releases it. It is safe for concurrent use.
	Lease struct {
		store    store.Store
		name     string
		self     string
		duration time.Duration
		now      func() time.Time

		mu              sync.Mutex
		term            Term
		validUntil      time.Time
		observedVersion uint64    // version of the row at the last read
		observedSince   time.Time // when observedVersion was first read
		holder          string
		released        bool
	}

	// Term is the time for which one holder has the lease without interruption.
	Term struct {
		// Fence is the fencing number of this term.
		Fence uint64
		// OrdersFrom is the time from which orders may be sent to engines that
		// don't check the fence.
		OrdersFrom time.Time
	}

	// Option configures a [Lease] during construction.
	Option func(*Lease)

	row struct {
		Holder string `json:"holder"` // "" after a release
		Fence  uint64 `json:"fence"`
	}
)

// WithDuration sets the duration of the lease, [DefaultDuration] by default.
func WithDuration(d time.Duration) Option { return func(l *Lease) { l.duration = d } }

// WithNow sets the clock, which must be monotonic and advance while the host is
// suspended.
func WithNow(f func() time.Time) Option { return func(l *Lease) { l.now = f } }

// New returns the handle of the daemon self on the lease called name. It holds
// nothing until [Lease.AcquireOrRenew] acquires the lease.
func New(s store.Store, name, self string, opts ...Option) *Lease {
	l := &Lease{store: s, name: name, self: self, duration: DefaultDuration, now: time.Now}
	for _, o := range opts {
		o(l)
	}
	return l
}

// RenewInterval returns the interval at which [Lease.AcquireOrRenew] has to be
// called.
func (l *Lease) RenewInterval() time.Duration { return l.duration / renewDivisor }

// Held returns the current term, and whether the lease is held at time now, on
// the clock given to [WithNow].
func (l *Lease) Held(now time.Time) (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, now.Before(l.validUntil)
}

// Holder returns the holder of the lease at the last read or write of the row, or
// "" if there was none.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// AcquireOrRenew renews the lease if this daemon holds it, and acquires it if it
// is free or expired. It returns nil if another daemon holds the lease, and does
// nothing after [Lease.Release]. After an error, such as a store that does not
// answer, a lease that was held stays held until it expires.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if l.isReleased() {
		return nil
	}
	started := l.now()
	rows, err := l.store.Read(ctx, []store.Ref{{Table: Table, Key: l.name}})
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	if len(rows) == 0 {
		return l.write(ctx, row{Holder: l.self, Fence: 1}, store.Absent, started)
	}
	var r row
	if err := json.Unmarshal(rows[0].Value, &r); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	l.observe(r, rows[0].Version, started)
	switch {
	case r.Holder == l.self && l.fence() == r.Fence:
		return l.write(ctx, r, rows[0].Version, started)
	case r.Holder == "" || l.expired(started):
		return l.write(ctx, row{Holder: l.self, Fence: r.Fence + 1}, rows[0].Version, started)
	default:
		return nil
	}
}

// Release gives up the lease, so that another daemon can acquire it without
// waiting for it to expire, and prevents this handle from acquiring it again.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	term, held := l.term, l.now().Before(l.validUntil)
	l.released, l.validUntil = true, time.Time{}
	l.mu.Unlock()
	if !held {
		return nil
	}
	rows, err := l.store.Read(ctx, []store.Ref{{Table: Table, Key: l.name}})
	if err != nil || len(rows) == 0 {
		return errors.Wrap(err, "read lease")
	}
	var r row
	if err := json.Unmarshal(rows[0].Value, &r); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	if r.Holder != l.self || r.Fence != term.Fence {
		return nil
	}
	b, err := json.Marshal(row{Fence: r.Fence})
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	_, err = l.store.Commit(ctx, []store.Write{{Table: Table, Key: l.name, Value: b, Expect: rows[0].Version}})
	return errors.Wrap(err, "release lease")
}

// write writes r if the row has the expected version. started is a time before
// the row was read; a lease that is written is valid from then.
func (l *Lease) write(ctx context.Context, r row, expect uint64, started time.Time) error {
	b, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	o, err := l.store.Commit(ctx, []store.Write{{Table: Table, Key: l.name, Value: b, Expect: expect}})
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	if !o.Committed {
		return nil // another daemon wrote the row first
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return nil
	}
	if r.Fence != l.term.Fence {
		l.term = Term{Fence: r.Fence, OrdersFrom: l.now().Add(OrderLifetime)}
	}
	l.holder = l.self
	l.validUntil = started.Add(l.duration - l.duration/marginDivisor)
	return nil
}

// observe records the holder and the version of the row, and when that version
// was first read.
func (l *Lease) observe(r row, version uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = r.Holder
	if version != l.observedVersion {
		l.observedVersion, l.observedSince = version, now
	}
}

// expired reports whether the row has been observed unchanged for longer than
// the duration of a lease plus the margin.
func (l *Lease) expired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.observedSince) > l.duration+l.duration/marginDivisor
}

func (l *Lease) fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term.Fence
}

func (l *Lease) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}
