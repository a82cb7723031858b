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
		lead    state
		helpers []state
		shares  []Share
		fits    bool
		cost    float64
		harm    float64       // the part of the cost that falls on others
		read    time.Duration // until all parts are read, without waits for slots
		first   time.Duration
	}
)

// choose fills in the way to place r that costs least, led by one of the leads.
func (b *Board) choose(now time.Duration, e *site.Engine, servers, leads []backend.Server, r Request, p *Placement) {
	states := make([]state, 0, len(servers))
	leading := make([]state, 0, len(leads))
	unknown := b.unknown(p.Service, now)
	for i, s := range servers {
		st := b.state(now, e, s)
		st.unknown = unknown
		st.order = float64(i) / float64(len(servers))
		states = append(states, st)
		if len(leading) < len(leads) && leads[len(leading)].ID == s.ID {
			leading = append(leading, st) // both are in one order
		}
	}
	value := Value(e, r.Work)
	draw := b.random()
	var best plan
	for k := 1; k <= min(maxHelpers+1, len(states)); k++ {
		if k > 1 && r.Work.Prompt/k < leastPart {
			break
		}
		c := planOver(e, leading, states, k, r, value, draw)
		if k == 1 || c.cost < best.cost {
			best = c
		}
		if k == 1 && r.Apart && best.fits {
			break // so that one server alone can end
		}
		if k == 1 && best.harm == 0 && float64(best.first) < alone*float64(r.Objective) {
			break
		}
	}
	p.Lead, p.First, p.Shares = best.lead.server.ID, best.first, best.shares
	p.Fits = best.fits
	p.Engines = float64(r.Work.Prompt+r.Work.Answer) / float64(room(e))
	p.Spare = max(1-float64(maxHelpers+1)/float64(len(servers)), 0)
	p.Idle = idleRead(e, r.Work.Prompt, len(servers))
	p.Pass = passTime(e, best.lead.running+1, best.lead.context+r.Work.Prompt)
	p.LeadRuns, p.LeadReads = best.lead.running, best.lead.reading
	p.Displaces = (best.harm + displaced(e, states, r)) / (value * kept(best.first, r.Objective))
	p.Part, p.Full = b.part(e, servers, r), full(slotsTaken(states))
	for _, h := range best.helpers {
		p.Helpers = append(p.Helpers, h.server.ID)
	}
}

// planOver returns the best way to read a prompt in k parts, the first of them on
// one of the leads.
func planOver(e *site.Engine, leads, states []state, k int, r Request, value, draw float64) plan {
	part := readTime(e, r.Work.Prompt, k)
	c := plan{lead: leadOf(e, leads, part, r, value, draw)}
	c.harm, c.read = c.lead.loss(c.lead.pause(part)), c.lead.firstRead(part)
	c.cost = c.harm + c.lead.ownCost(e, r, value)
	if k > 1 {
		c = c.help(e, states, k, part, r, value)
	}
	c.first = c.lead.wait() + c.read
	c.cost += c.lead.firstCost(c.read, r.Objective, value)
	return c.fit(e, r, value)
}

// asGood reports whether a draw may choose the engine for one that costs less: it
// is no slower, and doesn't have all its slots taken where that one has a free
// one. A wait for one slot costs a stream less than what counts as near.
func (s state) asGood(best state) bool {
	return s.slow <= best.slow && (s.running < s.server.Slots || best.running >= best.server.Slots)
}

// leadOf chooses, by a draw from 0 to below 1, among the engines that would lead
// a prompt for nearly the least cost, so that hosts that choose at the same
// moment don't all take the same.
func leadOf(e *site.Engine, states []state, part time.Duration, r Request, value, draw float64) state {
	costs := make([]float64, len(states))
	order := make([]int, len(states))
	for i, s := range states {
		order[i] = i
		costs[i] = s.loss(s.pause(part)) + s.ownCost(e, r, value) + s.firstCost(s.firstRead(part), r.Objective, value)
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(costs[i], costs[j]) })
	near := 1
	best := states[order[0]]
	for near < min(nearMost, len(order)) && costs[order[near]] <= costs[order[0]]+nearCost*value &&
		states[order[near]].asGood(best) {
		near++
	}
	return states[order[int(draw*float64(near))]]
}

// help adds the k-1 engines that read parts at the least cost.
func (c plan) help(e *site.Engine, states []state, k int, part time.Duration, r Request, value float64) plan {
	rest := make([]state, 0, len(states))
	costs := make(map[string]float64, len(states))
	for _, s := range states {
		if s.server.ID != c.lead.server.ID && s.helping < s.server.Slots {
			rest = append(rest, s)
			costs[s.server.ID] = s.helpCost(e, part, r, value)
		}
	}
	slices.SortFunc(rest, func(a, b state) int {
		return cmp.Compare(costs[a.server.ID], costs[b.server.ID])
	})
	c.helpers = rest[:min(k-1, len(rest))]
	if len(c.helpers) < k-1 {
		c.cost += fullCost * value
	}
	for _, h := range c.helpers {
		harm := h.loss(h.pause(part))
		c.harm += harm
		c.cost += harm + helperCost*value
		c.read = max(c.read, h.firstRead(part))
	}
	return c
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
	slices.SortFunc(byRoom, func(a, b state) int { return cmp.Compare(a.context, b.context) })
	for _, h := range byRoom {
		free := room(e) - h.context
		if lacking <= 0 || free < leastPart {
			break
		}
		n := min(free, lacking)
		c.shares = append(c.shares, Share{Server: h.server.ID, Tokens: n})
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
