package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
)

const (
	// waitPeriod is how often a stopping daemon looks whether it may go.
	waitPeriod = 100 * time.Millisecond
	// sayPeriod is how often it says what it waits for.
	sayPeriod = 10 * time.Second
	closeTime = 5 * time.Second
)

// ErrCutOff is a stop that ended requests in progress, since they ran longer
// than drain.limit.
var ErrCutOff = errors.New("requests in progress were cut off at drain.limit")

// Stop is a planned stop. The daemon first answers that it is not ready, and
// goes on serving while the balancer notices; then it refuses new requests,
// hands over its duties, and lets those in progress run to their end.
func (n *Node) Stop(ctx context.Context) error {
	event.DaemonDraining.Info("in_progress", n.callers.InProgress())
	n.callers.Unready()
	n.loop.Do(ctx, func(s *control.State) { s.Drain() })
	if err := n.lease.Release(ctx); err != nil {
		event.LeaseLost.Error(err)
	}
	_ = pause.For(ctx, n.settings.Drain.Notice)
	n.callers.Refuse()
	err := n.drained(ctx)
	n.Close()
	if err != nil {
		event.DaemonGaveUp.Error(err, "in_progress", n.callers.InProgress())
		return err
	}
	event.DaemonStopped.Info()
	return nil
}

// drained waits until no request is in progress.
func (n *Node) drained(ctx context.Context) error {
	limit := time.Now().Add(n.settings.Drain.Limit)
	said := time.Time{}
	for n.callers.InProgress() > 0 {
		if time.Since(said) > sayPeriod {
			event.DaemonWaiting.Info("in_progress", n.callers.InProgress(), "until", limit)
			said = time.Now()
		}
		if ctx.Err() != nil || time.Now().After(limit) {
			return ErrCutOff
		}
		_ = pause.For(ctx, waitPeriod)
	}
	return nil
}

// Close stops the daemon at once, as a crash would, but closes its ports.
func (n *Node) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	_ = n.callers.Close(ctx)
	_ = n.operators.Close(ctx)
	n.cancel()
	n.client.Close()
	n.pool.Release()
}
