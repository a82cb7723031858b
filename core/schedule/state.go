package schedule

import (
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

// readSlack is how much later than twice the predicted time a prompt counts as
// read although its first token was not heard of.
const readSlack = 500 * time.Millisecond

type (
	// state is what is predicted of one engine.
	state struct {
		server   *backend.Server
		stride   int
		slow     float64 // by how much it is slower than the model
		order    float64 // place among the service's engines, 0 to 1
		running  int
		helping  int
		context  int // of all that write or will
		answers  int // tokens that the running ones are to write
		pass     time.Duration
		reading  time.Duration
		streams  []stream
		waiters  []waiter
		tightest time.Duration // shortest pause that a stream here minds
		unknown  []float64     // how likely so many more run that aren't known
	}

	// waiter is a request whose prompt, or a part of it, is yet to be read
	// here.
	waiter struct {
		waited, objective time.Duration
		value             float64
		now               float64 // what its delay costs as it stands
	}

	// stream is one that a pause may make late.
	stream struct {
		gap   time.Duration
		value float64
	}
)

// fill predicts an engine from its placements. It reuses what st has allocated.
func (b *Scheduler) fill(st *state, now time.Duration, e *site.Engine, s *backend.Server) {
	*st = state{server: s, stride: max(e.Stride, 1), waiters: st.waiters[:0], streams: st.streams[:0]}
	if l := b.byServer[s.ID]; l != nil {
		for _, p := range l.placements {
			st.add(now, e, p)
		}
	}
	st.slow = b.slowness(s.ID, now)
	st.pass = time.Duration(st.slow * float64(passTime(e, st.running, st.context)))
	st.reading = time.Duration(st.slow * float64(st.reading))
	for i := range st.waiters {
		w := &st.waiters[i]
		w.now = delay(w.waited+st.pause(0), w.objective, w.value)
	}
}

// add counts a placement.
func (s *state) add(now time.Duration, e *site.Engine, p *Placement) {
	if !p.writing && now-p.PlacedAt < 2*p.FirstToken+readSlack {
		s.reading += readTime(e, p.Work.Prompt, len(p.Helpers)+1)
		if p.Objective > 0 {
			// Its first token waits for the last of its parts, so each part
			// stands for its share of the harm.
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
		if !p.writing {
			s.helping++
		}
		return
	}
	s.running++
	s.answers += p.Work.Answer
	s.context += p.Work.Prompt + p.Work.Answer - shared
	if p.Gap <= 0 {
		return
	}
	s.streams = append(s.streams, stream{p.Gap, Value(e, p.Work)})
	if s.tightest == 0 || p.Gap < s.tightest {
		s.tightest = p.Gap
	}
}

// pause is how long streams on the engine stand still if so much more is
// read.
func (s *state) pause(part time.Duration) time.Duration {
	return s.pass + s.reading + time.Duration(s.slow*float64(part))
}

// firstRead is how long it takes until a part is read: what is left of the
// pass under way, and the next one.
func (s *state) firstRead(part time.Duration) time.Duration { return s.pass/2 + s.pause(part) }

// loss is the value that others on the engine lose by such a pause: streams
// that stand still too long, and first tokens that come later.
func (s *state) loss(pause time.Duration) float64 {
	var sum float64
	for _, w := range s.waiters {
		sum += delay(w.waited+pause, w.objective, w.value) - w.now
	}
	for _, t := range s.streams {
		gaps := float64(pause) / float64(t.gap)
		sum += t.value * (lateShare*risk(gaps) + leftValue*risk(gaps/leftGaps))
	}
	return sum
}
