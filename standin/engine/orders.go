package engine

import (
	"slices"
	"time"

	protocol "slipcrank.example/clients/engine"
)

// Command executes an order. With Params.ChecksFence set, it refuses an order whose
// fence is lower than the highest received.
func (e *Engine) Command(o protocol.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.params.ChecksFence && o.Fence < e.fence {
		return protocol.ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	c := protocol.Copy{Model: o.Model, Version: o.Version}
	switch o.Action {
	case protocol.Load:
		time.AfterFunc(e.params.LoadTime, func() { e.load(c) })
	case protocol.Unload:
		e.copies = slices.DeleteFunc(e.copies, func(x protocol.Copy) bool { return x == c })
	case protocol.SetRole:
		e.role = o.Role
	}
	return nil
}

// load adds a copy that has finished loading.
func (e *Engine) load(c protocol.Copy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.copies, c) {
		e.copies = append(e.copies, c)
	}
}

// Report returns the latest load report that is at least Params.ReportLag old, or the
// oldest one if none is. Its fields Leaving and Copies are always current.
func (e *Engine) Report() protocol.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	now := time.Now()
	e.reports = append(e.reports, timedReport{at: now, report: e.current()})
	cutoff := now.Add(-e.params.ReportLag)
	i := 0
	for i+1 < len(e.reports) && !e.reports[i+1].at.After(cutoff) {
		i++
	}
	e.reports = e.reports[i:]
	r := e.reports[0].report
	r.Age = now.Sub(e.reports[0].at)
	r.Leaving = e.leaving
	r.Copies = slices.Clone(e.copies)
	return r
}

// current returns a report of the current load.
func (e *Engine) current() protocol.Report {
	r := protocol.Report{
		Incarnation: e.incarnation,
		Role:        e.role,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		UsedTokens:  e.used,
		TotalTokens: e.params.KVTokens,
		EventNumber: e.cache.number,
	}
	for _, s := range e.running {
		r.PendingTokens += s.pending
	}
	for _, s := range e.waiting {
		r.PendingTokens += s.pending
	}
	return r
}
