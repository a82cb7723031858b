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
	// tries bounds releases where no order is late.
	tries = 3
)

// ErrNoRoom is a server that has not enough free memory.
var ErrNoRoom = errors.New("the backend server has no room for the reservation")

type (
	// Orders are what backend servers can be told.
	Orders struct {
		// Reserve sets tokens aside, or renews; [ErrNoRoom] if they aren't
		// free.
		Reserve func(ctx context.Context, addr, id string, tokens int, hold time.Duration) error
		// Release ends a reservation.
		Release func(ctx context.Context, addr, id string) error
	}

	// Part is the memory that is wanted of one server.
	Part struct {
		Addr   string
		Tokens int
	}

	// Keeper makes and keeps reservations. It is safe for use by many
	// goroutines.
	Keeper struct {
		orders Orders
		log    *decision.Log
	}

	// Hold is a set of reservations with one ID.
	Hold struct {
		keeper *Keeper
		id     string
		parts  []Part
		cancel context.CancelFunc
		done   sync.WaitGroup

		mu   sync.Mutex
		late map[string]bool // addresses with an order that got no answer
	}
)

// New returns a keeper.
func New(o Orders, l *decision.Log) *Keeper { return &Keeper{orders: o, log: l} }

// Hold makes all reservations or none, and renews them until Release. The ID
// must be used once only.
func (k *Keeper) Hold(ctx context.Context, id string, parts []Part) (*Hold, error) {
	h := &Hold{keeper: k, id: id, parts: parts, late: map[string]bool{}}
	var g errgroup.Group
	for _, p := range parts {
		g.Go(func() error { return h.reserve(ctx, p) })
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h.cancel = cancel
	if err := g.Wait(); err != nil {
		h.Release()
		return nil, err
	}
	h.done.Add(1)
	go h.renew(renewing)
	return h, nil
}

func (h *Hold) reserve(ctx context.Context, p Part) error {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	err := h.keeper.orders.Reserve(ctx, p.Addr, h.id, p.Tokens, holdTime)
	if err != nil && !errors.Is(err, ErrNoRoom) {
		h.mu.Lock()
		h.late[p.Addr] = true
		h.mu.Unlock()
	}
	return err
}

// renew keeps the reservations alive.
func (h *Hold) renew(ctx context.Context) {
	defer h.done.Done()
	for pause.For(ctx, renewal) == nil {
		for _, p := range h.parts {
			if err := h.reserve(ctx, p); err != nil && ctx.Err() == nil {
				h.keeper.log.Write(event.OrderFailed, slog.String("doing", "renew"), slog.String("id", h.id),
					slog.String("server", p.Addr), slog.String("error", err.Error()))
			}
		}
	}
}

// Release gives the memory back. It returns at once; the orders go on in the
// background.
func (h *Hold) Release() {
	h.cancel()
	go func() {
		h.done.Wait()
		for _, p := range h.parts {
			go h.release(p)
		}
	}()
}

func (h *Hold) release(p Part) {
	h.mu.Lock()
	late := h.late[p.Addr]
	h.mu.Unlock()
	begun := time.Now()
	for n := 1; ; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), orderTime)
		err := h.keeper.orders.Release(ctx, p.Addr, h.id)
		cancel()
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
