package gateway

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/schedule"
	"slipcrank.example/daemon/upstream"
)

const (
	// maxInteractiveObjective is the maximum objective of interactive requests: those
	// for whose answers people wait.
	maxInteractiveObjective = time.Second
	// nonInteractiveOffset is added to the rank of all other requests. Operators'
	// priorities range from 0 to 2, so interactive requests always rank first.
	nonInteractiveOffset = 3
	// maxUrgency is the last rank that engines support.
	maxUrgency = 9
)

// buildRequest builds the request that is sent to the lead of a placement. What may change
// while the connection is opened is set right before it is sent.
func (g *Gateway) buildRequest(c *call, s State, p schedule.Placement) upstream.Request {
	h := c.header.Clone()
	set := func(name, value string) {
		if name != "" && value != "" {
			h.Set(name, value)
		}
	}
	if lead, ok := s.Servers.Get(p.Lead); ok {
		set(g.dialect.ExpectInstance, lead.PlatformID())
	}
	set(g.dialect.LastEventID, c.lastEventID)
	set(g.dialect.Helpers, strings.Join(helperAddrs(s, p), ","))
	return upstream.Request{
		Method:   c.method,
		Target:   c.target,
		Host:     c.host,
		Header:   h,
		Body:     c.body,
		IDHeader: g.dialect.AttemptID,
		ID:       c.id,
		Attempt:  &c.sends,
		Check:    g.answerCheck(c),

		NewConnection: c.freshConn || g.provesPath(c),
		OpenOnly:      g.usesOpenConnections(c, p.Service),
		BeforeSend: func() error {
			c.exchange.work.Lock()
			defer c.exchange.work.Unlock()
			if err := g.checkBeforeSend(c, p); err != nil {
				return err
			}
			set(g.dialect.Deadline, g.formatTimeLeft(c))
			set(g.dialect.Workspace, c.workspace.Name)
			if c.work.Prompt > 0 {
				set(g.dialect.Urgency, strconv.Itoa(urgency(c)))
			}
			return nil
		},
	}
}

// formatTimeLeft returns the milliseconds until a call's deadline, at least one.
func (g *Gateway) formatTimeLeft(c *call) string {
	left := min(time.Until(c.deadline), c.bootDeadline-g.clock.Now())
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10)
}

// checkBeforeSend is called right before the first byte of a request is sent. It
// returns an error if the request must not be sent any more.
func (g *Gateway) checkBeforeSend(c *call, p schedule.Placement) error {
	g.clock.Refresh() // the host may have been suspended since the call arrived
	s := g.state()
	c.sentAt = g.clock.Now()
	if c.sentAt >= c.bootDeadline || !acceptPlacement(s, p) || !g.acceptsCall(c, p) || g.authorize(c, s) != nil ||
		!g.placedAtHome(c, s, p) || g.stage(c) == quarantine.Blocked || s.Config.Version() < g.servedVersion.Load() ||
		!g.checkPaid(c, p.Service) || !g.partsAllow(c) {
		return errNotAllowed
	}
	if err := c.exchange.beginSending(); err != nil {
		return err
	}
	return c.progress.beginSending(p.Lead, g.mayServe)
}

// acceptPlacement reports whether the lead and all helpers of a placement accept new work.
func acceptPlacement(s State, p schedule.Placement) bool {
	return s.Servers.AcceptsWork(p.Lead) && !slices.ContainsFunc(p.Helpers, func(id string) bool { return !s.Servers.AcceptsWork(id) })
}

// helperAddrs returns the addresses of a placement's helpers. Those with reserved
// memory come first, with the reservation ID appended.
func helperAddrs(s State, p schedule.Placement) []string {
	var withMemory, withoutMemory []string
	reserved := map[string]bool{}
	for _, share := range p.MemoryShares {
		reserved[share.Server] = true
		if b, ok := s.Servers.Get(share.Server); ok {
			withMemory = append(withMemory, b.Addr+"/"+reservationID(p.ID))
		}
	}
	for _, id := range p.Helpers {
		if b, ok := s.Servers.Get(id); ok && !reserved[id] {
			withoutMemory = append(withoutMemory, b.Addr)
		}
	}
	return append(withMemory, withoutMemory...)
}

// urgency returns the rank of a call at an engine: interactive requests before others,
// and within both groups by the operator's priority.
func urgency(c *call) int {
	n := c.priority()
	if c.route.Objective > maxInteractiveObjective {
		n += nonInteractiveOffset
	}
	return min(n, maxUrgency)
}
