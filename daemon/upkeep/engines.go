package upkeep

import (
	"context"
	"time"

	"slipcrank.example/daemon/control"
)

// pollTimeout is shorter than the time in which a dead engine has to be
// noticed by two polls.
const pollTimeout = 800 * time.Millisecond

// pollEngines reads the load reports and cache events of the engines that the
// daemon owns. A slow engine does not hold up the others: it is left out
// until its own poll has ended.
func (u *Upkeep) pollEngines(ctx context.Context) {
	due, _ := control.Ask(ctx, u.loop, (*control.State).DuePolls)
	for _, o := range due {
		poll := func() {
			p := u.poll(ctx, o)
			u.loop.Post(func(s *control.State) { s.ApplyPoll(p) })
		}
		if u.pool.Submit(poll) != nil { // the pool is full
			poll()
		}
	}
}

func (u *Upkeep) poll(ctx context.Context, o control.PollTarget) control.PollResult {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	p := control.PollResult{Addr: o.Addr, Resync: o.Resync}
	p.Report, p.Err = u.engines.Report(ctx, o.Addr)
	if p.Err != nil || (!o.Resync && p.Report.EventNumber <= o.After) {
		return p
	}
	page, err := u.engines.Events(ctx, o.Addr, o.After, o.Resync)
	if err == nil {
		p.Page = &page
	}
	return p
}
