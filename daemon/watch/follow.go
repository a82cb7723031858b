package watch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/feed"
	"slipcrank.example/core/pause"
)

const (
	// answeringPoll is how often the followers of other tables look whether the
	// platform answers questions for the configuration again.
	answeringPoll = 100 * time.Millisecond
	// seldomStart spreads the first questions of those that ask seldom: their
	// keys are no longer proven, and most are told within this time that the
	// platform is back.
	seldomStart = time.Second
	// seldomPause is their pause after the first question that has failed.
	seldomPause = 4 * time.Second
)

// SetPolling sets which tables the platform is asked for, and the longest pause
// between questions that fail. What isn't asked for has to be told by other
// hosts.
func (w *Watcher) SetPolling(a PollScope, longest time.Duration) {
	w.longest.Store(int64(longest))
	if w.asking.Swap(int32(a)) == int32(a) {
		return
	}
	next := make(chan struct{})
	close(*w.turned.Swap(&next))
}

// asks reports whether the platform is asked for a table.
func (w *Watcher) asks(table string) bool {
	a := PollScope(w.asking.Load())
	return a == PollAll || a == PollHosts && table == w.tables.Hosts || a == PollConfig && table == w.tables.Config
}

// waits reports whether a question for a table waits for the platform to
// answer one for the configuration: while it is away, one question of each
// host is enough to see that it is back.
func (w *Watcher) waits(table string) bool {
	return PollScope(w.asking.Load()) == PollAll && table != w.tables.Config && !w.answering.Load()
}

// follow reads a table whole, then its changes.
func (w *Watcher) follow(ctx context.Context, table string, wait time.Duration) {
	var revision int64
	listed := false
	var failing time.Time
	rest := firstPause
	for ctx.Err() == nil {
		turned := *w.turned.Load()
		if !w.asks(table) {
			if table == w.tables.Config {
				w.answering.Store(false)
			}
			select { // most hosts never ask: no timer wakes them
			case <-ctx.Done():
			case <-turned:
			}
			listed = false
			rest = w.begin(ctx)
			continue
		}
		if w.waits(table) {
			if listed && failing.IsZero() {
				failing = time.Now() // what lapses meanwhile, lapses by the outage
			}
			_ = pause.For(ctx, answeringPoll) // ctx is looked at above
			continue
		}
		patience := wait
		if !failing.IsZero() {
			patience = 0 // what was missed is wanted now, and that the platform is back
		}
		b, err := w.ask(ctx, table, listed, revision, patience)
		if errors.Is(err, feed.ErrHistoryGone) {
			listed = false
			_ = pause.UpTo(ctx, rest) // ctx is looked at above
			rest = w.longer(rest)
			continue
		}
		if table == w.tables.Config {
			w.answering.Store(err == nil)
		}
		r := read{table: table, batch: b, whole: !listed, err: err}
		if err == nil && !failing.IsZero() {
			r.after = time.Since(failing)
			failing = time.Time{}
		}
		if !w.hand(ctx, r) {
			return
		}
		if err != nil {
			if failing.IsZero() {
				failing = time.Now()
			}
			_ = pause.UpTo(ctx, rest) // ctx is looked at above
			rest = w.longer(rest)
			continue
		}
		if listed { // a platform that forgets as soon as it is listed is not well
			rest = firstPause
		}
		listed, revision = true, b.Revision
		if len(b.Rows) > 0 {
			_ = pause.For(ctx, w.gathering(table)) // ctx is looked at above
		}
	}
}

// begin waits for a while before the first question of one that asks seldom, and
// returns the pause after it, should it fail.
func (w *Watcher) begin(ctx context.Context) time.Duration {
	if PollScope(w.asking.Load()) != PollConfig {
		return firstPause
	}
	_ = pause.UpTo(ctx, seldomStart) // the caller looks at ctx
	return seldomPause
}

// longer is the pause after another question that has failed.
func (w *Watcher) longer(rest time.Duration) time.Duration {
	return min(2*rest, time.Duration(w.longest.Load()))
}

// gathering is how long to wait for more changes before the next question.
func (w *Watcher) gathering(table string) time.Duration {
	hosts := len(w.State().Hosts)
	switch {
	case w.Now() >= startTime:
		return gather
	case hosts == 0 && table != w.tables.Hosts:
		return firstGather
	}
	return min(max(time.Duration(hosts)*gatherPerHost, gather), firstGather)
}

// ask lists a table, or asks for its changes. A list may take several calls, of
// which the source bounds each: how long all take depends on the fleet.
func (w *Watcher) ask(ctx context.Context, table string, listed bool, revision int64, wait time.Duration) (feed.Batch, error) {
	sent := w.Now()
	var b feed.Batch
	var err error
	if listed {
		c, cancel := context.WithTimeout(ctx, wait+answerTime)
		defer cancel()
		b, err = w.source.Follow(c, table, revision, wait)
	} else {
		b, err = w.source.List(ctx, table)
	}
	w.metrics.Count("platform_calls", 1, "table", table)
	if err == nil {
		w.clock.Observe(sent, b.Stamp)
	}
	return b, err
}
