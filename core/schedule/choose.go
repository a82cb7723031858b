package schedule

import (
	"cmp"
	"slices"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

// Weights of the choice, each a part of the value of the request or stream
// that it falls on. They were found on the users' bench; docs/MEASUREMENTS.md
// has the rounds.
const (
	// lateShare is what a late answer, or a stream with too long a pause,
	// loses.
	lateShare = 0.75
	// nearBound is the part of a bound from which on a prediction counts
	// towards its loss, growing to the whole at the bound: predictions err.
	nearBound = 0.7
	// delayCost is for a first token at the objective beside one at once.
	delayCost = 0.3
	// openCost is for the first stream on an engine without any as sensitive
	// to pauses. It keeps such streams together, so that long prompts find
	// engines where nobody minds.
	openCost = 0.35
	// orderCost puts the engines of a service in one order that all hosts
	// share, over the whole service.
	orderCost = 0.05
	// helperCost is for each helper: one that goes costs the whole request.
	helperCost = 0.002
	// fullCost is for a lead whose slots or memory are taken.
	fullCost = 2
)

// leastPart is the smallest part of a prompt that is worth a helper: its
// reading takes about as long as a few steps.
const leastPart = 800

type (
	// state is what is predicted of one engine.
	state struct {
		server   backend.Server
		order    float64 // place among the service's engines, 0 to 1
		running  int
		helping  int
		context  int // of all that write or will
		pass     time.Duration
		reading  time.Duration
		streams  []stream
		tightest time.Duration // shortest pause that a stream here minds
	}

	// stream is one that a pause may make late.
	stream struct {
		gap   time.Duration
		value float64
	}

	// plan is a way to place a request.
	plan struct {
		lead    state
		helpers []state
		cost    float64
		first   time.Duration
	}
)

// choose fills in the way to place r that costs least.
func (b *Board) choose(now time.Duration, e *site.Engine, servers []backend.Server, r Request, p *Placement) {
	states := make([]state, 0, len(servers))
	for i, s := range servers {
		st := b.state(now, e, s)
		st.order = float64(i) / float64(len(servers))
		states = append(states, st)
	}
	value := Value(e, r.Work)
	var best plan
	for k := 1; k <= min(maxHelpers+1, len(states)); k++ {
		if k > 1 && r.Work.Prompt/k < leastPart {
			break
		}
		c := planOver(e, states, k, r, value)
		if k == 1 || c.cost < best.cost {
			best = c
		}
	}
	p.Lead, p.First = best.lead.server.ID, best.first
	for _, h := range best.helpers {
		p.Helpers = append(p.Helpers, h.server.ID)
	}
}

// planOver returns the best way to read a prompt in k parts.
func planOver(e *site.Engine, states []state, k int, r Request, value float64) plan {
	part := readTime(e, r.Work.Prompt, k)
	leads := slices.MinFunc(states, func(a, b state) int {
		return cmp.Compare(a.leadCost(e, part, r, value), b.leadCost(e, part, r, value))
	})
	c := plan{lead: leads, cost: leads.leadCost(e, part, r, value), first: leads.first(part)}
	if k == 1 {
		return c
	}
	rest := make([]state, 0, len(states))
	for _, s := range states {
		if s.server.ID != leads.server.ID && s.helping < s.server.Slots {
			rest = append(rest, s)
		}
	}
	costs := make(map[string]float64, len(rest))
	for _, s := range rest {
		costs[s.server.ID] = s.helpCost(part, r, value)
	}
	slices.SortFunc(rest, func(a, b state) int {
		return cmp.Compare(costs[a.server.ID], costs[b.server.ID])
	})
	c.helpers = rest[:min(k-1, len(rest))]
	if len(c.helpers) < k-1 {
		c.cost += fullCost * value
	}
	for _, h := range c.helpers {
		c.cost += h.loss(h.pause(part)) + helperCost*value
		if f := h.first(part); f > c.first {
			c.cost += delay(f, r.Objective, value) - delay(c.first, r.Objective, value)
			c.first = f
		}
	}
	return c
}

// leadCost is what it costs that the engine leads a request.
func (s state) leadCost(e *site.Engine, part time.Duration, r Request, value float64) float64 {
	cost := s.loss(s.pause(part)) + delay(s.first(part), r.Objective, value)
	if s.running >= s.server.Slots || s.context+r.Work.Prompt+r.Work.Answer > e.Memory {
		cost += fullCost * value
	}
	if s.tightest == 0 || s.tightest > r.Gap {
		cost += openCost * value
	}
	return cost + s.place(r)*value
}

// helpCost ranks an engine as a helper.
func (s state) helpCost(part time.Duration, r Request, value float64) float64 {
	return s.loss(s.pause(part)) + delay(s.first(part), r.Objective, value) + s.place(r)*value
}

// place is the cost of the engine's place in the order. Long prompts take it
// from the other end.
func (s state) place(r Request) float64 {
	if r.Gap > shortGap {
		return (1 - s.order) * orderCost
	}
	return s.order * orderCost
}

// shortGap is the longest pause that streams mind whose callers wait at a
// counter.
const shortGap = 400 * time.Millisecond

// delay is what a first token after so long costs.
func delay(first, objective time.Duration, value float64) float64 {
	if objective <= 0 {
		return value * (lateShare + delayCost*first.Seconds())
	}
	f := float64(first) / float64(objective)
	return value * (delayCost*f + lateShare*risk(f))
}

// risk is how likely a bound is missed at a prediction of so much of it.
func risk(part float64) float64 {
	return min(max((part-nearBound)/(1-nearBound), 0), 1)
}

// pause is how long streams on the engine stand still if so much more is
// read.
func (s state) pause(part time.Duration) time.Duration { return s.pass + s.reading + part }

// first is how long the first token takes: what is left of the pass under
// way, and the next one.
func (s state) first(part time.Duration) time.Duration { return s.pass/2 + s.pause(part) }

// loss is the value that the engine's streams lose by such a pause.
func (s state) loss(pause time.Duration) float64 {
	var sum float64
	for _, t := range s.streams {
		sum += t.value * lateShare * risk(float64(pause)/float64(t.gap))
	}
	return sum
}

// state predicts an engine from its placements.
func (b *Board) state(now time.Duration, e *site.Engine, s backend.Server) state {
	st := state{server: s}
	if l := b.byServer[s.ID]; l != nil {
		for _, p := range l.placements {
			st.add(now, e, p)
		}
	}
	st.pass = passTime(e, st.running, st.context)
	return st
}

func (st *state) add(now time.Duration, e *site.Engine, p *Placement) {
	if !p.writing && now-p.Begun < 2*p.First+st.reading {
		st.reading += readTime(e, p.Work.Prompt, len(p.Helpers)+1)
	}
	if p.Lead != st.server.ID {
		if !p.writing {
			st.helping++
		}
		return
	}
	st.running++
	st.context += p.Work.Prompt + p.Work.Answer
	if p.Gap <= 0 {
		return
	}
	st.streams = append(st.streams, stream{p.Gap, Value(e, p.Work)})
	if st.tightest == 0 || p.Gap < st.tightest {
		st.tightest = p.Gap
	}
}
