// Package memory reserves memory of several backend servers for a prompt that
// doesn't fit into the memory of one.
//
// The reservations of a prompt are all made, or all released again. Each expires
// after a short time and is renewed while the prompt needs it, so that reservations
// of a host that dies expire by themselves. An order may be executed seconds later
// although it got no answer. A reservation with such an order is therefore released
// repeatedly, until the order can no longer be executed.
//
// # Usage
//
//	r := memory.New(orders, log)
//	res, err := r.Reserve(ctx, "id", []memory.Share{{Addr: a, Tokens: n}})
//	defer res.Release()
package memory

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
)

const (
	// reservationTTL is how long a reservation lasts without renewal: less than the 4 s
	// within which operators want the memory back.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval leaves time for two more attempts before a reservation
	// expires.
	renewInterval = 1200 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order, which servers
	// give within milliseconds.
	orderTimeout = 700 * time.Millisecond
	// maxOrderDelay is how much later an order without an answer may still be
	// executed. In that time the reservation is released after each releasePause.
	maxOrderDelay = 13 * time.Second
	releasePause  = 1500 * time.Millisecond
	// minLimiterWait is the minimum pause between two calls of the limiter for
	// the same order.
	minLimiterWait = 10 * time.Millisecond
	// maxReleaseAttempts bounds the attempts to release a reservation all of
	// whose orders were answered.
	maxReleaseAttempts = 3
)

var (
	// ErrInsufficientMemory means that a server has too little free memory.
	ErrInsufficientMemory = errors.New("the backend server has too little free memory for the reservation")

	errLimited = errors.New("the backend server accepts no order now because of its rate limit or backoff")
)

type (
	// Orders sends orders to backend servers.
	Orders struct {
		// Reserve reserves memory for a number of tokens, or renews the
		// reservation with that ID. It returns [ErrInsufficientMemory] if the
		// server has too little free memory.
		Reserve func(ctx context.Context, addr, id string, tokens int, ttl time.Duration) error
		// Release ends the reservation with that ID.
		Release func(ctx context.Context, addr, id string) error
	}

	// RefusedError means that servers did not reserve the memory asked of them.
	RefusedError struct {
		// Addrs are the addresses of these servers.
		Addrs []string
		cause error
	}

	// Share is the memory to reserve on one server.
	Share struct {
		Addr   string
		Tokens int
	}

	// Reserver makes and renews reservations. It is safe for concurrent use.
	Reserver struct {
		orders  Orders
		log     *decision.Log
		limiter func(ctx context.Context, addr string) (bool, time.Duration)
	}

	// Option configures a Reserver.
	Option func(*Reserver)

	// Reservation is the set of a prompt's reservations, one on each server, under
	// one ID.
	Reservation struct {
		reserver *Reserver
		id       string
		shares   []Share
		cancel   context.CancelFunc
		renewals sync.WaitGroup

		mu         sync.Mutex
		unanswered map[string]bool // addresses with an order that got no answer
	}
)

// WithLimiter sets a function that is called before each order. It reports whether the
// server accepts an order now, and if not, after how long to ask again.
func WithLimiter(f func(ctx context.Context, addr string) (bool, time.Duration)) Option {
	return func(r *Reserver) { r.limiter = f }
}

// New returns a Reserver without a limiter unless WithLimiter is given.
func New(o Orders, l *decision.Log, os ...Option) *Reserver {
	r := &Reserver{
		orders: o, log: l,
		limiter: func(context.Context, string) (bool, time.Duration) { return true, 0 },
	}
	for _, o := range os {
		o(r)
	}
	return r
}

// Error returns the message of the error.
func (e *RefusedError) Error() string {
	return "memory not reserved on " + strings.Join(e.Addrs, ", ") + ": " + e.cause.Error()
}

// Unwrap returns why one of the servers did not reserve it.
func (e *RefusedError) Unwrap() error { return e.cause }

