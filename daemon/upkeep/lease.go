package upkeep

import (
	"context"

	"slipcrank.example/core/boottime"
	"slipcrank.example/daemon/event"
)

// snapshotInterval is the minimum number of changes between two stored
// snapshots.
const snapshotInterval = 100

// renewLease acquires or renews the hall's control lease. The daemon that holds
// the lease also stores snapshots of the templates, from which new daemons
// start, and trims the changes from the log that the snapshots replace.
func (u *Upkeep) renewLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, u.lease.RenewInterval())
	defer cancel()
	before, had := u.lease.Held(boottime.Time())
	_ = u.lease.AcquireOrRenew(ctx) // if the platform does not answer, the lease expires
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

// saveSnapshot stores a snapshot of the templates if snapshotInterval changes
// have come into force since the last one.
func (u *Upkeep) saveSnapshot(ctx context.Context) {
	t := u.loop.View().Templates
	if t.Number() < u.snapshotNumber+snapshotInterval {
		return
	}
	if u.changes.SaveSnapshot(ctx, t) != nil {
		return // retried at the next renewal
	}
	u.snapshotNumber = t.Number()
	if n, err := u.changes.Trim(ctx); n > 0 || err != nil {
		event.TemplateLogTrimmed.Info("changes", n, "cause", err)
	}
}
