// Package policy simulates policies for placing requests on engines, and compares
// them under the same seeded arrivals. The engines are in-memory stand-ins. Many
// entry hosts decide independently, each from load reports that arrive late. Runs
// use the clock of package time, so that in a synctest bubble they take no wall
// time and are not affected by the load of the machine.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		r := policy.Run(policy.DefaultScenario(), policy.Owners())
//	})
package policy

import (
	"context"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/core/prefix"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
	"slipcrank.example/standin/engine"
)

const (
	model = "m"
	// messageDelay is the one-way delay of a message between daemons of a hall.
	messageDelay = 500 * time.Microsecond
	// pollPeriod is the interval between reads of an engine's load report.
	pollPeriod = 500 * time.Millisecond

	shortMaxTokens = 4_000
	midMaxTokens   = 100_000
	arrivalSeed    = 0x51ca
)

// Bucket is a range of prompt lengths.
type Bucket int

// Buckets of prompt lengths; Buckets is their number.
const (
	Short Bucket = iota // up to 4,000 tokens
	Mid                 // up to 100,000 tokens
	Long                // over 100,000 tokens
	Buckets
)

type (
	// Scenario describes the fleet and the traffic of a run. It is an immutable value.
	Scenario struct {
		Engines       int
		EntryHosts    int // hosts that place requests independently
		Rate          float64
		Seconds       float64
		MidFraction   float64
		LongFraction  float64
		LongMaxTokens int
		MaxTokens     int
		Workspaces    int
		SharedTokens  int // length of the prefix common to a workspace's prompts
		Seed          uint64
		EngineParams  engine.Params
		// SlowEvery makes one in SlowEvery engines prefill at a quarter of the rate;
		// 0 means none.
		SlowEvery int
		// Shares holds the shares of the workspaces, by their numbers; nil means
		// equal shares.
		Shares []float64
		// Timeouts holds the time from arrival to deadline, by urgency.
		Timeouts map[template.Urgency]time.Duration
	}

	// Request is one arriving request.
	Request struct {
		ID        string
		Arrival   time.Duration
		EntryHost int
		Prompt    route.Prompt
		Chain     []uint64
		Bucket    Bucket
		// Urgency is that of the request's bucket.
		Urgency template.Urgency
	}

	// Placer is a policy applied to one run of a scenario.
	Placer struct {
		// Place returns the engine for a request and the delay by which its
		// priority yields to other workspaces, or false if it is refused.
		Place func(q Request) (e int, fairnessDelay time.Duration, ok bool)
		// Finish reports the end of a request and its time to first token after
		// placement.
		Finish func(q Request, e int, firstToken time.Duration)
		// Priority returns the priority of a request on its engine; if it is nil,
		// engines process requests in order of arrival.
		Priority func(q Request, now time.Time) int64
		// Poll receives each engine's load report and events, twice a second.
		Poll func(e int, r protocol.Report, p protocol.EventPage)
	}

	// Policy creates the placer for a scenario.
	Policy struct {
		Name string
		New  func(s Scenario) Placer
	}

	// Result holds the outcome of a run.
	Result struct {
		Policy        string
		FirstToken    [Buckets]*hdrhistogram.Histogram // microseconds
		Sent          int
		Refused       int
		InTime        int
		PrefillTokens int // tokens prefilled by all engines
		UsefulTokens  int // those of requests that finished before their deadline
		Finished      int
		// FinishedTokens counts, by workspace, the prompt tokens of the requests that
		// finished within the scenario's Seconds; UncachedTokens counts those of them
		// that were not cached, which the engines had to prefill.
		FinishedTokens, UncachedTokens map[string]float64
	}
)

// DefaultScenario returns a scenario with 36 engines at about 70% of their prefill
// capacity.
func DefaultScenario() Scenario {
	p := engine.DefaultParams()
	return Scenario{
		Engines: 36, EntryHosts: 24, Rate: 75, Seconds: 60, MidFraction: 0.2, LongFraction: 0.02, LongMaxTokens: 300_000,
		MaxTokens: 24, Workspaces: 10, SharedTokens: 1024, Seed: 1, EngineParams: p,
		Timeouts: map[template.Urgency]time.Duration{
			template.Interactive: 2 * time.Minute, template.Standard: 2 * time.Minute, template.Review: 2 * time.Minute,
		},
	}
}

