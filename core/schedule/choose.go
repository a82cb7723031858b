package schedule

import (
	"cmp"
	"slices"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

// state is what is predicted of one engine.
type state struct {
	server  backend.Server
	running int
	writers int
	context int
	pass    time.Duration // of a pass, reading left out
	reading time.Duration // of prompts that were placed and not yet read
	harmed  []harm        // streams by the pause that they bear, least first
}

// harm is a stream and the pause that makes it late.
type harm struct {
	gap   time.Duration
	value float64
}

// choose fills in the way to place r that costs least.
func (b *Board) choose(now time.Duration, e *site.Engine, servers []backend.Server, r Request, p *Placement) {
	states := make([]state, 0, len(servers))
	for _, s := range servers {
		states = append(states, b.state(now, e, s, r.Hall))
	}
	worth := Value(e, r.Work)
	lowest := -1.0
	for k := 1; k <= min(maxHelpers+1, len(states)); k++ {
		part := readTime(e, r.Work.Prompt, k)
		if k > 1 && r.Work.Prompt/k < leastPart {
			break
		}
		ranked := rank(states, part)
		cost, first := costOf(e, ranked[:k], part, r, worth)
		if lowest < 0 || cost < lowest {
			lowest = cost
			p.First = first
			p.Lead, p.Helpers = lead(ranked[:k])
		}
	}
}

// leastPart is the smallest part of a prompt that is worth a helper: its
// reading takes about as long as a pass of a few steps.
const leastPart = 800

func lead(states []state) (string, []string) {
	best := 0
	for i, s := range states {
		if s.running < states[best].running {
			best = i
		}
	}
	var helpers []string
	for i, s := range states {
		if i != best {
			helpers = append(helpers, s.server.ID)
		}
	}
	return states[best].server.ID, helpers
}

// rank sorts engines by what a part of so much reading would cost there.
func rank(states []state, part time.Duration) []state {
	out := slices.Clone(states)
	costs := make(map[string]float64, len(out))
	for _, s := range out {
		costs[s.server.ID] = s.loss(s.pause(part)) + (s.reading + s.pass).Seconds() + float64(s.running)*runningCost
	}
	slices.SortStableFunc(out, func(a, b state) int {
		return cmp.Compare(costs[a.server.ID], costs[b.server.ID])
	})
	return out
}

// runningCost spreads streams over engines where nothing else decides.
const runningCost = 0.002

// costOf returns what the streams on these engines lose and what the request
// itself does, and when its first token would come.
func costOf(e *site.Engine, states []state, part time.Duration, r Request, worth float64) (float64, time.Duration) {
	var cost float64
	var first time.Duration
	for _, s := range states {
		cost += s.loss(s.pause(part))
		first = max(first, s.pass/2+s.pause(part))
	}
	if first > r.Objective {
		cost += worth * lateShare
	}
	return cost + worth*delayCost*first.Seconds()/max(r.Objective.Seconds(), 0.1), first
}

// delayCost is what a first token at the objective loses by being no earlier:
// predictions err, and every early one leaves more room.
const delayCost = 0.3

// pause is how long streams on the engine stand still if so much more is read.
func (s state) pause(part time.Duration) time.Duration { return s.pass + s.reading + part }

// loss is the value of the streams that such a pause makes late.
func (s state) loss(pause time.Duration) float64 {
	var sum float64
	for _, h := range s.harmed {
		if pause > h.gap {
			sum += h.value * lateShare
		} else if pause > h.gap*3/4 {
			// Near the bound the prediction decides nothing.
			sum += h.value * lateShare * 4 * (float64(pause)/float64(h.gap) - 0.75)
		}
	}
	return sum
}

// state predicts an engine from its placements.
func (b *Board) state(now time.Duration, e *site.Engine, s backend.Server, hall string) state {
	st := state{server: s}
	l := b.byServer[s.ID]
	if l != nil {
		for _, p := range l.placements {
			st.add(now, e, s.ID, p)
		}
	}
	st.pass = passTime(e, st.writers, st.context)
	return st
}

func (st *state) add(now time.Duration, e *site.Engine, server string, p *Placement) {
	if p.Lead != server {
		if !p.writing && now-p.Begun < 2*p.First {
			st.reading += readTime(e, p.Work.Prompt, len(p.Helpers)+1)
		}
		return
	}
	st.running++
	if !p.writing {
		st.reading += readTime(e, p.Work.Prompt, len(p.Helpers)+1)
	}
	st.writers++
	st.context += p.Work.Prompt + p.Work.Answer/2
	st.harmed = append(st.harmed, harm{p.Gap, Value(e, p.Work)})
}
