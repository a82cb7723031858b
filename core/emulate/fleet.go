package emulate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/demand"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

const serviceName = "model"

type (
	// request is a request on its way through the simulation.
	request struct {
		load             Load
		workspace        string
		work             schedule.Work
		arrived, attempt time.Duration // times of the first and of the latest attempt
		retried          bool          // the first attempt was refused
		host             *host         // that placed it
		placement        schedule.Placement
		partsLeft        int           // parts of the prompt yet to be prefilled
		tokensLeft       int           // tokens of the answer yet to be decoded
		lastTokens       time.Duration // end of the last pass that decoded for it
		late, done       bool
	}

	// part is the part of a prompt that one engine prefills.
	part struct {
		request *request
		left    time.Duration
	}

	// engineState is the state of one engine.
	engineState struct {
		prefilling []*part
		decoding   []*request
		passEnd    time.Duration // of the pass under way
	}

	// fleet is all engines of a simulation, and the hosts that place requests on them.
	fleet struct {
		engine    site.Engine
		hosts     []*host
		newsDelay time.Duration
		news      []report // on the way to other hosts
		engines   map[string]*engineState
		now       time.Duration
		counted   bool
		ledger    *demand.Ledger
	}

	// host is a host with its own knowledge of the placements.
	host struct {
		scheduler *schedule.Scheduler
	}

	// report is a change of a placement on its way from one host to all others.
	report struct {
		from  *host
		at    time.Duration // of its arrival
		apply func(*schedule.Scheduler, time.Duration)
	}
)

func newFleet(e site.Engine, newsDelay time.Duration) *fleet {
	return &fleet{engine: e, newsDelay: newsDelay, engines: map[string]*engineState{}, ledger: demand.NewLedger()}
}

// broadcast reports a change at a time to all hosts but one, which knows of it.
func (f *fleet) broadcast(from *host, at time.Duration, apply func(*schedule.Scheduler, time.Duration)) {
	if len(f.hosts) > 1 {
		f.news = append(f.news, report{from, at + f.newsDelay, apply})
	}
}

// deliver applies the reports that arrive until a time, in the order of their arrival.
func (f *fleet) deliver(until time.Duration) {
	slices.SortStableFunc(f.news, func(a, b report) int { return cmp.Compare(a.at, b.at) })
	n := 0
	for ; n < len(f.news) && f.news[n].at <= until; n++ {
		r := f.news[n]
		for _, h := range f.hosts {
			if h != r.from {
				r.apply(h.scheduler, r.at)
			}
		}
	}
	f.news = f.news[n:]
}

// served returns the fractions of admitted requests from the view of a request, if they are
// counted and known.
func (f *fleet) served(r *request) demand.Shares {
	if s, ok := f.ledger.Shares(serviceName, r.load.Priority, r.attempt); ok && f.counted {
		return s
	}
	return demand.Shares{}
}

// countAdmitted counts an admitted request. One that returns was counted as asked for before.
func (f *fleet) countAdmitted(r *request) {
	count := f.ledger.Admit
	if r.retried {
		count = f.ledger.AdmitReturning
	}
	count(serviceName, r.load.Priority, demand.Work{}, r.attempt)
}

// countRefused counts a request that is refused for the first time.
func (f *fleet) countRefused(r *request) {
	if !r.retried {
		f.ledger.Refuse(demand.Refusal{Service: serviceName, Priority: r.load.Priority}, r.attempt)
	}
}

// servers adds engines to the fleet and returns them as servers for the scheduler.
func (f *fleet) servers(n int) []backend.Server {
	var ss []backend.Server
	for i := range n {
		id := fmt.Sprintf("s%03d", i)
		f.engines[id] = &engineState{}
		ss = append(ss, backend.Server{ID: id, Service: serviceName, Slots: f.engine.Slots})
	}
	return ss
}

