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
	// reservationTTL is the time after which a reservation expires unless it is
	// renewed, and renewInterval the interval at which its owner renews it.
	reservationTTL = 20 * time.Second
	renewInterval  = 2 * time.Second
	// renewTimeout bounds one renewal, and maxFailedRenewals is the number of
	// consecutive failures after which a member counts as lost.
	renewTimeout      = time.Second
	maxFailedRenewals = 2
	// maxReleaseRetryDelay bounds the random delay before a release is retried.
	maxReleaseRetryDelay = 500 * time.Millisecond
)

type (
	// reservation is the memory that one request has reserved on a group of engines.
	reservation struct {
		id       string
		members  []group.Member
		ctx      context.Context // canceled when the reservation ends or a member is lost
		cancel   context.CancelCauseFunc
		renewals sync.WaitGroup // the goroutines that renew it
	}

	// lostMemberError reports that an engine of a group was lost, and with it a part
	// of the KV cache.
	lostMemberError struct{ addr string }
)

// Error implements error.
func (l *lostMemberError) Error() string { return "engine " + l.addr + " of the group was lost" }

// startRenewals starts to renew the reservations of all members. If a member has restarted, or
// can't be reached while the lead sends nothing, it is lost and the whole reservation is canceled.
// The lead needs the memory of all members for each token, so they are alive if it sends one.
func (x *run) startRenewals(v *control.View, h *reservation) {
	h.ctx, h.cancel = context.WithCancelCause(context.Background())
	for _, m := range h.members {
		h.renewals.Go(func() { x.renewMember(v, h, m) })
	}
}

func (x *run) renewMember(v *control.View, h *reservation, m group.Member) {
	pieces := x.pieces.Load()
	for failed := 0; failed < maxFailedRenewals && !restarted(v, x.loop.View(), m.Addr); {
		if pause.For(h.ctx, renewInterval) != nil {
			return
		}
		failed++
		err, before := x.renewOnce(v, h, m), pieces
		if pieces = x.pieces.Load(); err == nil || pieces > before {
			failed = 0
		}
	}
	event.GroupEngineLost.Warn("request", x.request.ID, "engine", m.Addr)
	h.cancel(&lostMemberError{m.Addr})
}

// restarted reports whether the incarnation of an engine changed between two views.
func restarted(before, now *control.View, addr string) bool {
	a, b := before.Incarnation(addr), now.Incarnation(addr)
	return a != 0 && b != 0 && a != b
}

func (x *run) renewOnce(v *control.View, h *reservation, m group.Member) error {
	ctx, cancel := context.WithTimeout(h.ctx, renewTimeout)
	defer cancel()
	return x.engines.Reserve(ctx, m.Addr, x.newHolding(v, h.id, m))
}

func (x *run) newHolding(v *control.View, id string, m group.Member) engine.Holding {
	return engine.Holding{
		ID: id, Owner: v.Self.Addr, Incarnation: v.Self.Incarnation, Tokens: m.Tokens, Expires: reservationTTL, Kind: "reservation",
	}
}

// releaseGroup releases the memory of all members, in the background. It first waits
// until no renewal is in flight, since a renewal that arrived after the release would
// reserve the memory again.
func (x *run) releaseGroup(h *reservation) {
	h.cancel(nil)
	x.background(func() {
		h.renewals.Wait()
		group.Release(h.members, func(m group.Member) { x.releaseMember(h.id, m) })
	})
}

// releaseMember releases the memory of one member, in the background. It retries
// until the engine has confirmed the release or the reservation has expired, since
// until then no other request can use the memory.
func (x *run) releaseMember(id string, m group.Member) {
	x.background(func() {
		for begun := time.Now(); ; {
			err := x.tryRelease(id, m)
			if err == nil {
				return
			}
			if time.Since(begun) > reservationTTL {
				event.ReleaseUnconfirmed.Warn("reservation", id, "engine", m.Addr, "error", err.Error())
				return
			}
			_ = pause.UpTo(context.Background(), maxReleaseRetryDelay) // this context never ends
		}
	})
}

func (x *run) tryRelease(id string, m group.Member) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return x.engines.Release(ctx, m.Addr, id)
}
