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
	// drainPollPeriod is how often a stopping daemon checks for requests in
	// progress.
	drainPollPeriod = 100 * time.Millisecond
	// drainLogPeriod is how often a stopping daemon logs their number.
	drainLogPeriod = 10 * time.Second
	closeTimeout   = 5 * time.Second
)

// ErrDrainTimeout is returned by [Node.Stop] if requests were still in progress
// when drain.limit had passed or the context ended, and were cut off.
var ErrDrainTimeout = errors.New("requests in progress were cut off at drain.limit")

// Stop performs a planned stop. The daemon fails its readiness check and hands
// over its duties, but keeps serving for drain.notice so that the load balancer
// notices. Then it refuses new requests and waits until the answers to those in
// progress have been written. Stop returns [ErrDrainTimeout] if it had to cut off
// requests.
func (n *Node) Stop(ctx context.Context) error {
	event.DaemonDraining.Info("in_progress", n.callers.InProgress())
	n.callers.Unready()
	n.loop.Do(ctx, func(s *control.State) { s.Drain() })
	if err := n.lease.Release(ctx); err != nil {
		event.LeaseLost.Error(err)
	}
	_ = pause.For(ctx, n.settings.Drain.Notice)
	n.callers.Refuse()
	err := n.drain(ctx)
	left := n.callers.InProgress()
	n.callers.EndRequests()
	n.Close()
	if err != nil {
		event.DaemonStoppedWithRequests.Error(err, "in_progress", left)
		return err
	}
	event.DaemonStopped.Info()
	return nil
}

// drain waits until all answers have been written, up to drain.limit.
func (n *Node) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Drain.Limit)
	defer cancel()
	if err := n.awaitHandlers(ctx); err != nil {
		return err
	}
	// Handlers of answers that aren't streamed return before the answer is written.
	if err := n.callers.Close(ctx); err != nil && ctx.Err() != nil {
		return ErrDrainTimeout
	}
	return nil
}

// awaitHandlers waits until no request is in progress. It returns [ErrDrainTimeout] if ctx
// ends first.
func (n *Node) awaitHandlers(ctx context.Context) error {
	limit, _ := ctx.Deadline()
	lastLog := time.Time{}
	for n.callers.InProgress() > 0 {
		if time.Since(lastLog) > drainLogPeriod {
			event.DaemonWaiting.Info("in_progress", n.callers.InProgress(), "until", limit)
			lastLog = time.Now()
		}
		if pause.For(ctx, drainPollPeriod) != nil {
			return ErrDrainTimeout
		}
	}
	return nil
}

// Close stops the daemon without draining it, as a crash would, but closes its
// ports. It waits at most closeTimeout for open connections.
func (n *Node) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = n.callers.Close(ctx)
	_ = n.operators.Close(ctx)
	n.cancel()
	n.peerClient.Close()
	n.pool.Release()
}