// start queues a placed request on its engines.
func (f *fleet) start(r *request, h *host, p schedule.Placement) {
	k := len(p.Helpers) + 1
	r.host, r.placement, r.partsLeft, r.tokensLeft = h, p, k, r.work.Answer
	f.broadcast(h, r.attempt, func(sc *schedule.Scheduler, at time.Duration) {
		p.PlacedAt = at
		sc.AddRemote(p)
	})
	for _, id := range append([]string{p.Lead}, p.Helpers...) {
		e := f.engines[id]
		e.prefilling = append(e.prefilling, &part{r, f.prefillTime(r.work.Prompt) / time.Duration(k)})
	}
}

// prefillTime returns how long one engine takes to prefill a prompt, by the
// published model.
func (f *fleet) prefillTime(tokens int) time.Duration {
	pairs := float64(tokens) * float64(tokens) / 2e6
	s := float64(tokens)/f.engine.PrefillRate + pairs*f.engine.PrefillTimePerPairs.Seconds()
	return time.Duration(s * float64(time.Second))
}

// run advances all engines to a time.
func (f *fleet) run(servers []backend.Server, until time.Duration) {
	for _, s := range servers {
		e := f.engines[s.ID]
		for e.passEnd <= until {
			now := e.passEnd
			e.passEnd += f.decode(e, now) + f.prefill(e)
		}
	}
	f.now = until
	f.deliver(until)
}

// decode ends a pass: requests that are decoding get their tokens. It returns the
// duration of the next pass without the prefill in it.
func (f *fleet) decode(e *engineState, now time.Duration) time.Duration {
	decoding := e.decoding[:min(len(e.decoding), f.engine.Slots)]
	context := 0
	for _, r := range decoding {
		context += r.work.Prompt
		f.addTokens(r, now)
	}
	step := f.engine.StepTime + time.Duration(len(decoding))*f.engine.StepTimePerRequest + time.Duration(context/1000)*f.engine.StepTimePerContext
	took := time.Duration(f.steps(e)) * step
	e.decoding = slices.DeleteFunc(e.decoding, func(r *request) bool { return r.done })
	return took
}

// steps returns the number of steps of a pass: the stride while any request is
// decoding, and one otherwise.
func (f *fleet) steps(e *engineState) int {
	if len(e.decoding) == 0 {
		return 1
	}
	return max(f.engine.StepsPerPass, 1)
}

// addTokens adds the tokens of one pass to the answer of a request.
func (f *fleet) addTokens(r *request, now time.Duration) {
	if r.lastTokens == 0 {
		r.host.scheduler.RecordStart(r.placement.ID, now)
		f.broadcast(r.host, now, func(sc *schedule.Scheduler, at time.Duration) { sc.RecordStart(r.placement.ID, at) })
		r.late = now-r.arrived > r.load.Objective
	} else {
		r.late = r.late || now-r.lastTokens > r.load.Gap
	}
	r.lastTokens, r.tokensLeft = now, r.tokensLeft-max(f.engine.StepsPerPass, 1)
	if r.tokensLeft <= 0 {
		r.done = true
		r.host.scheduler.RecordEnd(r.placement.ID)
		f.broadcast(r.host, now, func(sc *schedule.Scheduler, _ time.Duration) { sc.RecordEnd(r.placement.ID) })
	}
}

// prefill prefills as much as fits into one pass, and returns how long that takes.
func (f *fleet) prefill(e *engineState) time.Duration {
	budget := time.Duration(float64(f.steps(e)*f.engine.PrefillChunk) / f.engine.PrefillRate * float64(time.Second))
	var took time.Duration
	for len(e.prefilling) > 0 && budget > 0 {
		p := e.prefilling[0]
		n := min(p.left, budget)
		p.left, budget, took = p.left-n, budget-n, took+n
		if p.left > 0 {
			break
		}
		e.prefilling = e.prefilling[1:]
		if p.request.partsLeft--; p.request.partsLeft == 0 {
			lead := f.engines[p.request.placement.Lead]
			lead.decoding = append(lead.decoding, p.request)
		}
	}
	return took
}
