package schedule

import (
	"cmp"
	"slices"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

const (
	// minPartTokens is the smallest part of a prompt that is worth a helper: its
	// prefill takes about as long as a pass of a few steps.
	minPartTokens = 800
	// soloObjectiveFraction is the fraction of its objective within which a prompt
	// is prefilled by one engine alone, although helpers would be faster: a helper
	// that can't be reached would fail the request for no benefit.
	soloObjectiveFraction = 0.5
)

type (
	// plan is a way to place a request.
	plan struct {
		lead         *state
		helpers      []*state
		memoryShares []MemoryShare
		fits         bool
		cost         float64
		harm         float64       // the part of the cost that falls on other requests
		prefill      time.Duration // until all parts are prefilled, without waits for slots
		firstToken   time.Duration
	}

	// choice is a request and the engines that may run it.
	choice struct {
		engine        *site.Engine
		request       Request
		value         float64
		random        float64 // in [0, 1)
		states        []*state
		leadStates    []*state // of engines that may lead
		locality      float64  // how much the own hall is preferred, from 0 to 1
		openFirst     bool     // the first stream as sensitive as this may open an engine of the own hall
		spread        bool     // the lead is drawn from as many engines as have slotsToSpread free slots
		slotsToSpread float64  // ten for each placement that isn't known yet
		knowsLittle   bool     // most of what runs on the engines is unknown
		scratch       *scratch
	}

	// scratch is working memory that is reused from one choice to the next. Each
	// choice would allocate 32 to 360 kB for 60 engines, which keeps the garbage
	// collector of a host with a fifth of a core busy. The scheduler's lock guards it.
	scratch struct {
		available, backingOff []*backend.Server
		pool                  []state
		states                []*state
		leadStates            []*state
		candidates            []candidate
		helpers, drawn        []*state
		workspaceTimes        workspaceTimes
		probabilities         []float64
	}

	// candidate is an engine with the cost of its choice.
	candidate struct {
		cost  float64
		state *state
	}
)

// choose sets the servers and predictions of p to the plan with the least cost that
// is led by one of the leads.
func (sc *Scheduler) choose(now time.Duration, e *site.Engine, servers, leads []*backend.Server, r Request, p *Placement) {
	c := choice{engine: e, request: r, value: Value(e, r.Work), random: sc.random(), spread: sc.policy.spread, knowsLittle: sc.knowsLittle(), scratch: &sc.scratch}
	sc.predictStates(&c, now, servers, leads, p.Service)
	best := c.best()
	p.Lead, p.FirstToken, p.MemoryShares = best.lead.server.ID, best.firstToken, best.memoryShares
	p.Fits = best.fits
	p.SlotsUsed = c.slotUse()
	p.LateRisk = best.lead.slotWaitRisk(r.Objective - r.Waited - best.prefill)
	p.EnginesFilled = float64(r.Work.Prompt+r.Work.Answer) / float64(usableMemory(e))
	p.SpareFraction = max(1-float64(maxHelpers+1)/float64(len(servers)), 0)
	p.IdleFirstToken = idlePrefillTime(e, r.Work.Prompt, len(servers))
	p.PassTime = passTime(e, best.lead.running+1, best.lead.context+r.Work.Prompt)
	p.LeadRunning, p.LeadBacklog = best.lead.running, best.lead.backlog
	p.DisplacedRatio = (best.harm + sc.displacedValue(e, c.states, r, p.Service)) / (c.value * retainedValue(best.firstToken, r.Objective))
	p.Share, p.SlotScarcity = sc.workspaceShare(e, servers, r), slotScarcity(slotUtilization(c.states))
	for _, h := range best.helpers {
		p.Helpers = append(p.Helpers, h.server.ID)
	}
}

// predictStates fills in the engines' states of a choice.
func (sc *Scheduler) predictStates(c *choice, now time.Duration, servers, leads []*backend.Server, service string) {
	s := &sc.scratch
	if len(s.pool) < len(servers) {
		s.pool = make([]state, len(servers))
	}
	s.states, s.leadStates = s.states[:0], s.leadStates[:0]
	first := 0 // in the order of engines
	if c.knowsLittle {
		first = int(sc.random() * float64(len(servers))) // independent of the draw of the lead
	}
	for i, server := range servers {
		st := &s.pool[i]
		sc.predictState(st, now, c.engine, server)
		st.position = float64((i+first)%len(servers)) / float64(len(servers))
		s.states = append(s.states, st)
		if len(s.leadStates) < len(leads) && leads[len(s.leadStates)].ID == server.ID {
			s.leadStates = append(s.leadStates, st) // leads and servers are in the same order
		}
	}
	c.states, c.leadStates = s.states, s.leadStates
	sc.expectUnseen(c, service, now)
	c.locality = ramp(minIdleFraction, localIdleFraction, idleFraction(c.states))
	c.openFirst = c.locality > 0 && c.mayOpenFirst()
}

// remoteCost returns the cost of an engine in another hall.
func (c *choice) remoteCost(s *state) float64 {
	if s.server.Hall == c.request.Hall {
		return 0
	}
	return c.locality * otherHallCost * c.value
}

// hallCost returns the cost of the hall of a lead. The first engine for sensitive streams in
// the own hall costs nothing if there is one elsewhere, which the stream would join instead.
func (c *choice) hallCost(s *state) float64 {
	if s.server.Hall != c.request.Hall || !c.openFirst {
		return c.remoteCost(s)
	}
	return -c.locality * s.firstSensitiveCost(c.engine, c.request) * c.value
}

// mayOpenFirst reports whether engines of other halls take further streams as sensitive as
// the request at no cost for being the first, and none of the own hall does.
func (c *choice) mayOpenFirst() bool {
	elsewhere := false
	for _, s := range c.states {
		if s.running >= s.server.Slots || s.firstSensitiveCost(c.engine, c.request) > 0 {
			continue
		}
		if s.server.Hall == c.request.Hall {
			return false
		}
		elsewhere = true
	}
	return elsewhere
}

// idleFraction returns the fraction of the engines on which nothing runs.
func idleFraction(states []*state) float64 {
	idle := 0
	for _, s := range states {
		if s.running+s.helping == 0 {
			idle++
		}
	}
	return float64(idle) / float64(max(len(states), 1))
}

// best returns the plan with the least cost.
func (c *choice) best() plan {
	var best plan
	r := c.request
	for k := 1; k <= min(maxHelpers+1, len(c.states)); k++ {
		if k > 1 && r.Work.Prompt/k < minPartTokens {
			break
		}
		p := c.planParts(k)
		if k == 1 || p.cost < best.cost {
			best = p
			best.helpers = slices.Clone(p.helpers) // the next plan reuses the memory
		}
		if k == 1 && r.Isolated && best.fits {
			break // without helpers, the request can crash only one server
		}
		if k == 1 && best.harm == 0 && float64(best.firstToken) < soloObjectiveFraction*float64(r.Objective) {
			break
		}
	}
	return best
}

// planParts returns the best plan that prefills the prompt in k parts, the first of
// them on one of the leads.
func (c *choice) planParts(k int) plan {
	part := prefillTime(c.engine, c.request.Work.Prompt, k)
	p := plan{lead: c.pickLead(part)}
	p.harm, p.prefill = p.lead.lostValue(p.lead.pause(part)), p.lead.timeToPrefill(part)
	p.cost = p.harm + p.lead.leadCost(c.engine, c.request, c.value) + c.hallCost(p.lead)
	if k > 1 {
		c.addHelpers(&p, k, part)
	}
	p.firstToken = p.lead.slotWait() + p.prefill
	p.cost += p.lead.firstTokenCost(p.prefill, c.request.Objective, c.value)
	return p.reserveMemory(c.engine, c.request, c.value)
}

// mayReplace reports whether the engine may be drawn as lead in place of a cheaper
// one: it is no slower, and if it has no free slot, neither has the cheaper one. The
// cost of waiting for one slot is less than leadMargin, so that the margin alone
// doesn't exclude full engines.
func (s *state) mayReplace(cheaper *state) bool {
	return s.slowdown <= cheaper.slowdown && (s.running < s.server.Slots || cheaper.running >= cheaper.server.Slots)
}

// pickLead draws the lead from the engines that would lead the prompt for nearly the
// least cost, so that hosts that choose at the same moment don't all take the same
// engine. Where placements are spread, it draws from enough engines that few of the
// placements made at the same moment meet.
func (c *choice) pickLead(part time.Duration) *state {
	limit := maxLeadDraw
	if c.spread {
		limit = len(c.leadStates)
	}
	candidates := c.scratch.candidates[:0]
	for _, s := range c.leadStates {
		cost := s.lostValue(s.pause(part)) + s.leadCost(c.engine, c.request, c.value) + c.hallCost(s) +
			s.firstTokenCost(s.timeToPrefill(part), c.request.Objective, c.value)
		candidates = insertCandidate(candidates, candidate{cost, s}, limit)
	}
	c.scratch.candidates = candidates
	near := min(c.countNear(candidates, leadMargin), maxLeadDraw)
	if c.spread && freeSlots(candidates[:near]) < c.slotsToSpread {
		margin := spreadMargin
		if c.knowsLittle {
			margin = unknownMargin
		}
		if s := c.drawSpread(candidates[:c.countNear(candidates, margin)]); s != nil {
			return s
		}
	}
	return candidates[int(c.random*float64(near))].state
}

// countNear returns how many of the candidates, which are sorted by cost, cost at most margin
// more than the first, as a fraction of the request's value, and may replace it.
func (c *choice) countNear(candidates []candidate, margin float64) int {
	n := 1
	for n < len(candidates) && candidates[n].cost <= candidates[0].cost+margin*c.value && candidates[n].state.mayReplace(candidates[0].state) {
		n++
	}
	return n
}

// drawSpread draws the lead by free slots from the cheapest candidates that have as many of them
// as the placements made at the same moment need, or returns nil if none has any.
func (c *choice) drawSpread(candidates []candidate) *state {
	drawn := c.scratch.drawn[:0]
	for free := 0.0; len(drawn) < len(candidates) && free < c.slotsToSpread; {
		s := candidates[len(drawn)].state
		drawn = append(drawn, s)
		free += float64(s.freeSlots())
	}
	c.scratch.drawn = drawn
	return drawByFreeSlots(drawn, c.random)
}

// freeSlots returns the number of free slots of all candidates.
func freeSlots(candidates []candidate) float64 {
	free := 0
	for _, o := range candidates {
		free += o.state.freeSlots()
	}
	return float64(free)
}

// drawByFreeSlots draws one of the engines with a probability in proportion to its free
// slots, or returns nil if none has any. random is in [0, 1).
func drawByFreeSlots(states []*state, random float64) *state {
	free := 0
	for _, s := range states {
		free += s.freeSlots()
	}
	drawn := int(random * float64(free))
	for _, s := range states {
		if drawn < s.freeSlots() {
			return s
		}
		drawn -= s.freeSlots()
	}
	return nil
}

// addHelpers adds the k-1 engines with the least cost as helpers to a plan, each for
// a part that takes the given prefill time.
func (c *choice) addHelpers(p *plan, k int, part time.Duration) {
	candidates := c.scratch.candidates[:0]
	for _, s := range c.states {
		if s != p.lead && s.helping < s.server.Slots && !c.request.LeadOnly[s.server.ID] {
			candidates = insertCandidate(candidates, candidate{s.costAsHelper(c.engine, part, c.request, c.value) + c.remoteCost(s), s}, k-1)
		}
	}
	c.scratch.candidates = candidates
	if len(candidates) < k-1 {
		p.cost += unavailableCost * c.value
	}
	p.helpers = c.scratch.helpers[:0]
	for _, h := range candidates {
		s := h.state
		harm := s.lostValue(s.pause(part))
		p.harm += harm
		p.cost += harm + helperCost*c.value
		p.prefill = max(p.prefill, s.timeToPrefill(part))
		p.helpers = append(p.helpers, s)
	}
	c.scratch.helpers = p.helpers
}

// insertCandidate inserts a candidate into a list sorted by cost, behind others of
// equal cost, and keeps at most limit of them.
func insertCandidate(candidates []candidate, added candidate, limit int) []candidate {
	i := len(candidates)
	for i > 0 && added.cost < candidates[i-1].cost {
		i--
	}
	if i == limit {
		return candidates
	}
	if len(candidates) == limit {
		candidates = candidates[:limit-1]
	}
	return slices.Insert(candidates, i, added)
}

// reserveMemory returns the plan with memory reserved on helpers for the tokens that
// don't fit into the lead's memory.
func (c plan) reserveMemory(e *site.Engine, r Request, value float64) plan {
	missing := c.lead.context + r.Work.Prompt + r.Work.Answer - usableMemory(e)
	if missing <= 0 {
		c.fits = true
		return c
	}
	missing = min(missing, r.Work.Prompt)
	byFreeMemory := slices.Clone(c.helpers)
	slices.SortFunc(byFreeMemory, func(a, b *state) int { return cmp.Compare(a.context, b.context) })
	for _, h := range byFreeMemory {
		free := usableMemory(e) - h.context
		if missing <= 0 || free < minPartTokens {
			break
		}
		n := min(free, missing)
		c.memoryShares = append(c.memoryShares, MemoryShare{Server: h.server.ID, Tokens: n})
		missing -= n
	}
	if c.fits = missing <= 0; !c.fits {
		c.memoryShares = nil
		c.cost += unavailableCost * value
	}
	return c
}

// usableMemory returns the part of an engine's memory that placements use, in
// tokens. The rest is a reserve, since the lengths of answers are estimates.
func usableMemory(e *site.Engine) int { return int(float64(e.Memory) * usableMemoryFraction) }

const usableMemoryFraction = 0.92
