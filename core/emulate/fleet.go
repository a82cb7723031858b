package emulate

import (
	"fmt"
	"slices"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

const serviceName = "model"

type (
	// request is one on its way through the model.
	request struct {
		load           Load
		workspace      string
		work           schedule.Work
		arrived, comes time.Duration // first, and now
		back           bool          // it was refused before
		placed         schedule.Placement
		parts          int // yet to be read
		left           int // tokens yet to be written
		wrote          time.Duration
		late, done     bool
	}

	// part is what one engine reads of a prompt.
	part struct {
		of   *request
		left time.Duration
	}

	// member is one engine.
	member struct {
		reads  []*part
		writes []*request
		next   time.Duration // end of the pass under way
	}

	// fleet is all engines.
	fleet struct {
		engine  site.Engine
		board   *schedule.Scheduler
		members map[string]*member
		now     time.Duration
	}
)

func newFleet(e site.Engine, b *schedule.Scheduler) *fleet {
	return &fleet{engine: e, board: b, members: map[string]*member{}}
}

// servers adds engines and returns them as the scheduler knows them.
func (f *fleet) servers(n int) []backend.Server {
	var ss []backend.Server
	for i := range n {
		id := fmt.Sprintf("s%03d", i)
		f.members[id] = &member{}
		ss = append(ss, backend.Server{ID: id, Service: serviceName, Slots: f.engine.Slots})
	}
	return ss
}

// begin gives a placed request to its engines.
func (f *fleet) begin(r *request, p schedule.Placement) {
	k := len(p.Helpers) + 1
	r.placed, r.parts, r.left = p, k, r.work.Answer
	for _, id := range append([]string{p.Lead}, p.Helpers...) {
		m := f.members[id]
		m.reads = append(m.reads, &part{r, f.readTime(r.work.Prompt) / time.Duration(k)})
	}
}

// readTime is how long one engine reads a prompt, by the published model.
func (f *fleet) readTime(tokens int) time.Duration {
	pairs := float64(tokens) * float64(tokens) / 2e6
	s := float64(tokens)/f.engine.ReadRate + pairs*f.engine.PerPairs.Seconds()
	return time.Duration(s * float64(time.Second))
}

// run lets all engines work until a time.
func (f *fleet) run(servers []backend.Server, until time.Duration) {
	for _, s := range servers {
		m := f.members[s.ID]
		for m.next <= until {
			now := m.next
			m.next += f.write(m, now) + f.read(m)
		}
	}
	f.now = until
}

// write ends a pass: those that write get their tokens. It returns how long the
// next one takes without what is read in it.
func (f *fleet) write(m *member, now time.Duration) time.Duration {
	writers := m.writes[:min(len(m.writes), f.engine.Slots)]
	context := 0
	for _, r := range writers {
		context += r.work.Prompt
		f.step(r, now)
	}
	step := f.engine.Step + time.Duration(len(writers))*f.engine.PerWriter + time.Duration(context/1000)*f.engine.PerContext
	took := time.Duration(f.steps(m)) * step
	m.writes = slices.DeleteFunc(m.writes, func(r *request) bool { return r.done })
	return took
}

// steps is how many steps a pass has: a stride while any request writes.
func (f *fleet) steps(m *member) int {
	if len(m.writes) == 0 {
		return 1
	}
	return max(f.engine.Stride, 1)
}

// step gives a request the tokens of one pass.
func (f *fleet) step(r *request, now time.Duration) {
	if r.wrote == 0 {
		f.board.RecordStart(r.placed.ID, now)
		r.late = now-r.arrived > r.load.Objective
	} else {
		r.late = r.late || now-r.wrote > r.load.Gap
	}
	r.wrote, r.left = now, r.left-max(f.engine.Stride, 1)
	if r.left <= 0 {
		r.done = true
		f.board.RecordEnd(r.placed.ID)
	}
}

// read takes in as much as one pass reads, and returns how long that is.
func (f *fleet) read(m *member) time.Duration {
	room := time.Duration(float64(f.steps(m)*f.engine.Chunk) / f.engine.ReadRate * float64(time.Second))
	var took time.Duration
	for len(m.reads) > 0 && room > 0 {
		p := m.reads[0]
		n := min(p.left, room)
		p.left, room, took = p.left-n, room-n, took+n
		if p.left > 0 {
			break
		}
		m.reads = m.reads[1:]
		if p.of.parts--; p.of.parts == 0 {
			lead := f.members[p.of.placed.Lead]
			lead.writes = append(lead.writes, p.of)
		}
	}
	return took
}
