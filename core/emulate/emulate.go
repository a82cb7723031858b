// Package emulate simulates requests on a model of engines in virtual time, with
// the production code that chooses servers and admits requests.
//
// It shows how callers are served under a load by different admission rules, in a
// second instead of a day on many hosts. Engines run passes by their published
// model: in each pass an engine prefills prompts in order of arrival, as much as
// fits into the pass, and decodes answers for the first requests whose prompts are
// prefilled, one for each slot. A single host makes all decisions and knows the
// state of all engines, unless the scenario has several hosts, which learn of each
// other's placements after a delay. Nothing fails but engines that are taken away.
//
// The same scenario and seed give the same result.
//
// # Usage
//
//	results := emulate.Run(emulate.Surge(), emulate.FromPolicy(admission.Default()), seed)
//	results["short"].InTime
package emulate

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// minSize and sizeRange spread the sizes of requests evenly over 0.3 to 1.7 times
// their mean, a range that holds half of the prompts of the deployments.
const minSize, sizeRange = 0.3, 1.4

// largestFraction and largeFraction are the fractions of a load's requests that
// [BySize] counts apart: the largest, and those next below them.
const largestFraction, largeFraction = 0.1, 0.2

// lateValue is the fraction of its value that a late answer delivers, and maxValue the
// highest value of a request, as given by the scoring rules of the deployments.
const lateValue, maxValue = 0.25, 4

// impatientRetry is how soon callers come back that don't wait as they are told.
const impatientRetry = 100 * time.Millisecond

type (
	// Load describes requests of one kind.
	Load struct {
		Name string `yaml:"name" validate:"required"`
		// From is the time of the first request, and all arrive before Until; both
		// count from the start of the scenario.
		From  time.Duration `yaml:"from" validate:"gte=0s"`
		Until time.Duration `yaml:"until" validate:"gtfield=From"`
		// Rate is the number of requests a second; they arrive at random times
		// (a Poisson process).
		Rate float64 `yaml:"rate" validate:"gt=0,lte=10000"`
		// Prompt and Answer are mean sizes in tokens.
		Prompt int `yaml:"prompt" validate:"gt=0"`
		Answer int `yaml:"answer" validate:"gt=0"`
		// Spread is the standard deviation of the logarithm of prompt sizes, which
		// are lognormal and at most MaxPrompt; with 0 they are spread evenly over
		// 0.3 to 1.7 times the mean.
		Spread    float64 `yaml:"spread" validate:"gte=0,lte=2"`
		MaxPrompt int     `yaml:"max_prompt" validate:"required_with=Spread,gte=0"`
		// Objective is the longest time to the first token, Gap the longest pause
		// of the stream, that are in time.
		Objective time.Duration `yaml:"objective" validate:"gt=0s"`
		Gap       time.Duration `yaml:"gap" validate:"gt=0s"`
		// Workspaces is the number of workspaces over which the requests are spread
		// evenly; 0 counts as 1. Loads of the same Group, or without one, share
		// their workspaces.
		Workspaces int    `yaml:"workspaces" validate:"gte=0,lte=20000"`
		Group      string `yaml:"group"`
		// Priority is the operator's priority; 0 is the most urgent.
		Priority int `yaml:"priority" validate:"gte=0"`
	}

	// Scenario is a set of engines with the loads on them: an immutable value.
	Scenario struct {
		Engines int         `yaml:"engines" validate:"gte=1,lte=1000"`
		Engine  site.Engine `yaml:"engine"`
		// Wait is how long callers wait for an answer, from their first attempt.
		Wait  time.Duration `yaml:"wait" validate:"gt=0s"`
		Loads []Load        `yaml:"loads" validate:"min=1,dive"`
		// Hosts is the number of hosts, of which a random one places each attempt; 0
		// counts as 1. They learn of each other's placements after NewsDelay.
		Hosts     int           `yaml:"hosts" validate:"gte=0,lte=1000"`
		NewsDelay time.Duration `yaml:"news_delay" validate:"gte=0s"`
		// From LeaveAt on, the last Leaving engines get no further requests.
		Leaving int           `yaml:"leaving" validate:"gte=0"`
		LeaveAt time.Duration `yaml:"leave_at" validate:"gte=0s"`
		// AtOnce makes refused callers retry at once, not when they are told to.
		AtOnce bool `yaml:"at_once"`
		// Policy is the policy of the hosts' schedulers.
		Policy schedule.Policy `yaml:"-"`
		// Counted makes the hosts count admitted and refused requests by priority. All hosts
		// know all counts at once.
		Counted bool `yaml:"counted"`
	}

	// Rule decides whether a request is refused, and how; retry is set if it was
	// refused before.
	Rule func(r admission.Request, retry bool) (admission.Refusal, bool)

	// Count counts the requests of one kind by outcome.
	Count struct {
		Asked, InTime, Late, Refused int
		// Value is the summed value of the requests, relative to one of the mean size
		// of its load, and Earned the part of it that was delivered.
		Value, Earned float64
	}

	// Results counts all requests by outcome, by the names of their loads.
	Results map[string]Count

	// BySize counts the requests of one load: all of them, the largest tenth by
	// prompt, and the fifth next below that tenth.
	BySize struct{ All, LargestTenth, NextFifth Count }
)