// WithShortOnly returns a copy of s with only the short requests, at their rate in s.
func (s Scenario) WithShortOnly() Scenario {
	s.Rate *= 1 - s.MidFraction - s.LongFraction
	s.MidFraction, s.LongFraction = 0, 0
	return s
}

// WithRate returns a copy of s with r arrivals a second.
func (s Scenario) WithRate(r float64) Scenario {
	s.Rate = r
	return s
}

// WithTimeouts returns a copy of s with these times from arrival to deadline.
func (s Scenario) WithTimeouts(interactive, standard, review time.Duration) Scenario {
	s.Timeouts = map[template.Urgency]time.Duration{
		template.Interactive: interactive, template.Standard: standard, template.Review: review,
	}
	return s
}

// WithSlowEvery returns a copy of s in which one in n engines is slow.
func (s Scenario) WithSlowEvery(n int) Scenario {
	s.SlowEvery = n
	return s
}

func (s Scenario) engineParams(i int) engine.Params {
	p := s.EngineParams
	if s.SlowEvery > 0 && i%s.SlowEvery == 0 {
		p.PrefillRate /= 4
	}
	return p
}

// WithShares returns a copy of s with few engines and one workspace for each share,
// all of which send short requests only.
func (s Scenario) WithShares(shares ...float64) Scenario {
	s.Shares, s.Workspaces = shares, len(shares)
	s.MidFraction, s.LongFraction = 0, 0
	s.Engines, s.EntryHosts = 6, 6
	return s
}

func (s Scenario) share(workspace int) float64 {
	if workspace < len(s.Shares) {
		return s.Shares[workspace]
	}
	return 1 / float64(s.Workspaces)
}

// WithSeed returns a copy of s with another seed.
func (s Scenario) WithSeed(n uint64) Scenario {
	s.Seed = n
	return s
}

// Arrivals returns the requests of a scenario. They depend on the scenario and its
// seed only, not on the policy.
func (s Scenario) Arrivals() []Request {
	r := rand.New(rand.NewPCG(s.Seed, arrivalSeed))
	var out []Request
	for at := 0.0; ; {
		at += r.ExpFloat64() / s.Rate
		if at > s.Seconds {
			return out
		}
		q := Request{ID: strconv.Itoa(len(out)), Arrival: time.Duration(at * float64(time.Second)), EntryHost: r.IntN(s.EntryHosts)}
		tokens := s.drawPrompt(r, &q)
		w := r.IntN(s.Workspaces)
		q.Chain = s.chain(r, w, tokens)
		q.Prompt = route.Prompt{
			Workspace: strconv.Itoa(w), Share: s.share(w), Model: model, Tokens: tokens, MaxTokens: s.MaxTokens, PrefixHashes: route.NewPrefixHashes(q.Chain),
		}
		out = append(out, q)
	}
}

func (s Scenario) drawPrompt(r *rand.Rand, q *Request) int {
	switch x := r.Float64(); {
	case x < s.LongFraction:
		q.Bucket, q.Urgency = Long, template.Review
		return logUniform(r, midMaxTokens, s.LongMaxTokens)
	case x < s.LongFraction+s.MidFraction:
		q.Bucket, q.Urgency = Mid, template.Standard
		return logUniform(r, shortMaxTokens, midMaxTokens)
	default:
		q.Urgency = template.Interactive
		return logUniform(r, shortMaxTokens/4, shortMaxTokens)
	}
}

// chain returns the block hashes of a prompt that starts with the prefix of its
// workspace.
func (s Scenario) chain(r *rand.Rand, workspace, tokens int) []uint64 {
	out := make([]uint64, tokens/prefix.BlockTokens)
	for i := range out {
		if i < s.SharedTokens/prefix.BlockTokens {
			out[i] = uint64(workspace)<<32 | uint64(i) | 1<<62
			continue
		}
		out[i] = r.Uint64()
	}
	return out
}

func logUniform(r *rand.Rand, low, high int) int {
	return int(float64(low) * math.Pow(float64(high)/float64(low), r.Float64()))
}

// simulation is the state of one run of a scenario.
type simulation struct {
	scenario Scenario
	engines  []*engine.Engine
	placer   Placer
	start    time.Time

	mu     sync.Mutex
	result Result
}

