package schedule

import (
	"cmp"
	"slices"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

const (
	// leastPart is the smallest part of a prompt that is worth a helper: its
	// reading takes about as long as a pass of a few steps.
	leastPart = 800
	// alone is the part of its objective up to which a prompt is read by one
	// engine: a helper that can't be reached would refuse it for nothing.
	alone = 0.5
)

type (
	// plan is a way to place a request.
	plan struct {
		lead    *state
		helpers []*state
		shares  []MemoryShare
		fits    bool
		cost    float64
		harm    float64       // the part of the cost that falls on others
		read    time.Duration // until all parts are read, without waits for slots
		first   time.Duration
	}

	// choice is a request before the engines that may run it.
	choice struct {
		engine  *site.Engine
		request Request
		value   float64
		draw    float64 // from 0 to below 1
		states  []*state
		leading []*state // those that may lead
		scratch *scratch
	}

	// scratch is what choices work with. It is kept from one to the next, since each
	// would allocate it anew: 32 to 360 kB for 60 engines, which keeps the garbage
	// collector of a host with a fifth of a core busy. The board's lock guards it.
	scratch struct {
		able, resting []*backend.Server
		pool          []state
		states        []*state
		leading       []*state
		ranks         []rank
		helpers       []*state
		holders       holders
	}

	// rank is an engine's place among others by cost.
	rank struct {
		cost  float64
		state *state
	}
)

// choose fills in the way to place r that costs least, led by one of the leads.
func (b *Scheduler) choose(now time.Duration, e *site.Engine, servers, leads []*backend.Server, r Request, p *Placement) {
	c := choice{engine: e, request: r, value: Value(e, r.Work), draw: b.random(), scratch: &b.scratch}
	b.predict(&c, now, servers, leads, p.Service)
	best := c.best()
	p.Lead, p.FirstToken, p.MemoryShares = best.lead.server.ID, best.first, best.shares
	p.Fits = best.fits
	p.EnginesFilled = float64(r.Work.Prompt+r.Work.Answer) / float64(room(e))
	p.SpareFraction = max(1-float64(maxHelpers+1)/float64(len(servers)), 0)
	p.IdleFirstToken = idleRead(e, r.Work.Prompt, len(servers))
	p.PassTime = passTime(e, best.lead.running+1, best.lead.context+r.Work.Prompt)
	p.LeadRunning, p.LeadBacklog = best.lead.running, best.lead.reading
	p.DisplacementRatio = (best.harm + displaced(e, c.states, r)) / (c.value * kept(best.first, r.Objective))
	p.Share, p.SlotScarcity = b.part(e, servers, r), full(slotsTaken(c.states))
	for _, h := range best.helpers {
		p.Helpers = append(p.Helpers, h.server.ID)
	}
}

// predict fills in the engines of a choice.
func (b *Scheduler) predict(c *choice, now time.Duration, servers, leads []*backend.Server, service string) {
	s := &b.scratch
	if len(s.pool) < len(servers) {
		s.pool = make([]state, len(servers))
	}
	s.states, s.leading = s.states[:0], s.leading[:0]
	unknown := b.unknown(service, now)
	for i, server := range servers {
		st := &s.pool[i]
		b.fill(st, now, c.engine, server)
		st.unknown = unknown
		st.order = float64(i) / float64(len(servers))
		s.states = append(s.states, st)
		if len(s.leading) < len(leads) && leads[len(s.leading)].ID == server.ID {
			s.leading = append(s.leading, st) // both are in one order
		}
	}
	c.states, c.leading = s.states, s.leading
}

// best returns the plan that costs least.
func (c *choice) best() plan {
	var best plan
	r := c.request
	for k := 1; k <= min(maxHelpers+1, len(c.states)); k++ {
		if k > 1 && r.Work.Prompt/k < leastPart {
			break
		}
		p := c.over(k)
		if k == 1 || p.cost < best.cost {
			best = p
			best.helpers = slices.Clone(p.helpers) // the next one reuses them
		}
		if k == 1 && r.Isolated && best.fits {
			break // so that one server alone can end
		}
		if k == 1 && best.harm == 0 && float64(best.first) < alone*float64(r.Objective) {
			break
		}
	}
	return best
}

// over returns the best way to read the prompt in k parts, the first of them on
// one of the leads.
func (c *choice) over(k int) plan {
	part := readTime(c.engine, c.request.Work.Prompt, k)
	p := plan{lead: c.lead(part)}
	p.harm, p.read = p.lead.loss(p.lead.pause(part)), p.lead.firstRead(part)
	p.cost = p.harm + p.lead.ownCost(c.engine, c.request, c.value)
	if k > 1 {
		c.help(&p, k, part)
	}
	p.first = p.lead.wait() + p.read
	p.cost += p.lead.firstCost(p.read, c.request.Objective, c.value)
	return p.fit(c.engine, c.request, c.value)
}

// asGood reports whether a draw may choose the engine for one that costs less: it
// is no slower, and doesn't have all its slots taken where that one has a free
// one. A wait for one slot costs a stream less than what counts as near.
func (s *state) asGood(best *state) bool {
	return s.slow <= best.slow && (s.running < s.server.Slots || best.running >= best.server.Slots)
}

// lead chooses, by the draw, among the engines that would lead the prompt for
// nearly the least cost, so that hosts that choose at the same moment don't all
// take the same.
func (c *choice) lead(part time.Duration) *state {
	ranks := c.scratch.ranks[:0]
	for _, s := range c.leading {
		cost := s.loss(s.pause(part)) + s.ownCost(c.engine, c.request, c.value) +
			s.firstCost(s.firstRead(part), c.request.Objective, c.value)
		ranks = insert(ranks, rank{cost, s}, nearMost)
	}
	c.scratch.ranks = ranks
	near := 1
	for near < len(ranks) && ranks[near].cost <= ranks[0].cost+nearCost*c.value && ranks[near].state.asGood(ranks[0].state) {
		near++
	}
	return ranks[int(c.draw*float64(near))].state
}

// help adds the k-1 engines that read parts at the least cost.
func (c *choice) help(p *plan, k int, part time.Duration) {
	ranks := c.scratch.ranks[:0]
	for _, s := range c.states {
		if s != p.lead && s.helping < s.server.Slots && !c.request.LeadOnly[s.server.ID] {
			ranks = insert(ranks, rank{s.helpCost(c.engine, part, c.request, c.value), s}, k-1)
		}
	}
	c.scratch.ranks = ranks
	if len(ranks) < k-1 {
		p.cost += fullCost * c.value
	}
	p.helpers = c.scratch.helpers[:0]
	for _, h := range ranks {
		s := h.state
		harm := s.loss(s.pause(part))
		p.harm += harm
		p.cost += harm + helperCost*c.value
		p.read = max(p.read, s.firstRead(part))
		p.helpers = append(p.helpers, s)
	}
	c.scratch.helpers = p.helpers
}

// insert puts a rank in its place among the most that cost least, of equals behind
// those that came before.
func insert(ranks []rank, r rank, most int) []rank {
	i := len(ranks)
	for i > 0 && r.cost < ranks[i-1].cost {
		i--
	}
	if i == most {
		return ranks
	}
	if len(ranks) == most {
		ranks = ranks[:most-1]
	}
	return slices.Insert(ranks, i, r)
}

// fit sets memory aside on helpers for what the lead has no room for.
func (c plan) fit(e *site.Engine, r Request, value float64) plan {
	lacking := c.lead.context + r.Work.Prompt + r.Work.Answer - room(e)
	if lacking <= 0 {
		c.fits = true
		return c
	}
	lacking = min(lacking, r.Work.Prompt)
	byRoom := slices.Clone(c.helpers)
	slices.SortFunc(byRoom, func(a, b *state) int { return cmp.Compare(a.context, b.context) })
	for _, h := range byRoom {
		free := room(e) - h.context
		if lacking <= 0 || free < leastPart {
			break
		}
		n := min(free, lacking)
		c.shares = append(c.shares, MemoryShare{Server: h.server.ID, Tokens: n})
		lacking -= n
	}
	if c.fits = lacking <= 0; !c.fits {
		c.shares = nil
		c.cost += fullCost * value
	}
	return c
}

// room is what is used of an engine's memory: the lengths of answers are
// guesses.
func room(e *site.Engine) int { return int(float64(e.Memory) * usedMemory) }

const usedMemory = 0.92
