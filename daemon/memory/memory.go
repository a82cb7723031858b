// Package memory sets memory of backend servers aside for prompts that are
// larger than what one of them has room for.
//
// All of a prompt's reservations are made, or none stays. Each is short and
// renewed while the prompt needs it, so that what a host leaves behind when it
// dies lapses by itself. Orders may get no answer and still be carried out,
// seconds later: a reservation with such an order is released again and again
// until no late one can be left.
//
// # Usage
//
//	k := memory.New(orders, log)
//	h, err := k.Hold(ctx, "id", []memory.Part{{Addr: a, Tokens: n}})
//	defer h.Release()
package memory

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
)

const (
	// holdTime is how long a reservation lasts without renewal. It is under
	// the four seconds within which operators want memory back.
	holdTime = 3500 * time.Millisecond
	// renewal leaves time for two more tries before a hold lapses.
	renewal = 1200 * time.Millisecond
	// orderTime is for one order to be answered; servers answer within
	// milliseconds.
	orderTime = 700 * time.Millisecond
	// lateTime is how much later an order without an answer may still be
	// carried out, and latePause lies between the releases meanwhile.
	lateTime  = 13 * time.Second
	latePause = 1500 * time.Millisecond
	// leastWait lies between two questions whether a server takes an order.
	leastWait = 10 * time.Millisecond
	// tries bounds releases where no order is late.
	tries = 3
)

var (
	// ErrInsufficientMemory is a server that has not enough free memory.
	ErrInsufficientMemory = errors.New("the backend server has no room for the reservation")

	errLimited = errors.New("the backend server takes no order now, by the limit that it names")
)

type (
	// Orders are what backend servers can be told.
	Orders struct {
		// Reserve sets tokens aside, or renews; [ErrNoRoom] if they aren't
		// free.
		Reserve func(ctx context.Context, addr, id string, tokens int, hold time.Duration) error
		// Release ends a reservation.
		Release func(ctx context.Context, addr, id string) error
	}

	// Share is the memory that is wanted of one server.
	Share struct {
		Addr   string
		Tokens int
	}

	// Reserver makes and keeps reservations. It is safe for use by many
	// goroutines.
	Reserver struct {
		orders Orders
		log    *decision.Log
		gate   func(ctx context.Context, addr string) (bool, time.Duration)
	}

	// Option changes a keeper under construction.
	Option func(*Reserver)

	// Reservation is a set of reservations with one ID.
	Reservation struct {
		keeper *Reserver
		id     string
		parts  []Share
		cancel context.CancelFunc
		done   sync.WaitGroup

		mu   sync.Mutex
		late map[string]bool // addresses with an order that got no answer
	}
)

// WithLimiter sets what is asked before each order whether a server takes it, and after
// how long it does if not.
func WithLimiter(f func(ctx context.Context, addr string) (bool, time.Duration)) Option {
	return func(k *Reserver) { k.gate = f }
}

// New returns a keeper.
func New(o Orders, l *decision.Log, os ...Option) *Reserver {
	k := &Reserver{
		orders: o, log: l,
		gate: func(context.Context, string) (bool, time.Duration) { return true, 0 },
	}
	for _, o := range os {
		o(k)
	}
	return k
}

// Reserve makes all reservations or none, and renews them until Release. The ID
// must be used once only.
func (k *Reserver) Reserve(ctx context.Context, id string, parts []Share) (*Reservation, error) {
	h := &Reservation{keeper: k, id: id, parts: parts, late: map[string]bool{}}
	var g errgroup.Group
	for _, p := range parts {
		g.Go(func() error { return h.reserve(ctx, p, 0) })
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.cancel = cancel
	if err := g.Wait(); err != nil {
		h.Release()
		return nil, err
	}
	for _, p := range parts {
		h.done.Go(func() { h.renew(renewing, p) })
	}
	return h, nil
}

// reserve makes or renews one reservation. It waits so long for a server that takes no
// order now.
func (h *Reservation) reserve(ctx context.Context, p Share, wait time.Duration) error {
	if !h.permitted(ctx, p, wait) {
		return errLimited
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	err := h.keeper.orders.Reserve(ctx, p.Addr, h.id, p.Tokens, holdTime)
	if err != nil && !errors.Is(err, ErrInsufficientMemory) {
		h.mu.Lock()
		h.late[p.Addr] = true
		h.mu.Unlock()
	}
	return err
}

// permitted reports whether a server takes an order, if need be after a wait.
func (h *Reservation) permitted(ctx context.Context, p Share, most time.Duration) bool {
	for begun := time.Now(); ; {
		ok, wait := h.keeper.gate(ctx, p.Addr)
		if ok {
			return true
		}
		if time.Since(begun)+wait > most || pause.For(ctx, max(wait, leastWait)) != nil {
			return false
		}
	}
}

// renew keeps one reservation alive.
func (h *Reservation) renew(ctx context.Context, p Share) {
	for pause.For(ctx, renewal) == nil {
		if err := h.reserve(ctx, p, renewal); err != nil && ctx.Err() == nil {
			h.keeper.log.Write(event.OrderFailed, slog.String("doing", "renew"), slog.String("id", h.id),
				slog.String("server", p.Addr), slog.String("error", err.Error()))
		}
	}
}

// Release gives the memory back. It returns at once; the orders go on in the
// background.
func (h *Reservation) Release() {
	h.cancel()
	go func() {
		h.done.Wait()
		for _, p := range h.parts {
			go h.release(p)
		}
	}()
}

// release releases one reservation. One that a limited server can't be told of lapses by
// itself.
func (h *Reservation) release(p Share) {
	h.mu.Lock()
	late := h.late[p.Addr]
	h.mu.Unlock()
	begun := time.Now()
	for n := 1; ; n++ {
		err := h.sendRelease(p)
		switch {
		case late && time.Since(begun) > lateTime, !late && err == nil, !late && n >= tries:
			if err != nil {
				h.keeper.log.Write(event.OrderFailed, slog.String("doing", "release"), slog.String("id", h.id),
					slog.String("server", p.Addr), slog.String("error", err.Error()))
			}
			return
		}
		_ = pause.For(context.Background(), latePause) // never ends early
	}
}

func (h *Reservation) sendRelease(p Share) error {
	if !h.permitted(context.Background(), p, latePause) {
		return errLimited
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	return h.keeper.orders.Release(ctx, p.Addr, h.id)
}
