package dispatch

import (
	"context"
	"sync"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/group"
	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
)

const (
	// holdTime is the expiry of a reservation, and renewPeriod how often a
	// living owner moves it on.
	holdTime    = 20 * time.Second
	renewPeriod = 2 * time.Second
	// renewTime bounds one renewal, and lostAfter is how many in a row may fail
	// before a member counts as lost.
	renewTime = time.Second
	lostAfter = 2
	// releasePause is the longest pause before an engine that did not answer
	// is told again to give memory back.
	releasePause = 500 * time.Millisecond
)

type (
	// reservation is the memory that one request holds on a group of engines.
	reservation struct {
		id      string
		members []group.Member
		lives   context.Context // ends with the reservation, or when a member is lost
		end     context.CancelCauseFunc
		keepers sync.WaitGroup // who renew it
	}

	// lostMember is the error of a group of which one engine has gone, and with
	// it a part of the KV cache.
	lostMember struct{ addr string }
)

// Error names the engine.
func (l *lostMember) Error() string { return "engine " + l.addr + " of the group has gone" }

// keep moves the expiry of the reservations on until the request has ended. A
// member that can't be reached, or has begun a new life, is lost, and the
// reservation ends with it.
func (x *run) keep(v *control.View, h *reservation) {
	h.lives, h.end = context.WithCancelCause(context.Background())
	for _, m := range h.members {
		h.keepers.Go(func() { x.keepMember(v, h, m) })
	}
}

func (x *run) keepMember(v *control.View, h *reservation, m group.Member) {
	for missed := 0; missed < lostAfter && !reborn(v, x.loop.View(), m.Addr); {
		if pause.For(h.lives, renewPeriod) != nil {
			return
		}
		missed++
		if x.renew(v, h, m) == nil {
			missed = 0
		}
	}
	event.GroupBroken.Warn("request", x.request.ID, "engine", m.Addr)
	h.end(&lostMember{m.Addr})
}

// reborn reports whether an engine has begun a new life between two views.
func reborn(before, now *control.View, addr string) bool {
	a, b := before.Incarnation(addr), now.Incarnation(addr)
	return a != 0 && b != 0 && a != b
}

func (x *run) renew(v *control.View, h *reservation, m group.Member) error {
	ctx, cancel := context.WithTimeout(h.lives, renewTime)
	defer cancel()
	return x.engines.Reserve(ctx, m.Addr, x.holdingOf(v, h.id, m))
}

func (x *run) holdingOf(v *control.View, id string, m group.Member) engine.Holding {
	return engine.Holding{
		ID: id, Owner: v.Self.Addr, Incarnation: v.Self.Incarnation, Tokens: m.Tokens, Expires: holdTime, Kind: "reservation",
	}
}

// free gives everything back, whatever became of the request, once no renewal is
// under way: one that came after the release would reserve the memory anew.
func (x *run) free(h *reservation) {
	h.end(nil)
	x.background(func() {
		h.keepers.Wait()
		group.Release(h.members, func(m group.Member) { x.release(h.id, m) })
	})
}

// release gives a member's memory back. An engine that does not answer is told
// again until the reservation has expired by itself: until then nobody else
// gets the memory.
func (x *run) release(id string, m group.Member) {
	x.background(func() {
		for begun := time.Now(); ; {
			err := x.releaseOnce(id, m)
			if err == nil {
				return
			}
			if time.Since(begun) > holdTime {
				event.ReleaseLost.Warn("reservation", id, "engine", m.Addr, "error", err.Error())
				return
			}
			_ = pause.UpTo(context.Background(), releasePause) // never ends early
		}
	})
}

func (x *run) releaseOnce(id string, m group.Member) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return x.engines.Release(ctx, m.Addr, id)
}