// Reserve makes all reservations or none, and renews them until Release is called. An
// ID must not be used again. Its error is a [RefusedError].
func (r *Reserver) Reserve(ctx context.Context, id string, shares []Share) (*Reservation, error) {
	res := &Reservation{reserver: r, id: id, shares: shares, unanswered: map[string]bool{}}
	errs := make([]error, len(shares))
	var g sync.WaitGroup
	for i, share := range shares {
		g.Go(func() { errs[i] = res.reserve(ctx, share, 0) })
	}
	g.Wait()
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	res.cancel = cancel
	if refused := refusedError(shares, errs); refused != nil {
		res.Release()
		return nil, refused
	}
	for _, share := range shares {
		res.renewals.Go(func() { res.renew(renewing, share) })
	}
	return res, nil
}

// refusedError returns the error for the shares whose reservations failed, or nil if
// none did. Errs are in the order of the shares.
func refusedError(shares []Share, errs []error) error {
	var refused *RefusedError
	for i, err := range errs {
		if err == nil {
			continue
		}
		if refused == nil {
			refused = &RefusedError{cause: err}
		}
		refused.Addrs = append(refused.Addrs, shares[i].Addr)
	}
	if refused == nil {
		return nil
	}
	return refused
}

// reserve makes or renews the reservation of one share. If the server accepts no order
// now, reserve waits for at most maxWait.
func (res *Reservation) reserve(ctx context.Context, share Share, maxWait time.Duration) error {
	if !res.waitPermitted(ctx, share, maxWait) {
		return errLimited
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := res.reserver.orders.Reserve(ctx, share.Addr, res.id, share.Tokens, reservationTTL)
	if err != nil && !errors.Is(err, ErrInsufficientMemory) {
		res.mu.Lock()
		res.unanswered[share.Addr] = true
		res.mu.Unlock()
	}
	return err
}

// waitPermitted waits for at most maxWait until a server accepts an order, and reports
// whether it does.
func (res *Reservation) waitPermitted(ctx context.Context, share Share, maxWait time.Duration) bool {
	for start := time.Now(); ; {
		ok, wait := res.reserver.limiter(ctx, share.Addr)
		if ok {
			return true
		}
		if time.Since(start)+wait > maxWait || pause.For(ctx, max(wait, minLimiterWait)) != nil {
			return false
		}
	}
}

// renew renews the reservation of one share until ctx ends.
func (res *Reservation) renew(ctx context.Context, share Share) {
	for pause.For(ctx, renewInterval) == nil {
		if err := res.reserve(ctx, share, renewInterval); err != nil && ctx.Err() == nil {
			res.reserver.log.Write(event.OrderFailed, slog.String("doing", "renew"), slog.String("id", res.id),
				slog.String("server", share.Addr), slog.String("error", err.Error()))
		}
	}
}

// Release ends the reservations. It returns at once and sends the orders in the
// background.
func (res *Reservation) Release() {
	res.cancel()
	go func() {
		res.renewals.Wait()
		for _, share := range res.shares {
			go res.release(share)
		}
	}()
}

// release ends the reservation of one share. If the server accepts no order because of
// its rate limit, the reservation expires by itself.
func (res *Reservation) release(share Share) {
	res.mu.Lock()
	unanswered := res.unanswered[share.Addr]
	res.mu.Unlock()
	start := time.Now()
	for n := 1; ; n++ {
		err := res.sendRelease(share)
		switch {
		case unanswered && time.Since(start) > maxOrderDelay, !unanswered && err == nil, !unanswered && n >= maxReleaseAttempts:
			if err != nil {
				res.reserver.log.Write(event.OrderFailed, slog.String("doing", "release"), slog.String("id", res.id),
					slog.String("server", share.Addr), slog.String("error", err.Error()))
			}
			return
		}
		_ = pause.For(context.Background(), releasePause) // never ends early
	}
}

// sendRelease sends one order to end the reservation of a share.
func (res *Reservation) sendRelease(share Share) error {
	if !res.waitPermitted(context.Background(), share, releasePause) {
		return errLimited
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return res.reserver.orders.Release(ctx, share.Addr, res.id)
}