// urgencyPriority returns slipcrank's priority of a request.
func urgencyPriority(q Request, now time.Time) int64 {
	return route.Priority(q.Urgency, q.Prompt.Tokens, now, q.Prompt.Deadline)
}

// Run simulates a scenario under a policy.
func Run(s Scenario, p Policy) Result {
	ctx, cancel := context.WithCancel(context.Background())
	x := &simulation{scenario: s, placer: p.New(s), start: time.Now(), result: Result{Policy: p.Name, FinishedTokens: map[string]float64{}, UncachedTokens: map[string]float64{}}}
	for b := range x.result.FirstToken {
		x.result.FirstToken[b] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	var background sync.WaitGroup
	for i := range s.Engines {
		e := engine.New(engine.WithParams(s.engineParams(i)), engine.WithCopies(protocol.Copy{Model: model, Version: "1"}),
			engine.WithIncarnation(uint64(i)+1))
		x.engines = append(x.engines, e)
	}
	for i, e := range x.engines {
		background.Go(func() { e.Run(ctx) })
		background.Go(func() { x.poll(ctx, i) })
	}
	var w sync.WaitGroup
	for _, q := range s.Arrivals() {
		w.Go(func() { x.runRequest(q) })
	}
	w.Wait()
	cancel()
	background.Wait()
	for _, e := range x.engines {
		x.result.PrefillTokens += e.Totals().PrefillTokens
	}
	return x.result
}

func (x *simulation) poll(ctx context.Context, i int) {
	var seen uint64
	for ctx.Err() == nil {
		r := x.engines[i].Report()
		page := x.engines[i].Events(seen, seen == 0)
		for _, e := range page.Events {
			seen = e.Number
		}
		if seen == 0 {
			seen = page.Number
		}
		x.placer.Poll(i, r, page)
		select {
		case <-ctx.Done():
		case <-time.After(pollPeriod):
		}
	}
}

func (x *simulation) runRequest(q Request) {
	time.Sleep(q.Arrival)
	q.Prompt.Deadline = time.Now().Add(x.scenario.Timeouts[q.Urgency])
	if x.placer.Priority != nil {
		q.Prompt.Priority = x.placer.Priority(q, time.Now())
	}
	arrived := time.Now()
	e, fairnessDelay, ok := x.placer.Place(q)
	if !ok {
		x.record(func(r *Result) { r.Refused++ })
		return
	}
	out, err := x.engines[e].Submit(engine.Job{
		Request: q.ID, Attempt: q.ID, Model: model, Prompt: q.Prompt.Tokens, Chain: q.Chain,
		MaxTokens: q.Prompt.MaxTokens, Priority: q.Prompt.WithDelay(fairnessDelay).Priority,
	})
	if err != nil {
		x.record(func(r *Result) { r.Refused++ })
		return
	}
	placed := time.Now()
	<-out
	firstToken := time.Since(arrived)
	firstTokenAfterPlacement := time.Since(placed)
	cached := 0
	for p := range out {
		cached = p.Cached // the last piece has the final count
	}
	x.placer.Finish(q, e, firstTokenAfterPlacement)
	x.record(func(r *Result) {
		_ = r.FirstToken[q.Bucket].RecordValue(firstToken.Microseconds())
		r.Finished++
		if time.Since(x.start).Seconds() < x.scenario.Seconds {
			r.FinishedTokens[q.Prompt.Workspace] += float64(q.Prompt.Tokens)
			r.UncachedTokens[q.Prompt.Workspace] += float64(q.Prompt.Tokens - cached)
		}
		if time.Now().Before(q.Prompt.Deadline) {
			r.InTime++
			r.UsefulTokens += q.Prompt.Tokens - cached
		}
	})
}

func (x *simulation) record(f func(*Result)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.result.Sent++
	f(&x.result)
}

// WastedFraction returns the fraction of the prefilled tokens that belonged to
// requests which finished after their deadline.
func (r Result) WastedFraction() float64 {
	return 1 - float64(r.UsefulTokens)/float64(max(r.PrefillTokens, 1))
}

// Quantile returns a quantile of the time to first token in a bucket.
func (r Result) Quantile(b Bucket, q float64) time.Duration {
	return time.Duration(r.FirstToken[b].ValueAtQuantile(q)) * time.Microsecond
}
