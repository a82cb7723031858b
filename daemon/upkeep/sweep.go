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
	sweepPeriod = 10 * time.Second
	sweepTime   = 2 * time.Second
)

// sweep frees what engines that this daemon owns keep for owners that are
// certainly gone.
func (u *Upkeep) sweep(ctx context.Context) {
	mine, _ := control.Ask(ctx, u.loop, (*control.State).OwnedAddrs)
	members := u.loop.View().Members
	for _, addr := range mine {
		ctx, cancel := context.WithTimeout(ctx, sweepTime)
		u.sweepEngine(ctx, addr, members)
		cancel()
	}
}

func (u *Upkeep) sweepEngine(ctx context.Context, addr string, members []member.Member) {
	hs, err := u.engines.Holdings(ctx, addr)
	if err != nil {
		return // the next sweep, or the expiry, will do it
	}
	for _, h := range orphans(hs, members) {
		if u.engines.Release(ctx, addr, h.ID) == nil {
			event.HoldingFreed.Info("engine", addr, "holding", h.ID, "tokens", h.Tokens, "owner", h.Owner)
		}
	}
}

// orphans returns the holdings that nobody can be using: those past their
// expiry, and those of an earlier life of a daemon that has restarted. A daemon
// that is only thought dead may be cut off and alive; its holdings stay until
// they expire, since it moves the expiry on while it lives.
func orphans(hs []engine.Holding, members []member.Member) []engine.Holding {
	lives := map[string]uint64{}
	for _, m := range members {
		lives[m.Addr] = m.Incarnation
	}
	var out []engine.Holding
	for _, h := range hs {
		if h.Kind == "stream" {
			continue // ends with its connection
		}
		if h.Expires <= 0 || lives[h.Owner] > h.Incarnation {
			out = append(out, h)
		}
	}
	return out
}
