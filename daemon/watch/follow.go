package watch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/feed"
	"slipcrank.example/core/pause"
)

const (
	// answeringCheckInterval is the interval at which the followers of other tables
	// check whether the platform answers polls for the configuration again.
	answeringCheckInterval = 100 * time.Millisecond
	// configOnlyStartSpread is the period over which hosts that begin to poll with
	// PollConfig spread their first polls. The callers' keys are no longer proven on
	// these hosts, and most of them learn from others within this period that the
	// platform has returned.
	configOnlyStartSpread = time.Second
	// configOnlyBackoff is their backoff after the first failed poll.
	configOnlyBackoff = 4 * time.Second
)

// SetPolling sets which tables the platform is polled for, and the maximum backoff
// between failed polls. Tables that are not polled have to be received from other
// hosts.
func (w *Watcher) SetPolling(scope PollScope, maxBackoff time.Duration) {
	w.maxBackoff.Store(int64(maxBackoff))
	if w.scope.Swap(int32(scope)) == int32(scope) {
		return
	}
	next := make(chan struct{})
	close(*w.scopeChanged.Swap(&next))
}

// polls reports whether the platform is polled for a table.
func (w *Watcher) polls(table string) bool {
	s := PollScope(w.scope.Load())
	return s == PollAll || s == PollHosts && table == w.tables.Hosts || s == PollConfig && table == w.tables.Config
}

// defers reports whether polls for a table are deferred until the platform answers
// one for the configuration. During an outage, the polls of one table on each host
// suffice to detect the platform's return.
func (w *Watcher) defers(table string) bool {
	return PollScope(w.scope.Load()) == PollAll && table != w.tables.Config && !w.answering.Load()
}

// follow reads a complete table, then its changes.
func (w *Watcher) follow(ctx context.Context, table string, wait time.Duration) {
	var revision int64
	listed := false
	var failingSince time.Time
	backoff := minBackoff
	for ctx.Err() == nil {
		scopeChanged := *w.scopeChanged.Load()
		if !w.polls(table) {
			if table == w.tables.Config {
				w.answering.Store(false)
			}
			select { // most hosts never poll, so they use no timer
			case <-ctx.Done():
			case <-scopeChanged:
			}
			listed = false
			backoff = w.startPolling(ctx)
			continue
		}
		if w.defers(table) {
			if listed && failingSince.IsZero() {
				failingSince = time.Now() // entries that lapse from now on lapse because of the outage
			}
			_ = pause.For(ctx, answeringCheckInterval) // the loop checks ctx
			continue
		}
		pollWait := wait
		if !failingSince.IsZero() {
			pollWait = 0 // get the missed changes, and detect the platform's return, without delay
		}
		b, err := w.poll(ctx, table, listed, revision, pollWait)
		if errors.Is(err, feed.ErrHistoryGone) {
			listed = false
			_ = pause.UpTo(ctx, backoff) // the loop checks ctx
			backoff = w.nextBackoff(backoff)
			continue
		}
		if table == w.tables.Config {
			w.answering.Store(err == nil)
		}
		r := read{table: table, batch: b, complete: !listed, err: err}
		if err == nil && !failingSince.IsZero() {
			r.failing = time.Since(failingSince)
			failingSince = time.Time{}
		}
		if !w.deliver(ctx, r) {
			return
		}
		if err != nil {
			if failingSince.IsZero() {
				failingSince = time.Now()
			}
			_ = pause.UpTo(ctx, backoff) // the loop checks ctx
			backoff = w.nextBackoff(backoff)
			continue
		}
		if listed { // not after a list: the platform may discard its history again at once
			backoff = minBackoff
		}
		listed, revision = true, b.Revision
		if len(b.Rows) > 0 {
			_ = pause.For(ctx, w.pollDelay(table)) // the loop checks ctx
		}
	}
}

// startPolling returns the first backoff after the scope of polling has changed. With
// PollConfig it first waits for a random part of configOnlyStartSpread.
func (w *Watcher) startPolling(ctx context.Context) time.Duration {
	if PollScope(w.scope.Load()) != PollConfig {
		return minBackoff
	}
	_ = pause.UpTo(ctx, configOnlyStartSpread) // the caller checks ctx
	return configOnlyBackoff
}

// nextBackoff returns the backoff after another failed poll.
func (w *Watcher) nextBackoff(backoff time.Duration) time.Duration {
	return min(2*backoff, time.Duration(w.maxBackoff.Load()))
}

// pollDelay returns the delay between an answer with changes and the next poll.
func (w *Watcher) pollDelay(table string) time.Duration {
	hosts := len(w.State().Hosts)
	switch {
	case table == w.tables.Hosts && w.Now() >= startPeriod:
		return min(max(time.Duration(hosts)*hostsDelayPerHost, batchDelay), time.Second)
	case w.Now() >= startPeriod:
		return batchDelay
	case hosts == 0 && table != w.tables.Hosts:
		return startBatchDelay
	}
	return min(max(time.Duration(hosts)*startBatchDelayPerHost, batchDelay), startBatchDelay)
}

// poll lists a table, or waits for its changes. A list has no timeout here: it may
// take several calls, depending on the size of the fleet, and the source limits the
// time of each.
func (w *Watcher) poll(ctx context.Context, table string, listed bool, revision int64, wait time.Duration) (feed.Batch, error) {
	sent := w.Now()
	var b feed.Batch
	var err error
	if listed {
		b, err = w.followInEra(ctx, table, revision, wait)
	} else {
		b, err = w.source.List(ctx, table)
	}
	w.metrics.Count("platform_calls", 1, "table", table)
	if err == nil {
		w.platformClock.Observe(sent, b.Stamp)
	}
	return b, err
}

// followInEra polls for changes, and returns [feed.ErrHistoryGone] as soon as the platform
// is known to have come back from a copy since the revision. It may have no change to
// answer with then, until the wait is over.
func (w *Watcher) followInEra(ctx context.Context, table string, revision int64, wait time.Duration) (feed.Batch, error) {
	eraChanged := *w.eraChanged.Load()
	if w.newestEra.Load() > feed.Era(revision) {
		return feed.Batch{}, feed.ErrHistoryGone
	}
	c, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	c, end := context.WithCancelCause(c)
	defer end(nil)
	go func() {
		select {
		case <-eraChanged:
			end(feed.ErrHistoryGone)
		case <-c.Done():
		}
	}()
	b, err := w.source.Follow(c, table, revision, wait)
	if err != nil && errors.Is(context.Cause(c), feed.ErrHistoryGone) {
		return feed.Batch{}, feed.ErrHistoryGone
	}
	return b, err
}

// endPolls ends the polls from revisions of earlier eras.
func (w *Watcher) endPolls(era int64) {
	w.newestEra.Store(era)
	next := make(chan struct{})
	close(*w.eraChanged.Swap(&next))
}