// Surge returns a scenario of long prompts that need four fifths of 18 engines,
// followed by many short streams that need two thirds of their slots.
func Surge() Scenario {
	const change, end = 10 * time.Second, 16 * time.Second
	return Scenario{
		Engines: 18,
		Engine: site.Engine{
			Slots: 16, Memory: 405_000, StepsPerPass: 34, StepTime: 1310 * time.Microsecond, StepTimePerRequest: 917 * time.Nanosecond,
			StepTimePerContext: 2130 * time.Nanosecond, PrefillRate: 154_000, PrefillTimePerPairs: 162 * time.Microsecond, PrefillChunk: 2048,
			UsualPrompt: 11_500, UsualAnswer: 1_270,
		},
		Wait: 12 * time.Second,
		Loads: []Load{
			{Name: "long", Until: change, Rate: 2.6, Prompt: 210_000, Answer: 640, Objective: 3 * time.Second, Gap: time.Second},
			{Name: "short", From: change, Until: end, Rate: 95, Prompt: 4_960, Answer: 1_300, Objective: 300 * time.Millisecond, Gap: 250 * time.Millisecond},
		},
	}
}

// FromPolicy returns the rule that applies a policy to retries as to first attempts.
func FromPolicy(p admission.Policy) Rule {
	return func(r admission.Request, _ bool) (admission.Refusal, bool) { return p.Decide(r) }
}

// FavorRetries returns the rule that applies a policy, but with the displaced ratio of
// retries divided by factor: a retry may displace factor times as much as a first
// attempt.
func FavorRetries(p admission.Policy, factor float64) Rule {
	return func(r admission.Request, retry bool) (admission.Refusal, bool) {
		if retry {
			r.DisplacedRatio /= factor
		}
		return p.Decide(r)
	}
}

// Run simulates a scenario under a rule. Callers that are refused retry once, after
// the time that the refusal names.
func Run(s Scenario, rule Rule, seed uint64) Results { return count(simulate(s, rule, seed)) }

// RunBySize does what [Run] does, and counts the requests of one load by size.
func RunBySize(s Scenario, rule Rule, seed uint64, load string) BySize {
	rs := simulate(s, rule, seed)
	rs = slices.DeleteFunc(rs, func(r *request) bool { return r.load.Name != load })
	slices.SortStableFunc(rs, func(a, b *request) int { return cmp.Compare(b.work.Prompt, a.work.Prompt) })
	largest := int(largestFraction * float64(len(rs)))
	next := largest + int(largeFraction*float64(len(rs)))
	return BySize{All: count(rs)[load], LargestTenth: count(rs[:largest])[load], NextFifth: count(rs[largest:next])[load]}
}

// simulate runs a scenario to its end and returns its requests in order of arrival.
func simulate(s Scenario, rule Rule, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(s.Engine, s.NewsDelay)
	f.counted = s.Counted
	for i := range max(s.Hosts, 1) {
		sc := schedule.New(uint32(i+1), schedule.WithRandom(random.Float64))
		sc.SetPolicy(s.Policy)
		f.hosts = append(f.hosts, &host{sc})
	}
	servers := f.servers(s.Engines)
	requests := s.requests(seed)
	pending := slices.Clone(requests)
	for len(pending) > 0 {
		r := pending[0]
		pending = pending[1:]
		f.run(servers, r.attempt)
		taking := servers
		if s.Leaving > 0 && r.attempt >= s.LeaveAt {
			taking = servers[:s.Engines-s.Leaving]
		}
		refusal, refused := f.admit(taking, f.pickHost(random), r, s.Wait, rule)
		if refused && !r.retried {
			if s.AtOnce {
				refusal.RetryAfter = impatientRetry
			}
			r.retried, r.attempt = true, r.attempt+refusal.RetryAfter
			n, _ := slices.BinarySearchFunc(pending, r.attempt, func(o *request, attempt time.Duration) int { return cmp.Compare(o.attempt, attempt) })
			pending = slices.Insert(pending, n, r)
		}
	}
	f.run(servers, f.now+2*s.Wait)
	return requests
}

