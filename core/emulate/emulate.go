// Package emulate plays requests on a model of engines in virtual time, by the
// real code that chooses servers and admits requests.
//
// It answers what callers get under a load by one rule of admission or
// another, in a second instead of a day on many hosts. Engines run passes by
// their published model: each reads what came first, as much as one pass takes,
// and writes for the first of those whose prompts are read. One host decides
// and sees everything; nothing fails. So it says nothing about faults, or views
// that are stale.
//
// The same scenario and seed give the same result.
//
// # Usage
//
//	day := emulate.Play(emulate.Surge(), emulate.Judge(admission.Default()), seed)
//	day["short"].InTime
package emulate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// leastSize and sizeRange spread the sizes of requests evenly over 0.3 to 1.7
// times their mean: as wide as half of the users' prompts.
const leastSize, sizeRange = 0.3, 1.4

type (
	// Load is requests of one kind.
	Load struct {
		Name string `yaml:"name" validate:"required"`
		// From and Until are when they come, from the start.
		From  time.Duration `yaml:"from" validate:"gte=0s"`
		Until time.Duration `yaml:"until" validate:"gtfield=From"`
		// Rate is how many come a second, at random moments.
		Rate float64 `yaml:"rate" validate:"gt=0,lte=10000"`
		// Prompt and Answer are mean sizes in tokens.
		Prompt int `yaml:"prompt" validate:"gt=0"`
		Answer int `yaml:"answer" validate:"gt=0"`
		// Objective is the time to the first token, Gap the longest pause, that
		// are in time.
		Objective time.Duration `yaml:"objective" validate:"gt=0s"`
		Gap       time.Duration `yaml:"gap" validate:"gt=0s"`
		// Workspaces is over how many workspaces the requests are spread evenly;
		// 0 counts as 1. Loads of one Group, or of none, are of the same.
		Workspaces int    `yaml:"workspaces" validate:"gte=0,lte=20000"`
		Group      string `yaml:"group"`
	}

	// Scenario is engines and what is asked of them: an immutable value.
	Scenario struct {
		Engines int         `yaml:"engines" validate:"gte=1,lte=1000"`
		Engine  site.Engine `yaml:"engine"`
		// Wait is how long callers wait for an answer.
		Wait  time.Duration `yaml:"wait" validate:"gt=0s"`
		Loads []Load        `yaml:"loads" validate:"min=1,dive"`
	}

	// Rule decides on a request; back is set if its caller was refused before.
	Rule func(r admission.Request, back bool) (admission.Refusal, bool)

	// Count is what became of requests of one kind.
	Count struct {
		Asked, InTime, Late, Refused int
	}

	// Results is what became of all requests, by the names of their loads.
	Results map[string]Count
)

// Surge is long prompts that ask for four fifths of 18 engines, and then many
// short streams that ask for two thirds of their slots.
func Surge() Scenario {
	const change, end = 10 * time.Second, 16 * time.Second
	return Scenario{
		Engines: 18,
		Engine: site.Engine{
			Slots: 16, Memory: 405_000, Stride: 34, Step: 1310 * time.Microsecond, PerWriter: 917 * time.Nanosecond,
			PerContext: 2130 * time.Nanosecond, ReadRate: 154_000, PerPairs: 162 * time.Microsecond, Chunk: 2048,
			UsualPrompt: 11_500, UsualAnswer: 1_270,
		},
		Wait: 12 * time.Second,
		Loads: []Load{
			{Name: "long", Until: change, Rate: 2.6, Prompt: 210_000, Answer: 640, Objective: 3 * time.Second, Gap: time.Second},
			{Name: "short", From: change, Until: end, Rate: 95, Prompt: 4_960, Answer: 1_300, Objective: 300 * time.Millisecond, Gap: 250 * time.Millisecond},
		},
	}
}

// FromPolicy is the rule by which callers that come back are judged like others.
func FromPolicy(p admission.Policy) Rule {
	return func(r admission.Request, _ bool) (admission.Refusal, bool) { return p.Judge(r) }
}

