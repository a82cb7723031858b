package upkeep

import (
	"context"

	"slipcrank.example/core/boottime"
	"slipcrank.example/daemon/event"
)

// snapshotEvery is how many changes may come between two stored snapshots.
const snapshotEvery = 100

// keepLease takes or renews the hall's control lease. Its holder also stores
// snapshots of the templates, from which new daemons start, and trims the log
// of changes that they make needless.
func (u *Upkeep) keepLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, u.lease.RenewInterval())
	defer cancel()
	before, had := u.lease.Held(boottime.Time())
	_ = u.lease.AcquireOrRenew(ctx) // a silent platform shows in the lease's end
	after, has := u.lease.Held(boottime.Time())
	switch {
	case has && (!had || before.Fence != after.Fence):
		event.LeaseTaken.Info("fence", after.Fence)
	case had && !has:
		event.LeaseLost.Warn("fence", before.Fence)
	}
	if has {
		u.saveSnapshot(ctx)
	}
}

func (u *Upkeep) saveSnapshot(ctx context.Context) {
	b := u.loop.View().Templates
	if b.Number() < u.saved+snapshotEvery {
		return
	}
	if u.changes.SaveSnapshot(ctx, b) != nil {
		return // the next turn tries again
	}
	u.saved = b.Number()
	if n, err := u.changes.Trim(ctx); n > 0 || err != nil {
		event.LogTrimmed.Info("changes", n, "cause", err)
	}
}
