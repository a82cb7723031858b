package schedule

import (
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

// prefillSlack is how far beyond twice its predicted time a prefill counts as under
// way. After that a prompt counts as prefilled although no first token was reported,
// since the report may have been lost.
const prefillSlack = 500 * time.Millisecond

type (
	// state is the predicted state of one engine.
	state struct {
		server       *backend.Server
		stride       int
		slowdown     float64 // ratio of its pass times to the model
		position     float64 // in the service's order of engines, from 0 to 1
		running      int     // requests that it leads
		helping      int     // prompts of other leads that it prefills
		context      int     // tokens of context of all requests, with their whole answers
		answerTokens int     // expected tokens of the answers of running requests
		passTime     time.Duration
		backlog      time.Duration // time for the prompts that are yet to be prefilled
		streams      []stream
		waiters      []waiter
		tightestGap  time.Duration // shortest permitted pause of the streams
		unseen       []float64     // probabilities of 0, 1, 2 .. further placements that aren't known yet
	}

	// waiter is a request of whose prompt the engine has yet to prefill all or a
	// part.
	waiter struct {
		waited, objective time.Duration
		value             float64
		delayCost         float64 // without further requests on the engine
	}

	// stream is a running stream that a pause longer than its gap makes late.
	stream struct {
		gap   time.Duration
		value float64
	}
)

// predictState sets st to the state of an engine predicted from its placements. It
// reuses the memory of st's slices.
func (sc *Scheduler) predictState(st *state, now time.Duration, e *site.Engine, s *backend.Server) {
	*st = state{server: s, stride: max(e.StepsPerPass, 1), waiters: st.waiters[:0], streams: st.streams[:0]}
	if l := sc.byServer[s.ID]; l != nil {
		for _, p := range l.placements {
			st.add(now, e, p)
		}
	}
	st.slowdown = sc.slowdown(s.ID, now)
	st.passTime = time.Duration(st.slowdown * float64(passTime(e, st.running, st.context)))
	st.backlog = time.Duration(st.slowdown * float64(st.backlog))
	for i := range st.waiters {
		w := &st.waiters[i]
		w.delayCost = costOfDelay(w.waited+st.pause(0), w.objective, w.value)
	}
}

// add adds a placement to the state.
func (s *state) add(now time.Duration, e *site.Engine, p *Placement) {
	if !p.Decoding && now-p.PlacedAt < 2*p.FirstToken+prefillSlack {
		s.backlog += prefillTime(e, p.Work.Prompt, len(p.Helpers)+1)
		if p.Objective > 0 {
			// The first token waits for the last part of the prompt, so each
			// engine that prefills a part carries an equal share of the value.
			value := Value(e, p.Work) / float64(len(p.Helpers)+1)
			s.waiters = append(s.waiters, waiter{waited: now - p.PlacedAt, objective: p.Objective, value: value})
		}
	}
	shared := 0
	for _, h := range p.MemoryShares {
		shared += h.Tokens
		if h.Server == s.server.ID {
			s.context += h.Tokens
		}
	}
	if p.Lead != s.server.ID {
		if !p.Decoding {
			s.helping++
		}
		return
	}
	s.running++
	s.answerTokens += p.Work.Answer
	s.context += p.Work.Prompt + p.Work.Answer - shared
	if p.Gap <= 0 {
		return
	}
	s.streams = append(s.streams, stream{p.Gap, Value(e, p.Work)})
	if s.tightestGap == 0 || p.Gap < s.tightestGap {
		s.tightestGap = p.Gap
	}
}

// freeSlots returns the number of slots that no request takes.
func (s *state) freeSlots() int { return max(s.server.Slots-s.running, 0) }

// pause returns how long streams on the engine pause if it prefills its backlog and
// so much more.
func (s *state) pause(prefill time.Duration) time.Duration {
	return s.passTime + s.backlog + time.Duration(s.slowdown*float64(prefill))
}

// timeToPrefill returns the time until the engine has prefilled a further part: on
// average half of the pass under way, and the pause for the part.
func (s *state) timeToPrefill(part time.Duration) time.Duration { return s.passTime/2 + s.pause(part) }

// lostValue returns the value that other requests on the engine lose by a pause:
// streams that pause too long, and first tokens that arrive later.
func (s *state) lostValue(pause time.Duration) float64 {
	var sum float64
	for _, w := range s.waiters {
		sum += costOfDelay(w.waited+pause, w.objective, w.value) - w.delayCost
	}
	for _, t := range s.streams {
		gaps := float64(pause) / float64(t.gap)
		sum += t.value * (lateLoss*missRisk(gaps) + abandonLoss*missRisk(gaps/abandonGaps))
	}
	return sum
}
