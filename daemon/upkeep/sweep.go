package upkeep

import (
	"context"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/member"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
)

const (
	sweepPeriod  = 10 * time.Second
	sweepTimeout = 2 * time.Second
)

// sweep releases the memory that engines of this daemon reserve for owners that
// certainly no longer exist.
func (u *Upkeep) sweep(ctx context.Context) {
	owned, _ := control.Ask(ctx, u.loop, (*control.State).OwnedAddrs)
	members := u.loop.View().Members
	for _, addr := range owned {
		ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
		u.sweepEngine(ctx, addr, members)
		cancel()
	}
}

func (u *Upkeep) sweepEngine(ctx context.Context, addr string, members []member.Member) {
	hs, err := u.engines.Holdings(ctx, addr)
	if err != nil {
		return // retried by the next sweep; holdings also expire
	}
	for _, h := range orphans(hs, members) {
		if u.engines.Release(ctx, addr, h.ID) == nil {
			event.OrphanedHoldingReleased.Info("engine", addr, "holding", h.ID, "tokens", h.Tokens, "owner", h.Owner)
		}
	}
}

// orphans returns the holdings that no daemon can be using: those that have
// expired, and those of an earlier incarnation of a daemon that has restarted. A
// daemon that is considered dead may be alive but partitioned. Its holdings are
// kept until they expire, since a live owner extends their expiry.
func orphans(hs []engine.Holding, members []member.Member) []engine.Holding {
	incarnations := map[string]uint64{}
	for _, m := range members {
		incarnations[m.Addr] = m.Incarnation
	}
	var out []engine.Holding
	for _, h := range hs {
		if h.Kind == "stream" {
			continue // released when its connection ends
		}
		if h.Expires <= 0 || incarnations[h.Owner] > h.Incarnation {
			out = append(out, h)
		}
	}
	return out
}
