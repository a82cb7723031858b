package upkeep

import (
	"context"
	"time"

	"slipcrank.example/daemon/control"
)

// pollTimeout is shorter than the time within which two polls have to detect a
// failed engine.
const pollTimeout = 800 * time.Millisecond

// pollEngines reads the load reports and cache events of the engines that the
// daemon owns. A slow engine does not delay the polls of others: it is not
// polled again until its current poll has ended.
func (u *Upkeep) pollEngines(ctx context.Context) {
	due, _ := control.Ask(ctx, u.loop, (*control.State).DuePolls)
	for _, t := range due {
		poll := func() {
			r := u.poll(ctx, t)
			u.loop.Post(func(s *control.State) { s.ApplyPoll(r) })
		}
		if u.pool.Submit(poll) != nil { // the pool is full
			poll()
		}
	}
}

// poll reads the load report of an engine, and its cache events if there are new
// ones or a resync is due. If only the events can't be read, the result is valid
// without them.
func (u *Upkeep) poll(ctx context.Context, t control.PollTarget) control.PollResult {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r := control.PollResult{Addr: t.Addr, Resync: t.Resync}
	r.Report, r.Err = u.engines.Report(ctx, t.Addr)
	if r.Err != nil || (!t.Resync && r.Report.EventNumber <= t.After) {
		return r
	}
	page, err := u.engines.Events(ctx, t.Addr, t.After, t.Resync)
	if err == nil {
		r.Page = &page
	}
	return r
}