// pickHost returns the host that places an attempt.
func (f *fleet) pickHost(random *rand.Rand) *host {
	if len(f.hosts) == 1 {
		return f.hosts[0]
	}
	return f.hosts[random.IntN(len(f.hosts))]
}

// admit chooses servers for a request and starts it on them, unless the rule refuses
// it.
func (f *fleet) admit(servers []backend.Server, h *host, r *request, wait time.Duration, rule Rule) (admission.Refusal, bool) {
	p, _ := h.scheduler.Place(r.attempt, site.Service{Name: serviceName, Engine: &f.engine}, servers, schedule.Request{
		Work: r.work, Objective: r.load.Objective - (r.attempt - r.arrived), Gap: r.load.Gap,
		Workspace: schedule.HashWorkspace(r.workspace),
	})
	refusal, refused := rule(admission.Request{
		Stream: true, TimeLeft: wait - (r.attempt - r.arrived), Objective: r.load.Objective, Waited: r.attempt - r.arrived,
		FirstToken: p.FirstToken, IdleFirstToken: p.IdleFirstToken, DisplacedRatio: p.DisplacedRatio, EnginesFilled: p.EnginesFilled, SpareFraction: p.SpareFraction,
		DisplacedWeight: p.Share.DisplacedWeight, OverShare: p.Share.OverShare, SlotScarcity: p.SlotScarcity,
		Served: f.served(r), LateRisk: p.LateRisk, SlotsUsed: p.SlotsUsed,
	}, r.retried)
	if refused {
		h.scheduler.RecordEnd(p.ID)
		f.countRefused(r)
		return refusal, true
	}
	f.countAdmitted(r)
	f.start(r, h, p)
	return refusal, false
}

// requests returns the requests of a scenario in order of arrival.
func (s Scenario) requests(seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	size := func(mean int) int { return int(float64(mean) * (minSize + sizeRange*random.Float64())) }
	var rs []*request
	for _, l := range s.Loads {
		for at := l.From; at < l.Until; at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)) {
			w := schedule.Work{Prompt: size(l.Prompt), Answer: size(l.Answer)}
			if l.Spread > 0 {
				w.Prompt = l.lognormalPrompt(random)
			}
			rs = append(rs, &request{load: l, workspace: l.workspace(len(rs)), work: w, arrived: at, attempt: at})
		}
	}
	slices.SortStableFunc(rs, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	return rs
}

// lognormalPrompt returns a random prompt size of a load with a spread.
func (l Load) lognormalPrompt(random *rand.Rand) int {
	size := float64(l.Prompt) * math.Exp(l.Spread*random.NormFloat64()-l.Spread*l.Spread/2)
	return min(int(size), l.MaxPrompt)
}

// workspace returns the name of the workspace of the n-th request of a load.
func (l Load) workspace(n int) string {
	return fmt.Sprintf("%s-%d", l.Group, n%max(l.Workspaces, 1))
}

// count counts requests by outcome, for each load.
func count(rs []*request) Results {
	results := Results{}
	for _, r := range rs {
		c := results[r.load.Name]
		c.Asked++
		c.Value += r.value()
		switch {
		case r.placement.Lead == "":
			c.Refused++
		case r.done && !r.late:
			c.InTime++
			c.Earned += r.value()
		default:
			c.Late++
			c.Earned += lateValue * r.value()
		}
		results[r.load.Name] = c
	}
	return results
}

// value returns the value of a request, relative to one of the mean size of its load.
func (r *request) value() float64 {
	mean := site.Engine{UsualPrompt: r.load.Prompt, UsualAnswer: r.load.Answer}
	return min(schedule.Value(&mean, r.work), maxValue)
}

// Add returns the sum of two counts, by outcome.
func (c Count) Add(o Count) Count {
	return Count{
		c.Asked + o.Asked, c.InTime + o.InTime, c.Late + o.Late, c.Refused + o.Refused,
		c.Value + o.Value, c.Earned + o.Earned,
	}
}

// EarnedFraction returns the fraction of the requests' value that was delivered, or 0
// without any.
func (c Count) EarnedFraction() float64 {
	if c.Value == 0 {
		return 0
	}
	return c.Earned / c.Value
}

// InTimeFraction returns the fraction of the requests that were served in time, or 0
// without any.
func (c Count) InTimeFraction() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Asked)
}

// ServedFraction returns the fraction of the requests that were served at all, or 0
// without any.
func (c Count) ServedFraction() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.InTime+c.Late) / float64(c.Asked)
}

// String returns the counts as text, by outcome.
func (c Count) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused", c.Asked, c.InTime, c.Late, c.Refused)
}
