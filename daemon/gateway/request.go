package gateway

import (
	"strconv"
	"strings"
	"time"

	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/upstream"
)

const (
	// counterObjective is the longest objective of requests whose callers
	// wait at a counter.
	counterObjective = time.Second
	// patientRanks is how many ranks the others stand behind them: the
	// operators' priorities are 0 to 2.
	patientRanks = 3
	// leastUrgent is the last rank that engines know.
	leastUrgent = 9
)

// request makes what is sent to the lead of a placement.
func (g *Gateway) request(c *call, s State, p schedule.Placement) upstream.Request {
	h := c.header.Clone()
	left := time.Until(c.deadline)
	set := func(name, value string) {
		if name != "" && value != "" {
			h.Set(name, value)
		}
	}
	set(g.dialect.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if lead, ok := s.Servers.Get(p.Lead); ok {
		set(g.dialect.Expect, lead.PlatformID())
	}
	set(g.dialect.Workspace, c.workspace.Name)
	set(g.dialect.LastEvent, c.lastEvent)
	set(g.dialect.Readers, strings.Join(readers(s, p), ","))
	if c.work.Prompt > 0 {
		set(g.dialect.Urgency, strconv.Itoa(urgency(c)))
	}
	return upstream.Request{
		Method:   c.method,
		Target:   c.target,
		Host:     c.host,
		Header:   h,
		Body:     c.body,
		IDHeader: g.dialect.Attempt,
		ID:       c.id,

		NewConnection: c.silent,
		BeforeSend:    func() error { return g.allowed(c, p) },
	}
}

// allowed is asked last before a request leaves this host.
func (g *Gateway) allowed(c *call, p schedule.Placement) error {
	g.clock.Refresh() // the machine may have been suspended since the call came
	s := g.state()
	c.sent = g.clock.Now()
	if c.sent >= c.due || !s.Servers.AcceptsWork(p.Lead) || !g.willing(c, p) || g.permit(c, s) != nil ||
		g.stage(c) == quarantine.Blocked {
		return errForbidden
	}
	return nil
}

// readers are the addresses of a placement's helpers, those with memory set
// aside first and with its name.
func readers(s State, p schedule.Placement) []string {
	var first, then []string
	holds := map[string]bool{}
	for _, h := range p.Shares {
		holds[h.Server] = true
		if b, ok := s.Servers.Get(h.Server); ok {
			first = append(first, b.Addr+"/"+ticket(p.ID))
		}
	}
	for _, id := range p.Helpers {
		if b, ok := s.Servers.Get(id); ok && !holds[id] {
			then = append(then, b.Addr)
		}
	}
	return append(first, then...)
}

// urgency ranks a call at an engine: short prompts, whose readers wait at a
// counter, before long ones, and within that by the operator's priority.
func urgency(c *call) int {
	n := c.route.Priority
	if c.workspace.Priority >= 0 {
		n = c.workspace.Priority
	}
	if c.route.Objective > counterObjective {
		n += patientRanks
	}
	return min(n, leastUrgent)
}