// FavorRetries is the rule by which callers that come back are let in, unless they
// displace so many times their worth.
func FavorRetries(p admission.Policy, times float64) Rule {
	return func(r admission.Request, back bool) (admission.Refusal, bool) {
		if back {
			r.Displaces /= times
		}
		return p.Judge(r)
	}
}

// Run serves a scenario's requests by a rule. Callers that are refused come
// back once, when they are told.
func Run(s Scenario, judge Rule, seed uint64) Results {
	draws := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(s.Engine, schedule.New(1, schedule.WithRandom(draws.Float64)))
	servers := f.servers(s.Engines)
	asked := s.requests(seed)
	due := slices.Clone(asked)
	for len(due) > 0 {
		r := due[0]
		due = due[1:]
		f.run(servers, r.comes)
		no, refused := f.offer(servers, r, s.Wait, judge)
		if refused && !r.back {
			r.back, r.comes = true, r.comes+no.After
			n, _ := slices.BinarySearchFunc(due, r.comes, func(o *request, at time.Duration) int { return cmp.Compare(o.comes, at) })
			due = slices.Insert(due, n, r)
		}
	}
	f.run(servers, f.now+2*s.Wait)
	return count(asked)
}

// offer has servers chosen for a request, and gives it to them unless the rule
// refuses it.
func (f *fleet) offer(servers []backend.Server, r *request, wait time.Duration, judge Rule) (admission.Refusal, bool) {
	p, _ := f.board.Place(r.comes, site.Service{Name: serviceName, Engine: &f.engine}, servers, schedule.Request{
		Work: r.work, Objective: r.load.Objective - (r.comes - r.arrived), Gap: r.load.Gap,
		Workspace: schedule.HashWorkspace(r.workspace),
	})
	no, refused := judge(admission.Request{
		Stream: true, Left: wait - (r.comes - r.arrived), Objective: r.load.Objective,
		First: p.FirstToken, Idle: p.IdleFirstToken, Displaces: p.DisplacementRatio, Engines: p.EnginesFilled, Spare: p.SpareFraction,
		Price: p.Share.Weight, Over: p.Share.OverShare, Full: p.SlotScarcity,
	}, r.back)
	if refused {
		f.board.RecordEnd(p.ID)
		return no, true
	}
	f.begin(r, p)
	return no, false
}

// requests are those of a scenario in the order in which they come.
func (s Scenario) requests(seed uint64) []*request {
	rnd := rand.New(rand.NewPCG(seed, 1))
	size := func(mean int) int { return int(float64(mean) * (leastSize + sizeRange*rnd.Float64())) }
	var rs []*request
	for _, l := range s.Loads {
		for at := l.From; at < l.Until; at += time.Duration(rnd.ExpFloat64() / l.Rate * float64(time.Second)) {
			w := schedule.Work{Prompt: size(l.Prompt), Answer: size(l.Answer)}
			rs = append(rs, &request{load: l, workspace: l.workspace(len(rs)), work: w, arrived: at, comes: at})
		}
	}
	slices.SortStableFunc(rs, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	return rs
}

// workspace names whose the n-th request of a load is.
func (l Load) workspace(n int) string {
	return fmt.Sprintf("%s-%d", l.Group, n%max(l.Workspaces, 1))
}

// count sums up what became of requests.
func count(rs []*request) Results {
	d := Results{}
	for _, r := range rs {
		c := d[r.load.Name]
		c.Asked++
		switch {
		case r.placed.Lead == "":
			c.Refused++
		case r.done && !r.late:
			c.InTime++
		default:
			c.Late++
		}
		d[r.load.Name] = c
	}
	return d
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count {
	return Count{c.Asked + o.Asked, c.InTime + o.InTime, c.Late + o.Late, c.Refused + o.Refused}
}

// InTimeFraction is the part of the requests that were served in time.
func (c Count) InTimeFraction() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Asked)
}

// String tells the counts in words.
func (c Count) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused", c.Asked, c.InTime, c.Late, c.Refused)
}
