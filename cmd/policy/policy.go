// Package policy compares ways to place requests on engines, under the same
// seeded arrivals. Engines are stand-ins in memory, decision makers are many,
// and each sees load reports that lag. Time is that of package time, so that a
// run in a synctest bubble takes no wall time and disturbs nothing.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		r := policy.Run(policy.DefaultScene(), policy.Owners())
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
	// hop is the time of one message between daemons of a hall.
	hop = 500 * time.Microsecond
	// pollPeriod is how often load reports are read.
	pollPeriod = 500 * time.Millisecond

	shortMost = 4_000
	midMost   = 100_000
	blockSeed = 0x51ca
)

// Bucket is a range of prompt lengths.
type Bucket int

// The buckets.
const (
	Short Bucket = iota // to 4,000 tokens
	Mid                 // to 100,000
	Long                // above
	Buckets
)

type (
	// Scene is what a run plays: an immutable value.
	Scene struct {
		Engines    int
		Entries    int // decision makers
		Rate       float64
		Seconds    float64
		MidPart    float64
		LongPart   float64
		LongMost   int
		MaxTokens  int
		Workspaces int
		Shared     int // prompt tokens that a workspace's requests share
		Seed       uint64
		Params     engine.Params
		// SlowEvery makes one engine in so many prefill at a quarter of the
		// rate; 0 is none.
		SlowEvery int
		// Shares of the workspaces, by their numbers; nil is none.
		Shares []float64
		// Patience is the time that a request has, by urgency.
		Patience map[template.Urgency]time.Duration
	}

	// Request is one arrival.
	Request struct {
		ID     string
		At     time.Duration
		Entry  int
		Prompt route.Prompt
		Chain  []uint64
		Bucket Bucket
		// Urgency of its workspace.
		Urgency template.Urgency
	}

	// Placer is a policy in a running scene.
	Placer struct {
		// Place returns the engine for a request, or false if it is refused.
		Place func(q Request) (e int, behind time.Duration, ok bool)
		// First and Finish tell how an attempt went.
		Finish func(q Request, e int, first time.Duration)
		// Priority orders the work of an engine; nil is first come, first
		// served.
		Priority func(q Request, now time.Time) int64
		// Poll gets each engine's load report, twice a second.
		Poll func(e int, r protocol.Report, p protocol.EventPage)
	}

	// Policy makes a placer for a scene.
	Policy struct {
		Name string
		New  func(s Scene) Placer
	}

	// Result of a run.
	Result struct {
		Policy   string
		First    [Buckets]*hdrhistogram.Histogram // microseconds
		Sent     int
		Refused  int
		InTime   int
		Prefill  int // tokens prefilled by all engines
		Useful   int // those of requests that were in time
		Finished int
		// Work is the prompt tokens of the requests that were done while
		// others still arrived, by workspace; Fresh those of them that were not
		// cached, which is what engines worked for.
		Work, Fresh map[string]float64
	}
)

// DefaultScene returns a scene with a few dozen engines at about 70% of what
// they can prefill.
func DefaultScene() Scene {
	p := engine.DefaultParams()
	return Scene{
		Engines: 36, Entries: 24, Rate: 75, Seconds: 60, MidPart: 0.2, LongPart: 0.02, LongMost: 300_000,
		MaxTokens: 24, Workspaces: 10, Shared: 1024, Seed: 1, Params: p,
		Patience: map[template.Urgency]time.Duration{
			template.Interactive: 2 * time.Minute, template.Standard: 2 * time.Minute, template.Review: 2 * time.Minute,
		},
	}
}

// WithoutLong returns a copy of s whose arrivals are the short ones of s only.
func (s Scene) WithoutLong() Scene {
	s.Rate *= 1 - s.MidPart - s.LongPart
	s.MidPart, s.LongPart = 0, 0
	return s
}

// WithRate returns a copy of s with another rate of arrivals, a second.
func (s Scene) WithRate(r float64) Scene {
	s.Rate = r
	return s
}

// WithPatience returns a copy of s whose requests have these times.
func (s Scene) WithPatience(interactive, standard, review time.Duration) Scene {
	s.Patience = map[template.Urgency]time.Duration{
		template.Interactive: interactive, template.Standard: standard, template.Review: review,
	}
	return s
}

// WithSlow returns a copy of s in which one engine in n is slow.
func (s Scene) WithSlow(n int) Scene {
	s.SlowEvery = n
	return s
}

func (s Scene) paramsOf(i int) engine.Params {
	p := s.Params
	if s.SlowEvery > 0 && i%s.SlowEvery == 0 {
		p.PrefillRate /= 4
	}
	return p
}

// WithShares returns a copy of s with one workspace for each share, all of
// whose traffic is of one kind, on few engines.
func (s Scene) WithShares(shares ...float64) Scene {
	s.Shares, s.Workspaces = shares, len(shares)
	s.MidPart, s.LongPart = 0, 0
	s.Engines, s.Entries = 6, 6
	return s
}

func (s Scene) share(workspace int) float64 {
	if workspace < len(s.Shares) {
		return s.Shares[workspace]
	}
	return 1 / float64(s.Workspaces)
}

// WithSeed returns a copy of s with another seed.
func (s Scene) WithSeed(n uint64) Scene {
	s.Seed = n
	return s
}

// Arrivals returns the requests of a scene. They depend on the seed only, not
// on the policy.
func (s Scene) Arrivals() []Request {
	r := rand.New(rand.NewPCG(s.Seed, blockSeed))
	var out []Request
	for at := 0.0; ; {
		at += r.ExpFloat64() / s.Rate
		if at > s.Seconds {
			return out
		}
		q := Request{ID: strconv.Itoa(len(out)), At: time.Duration(at * float64(time.Second)), Entry: r.IntN(s.Entries)}
		tokens := s.draw(r, &q)
		w := r.IntN(s.Workspaces)
		q.Chain = s.chain(r, w, tokens)
		q.Prompt = route.Prompt{
			Workspace: strconv.Itoa(w), Share: s.share(w), Model: model, Tokens: tokens, MaxTokens: s.MaxTokens, PrefixHashes: route.NewPrefixHashes(q.Chain),
		}
		out = append(out, q)
	}
}

func (s Scene) draw(r *rand.Rand, q *Request) int {
	switch x := r.Float64(); {
	case x < s.LongPart:
		q.Bucket, q.Urgency = Long, template.Review
		return logUniform(r, midMost, s.LongMost)
	case x < s.LongPart+s.MidPart:
		q.Bucket, q.Urgency = Mid, template.Standard
		return logUniform(r, shortMost, midMost)
	default:
		q.Urgency = template.Interactive
		return logUniform(r, shortMost/4, shortMost)
	}
}

// chain names the blocks of a prompt whose beginning is its workspace's.
func (s Scene) chain(r *rand.Rand, workspace, tokens int) []uint64 {
	out := make([]uint64, tokens/prefix.BlockTokens)
	for i := range out {
		if i < s.Shared/prefix.BlockTokens {
			out[i] = uint64(workspace)<<32 | uint64(i) | 1<<62
			continue
		}
		out[i] = r.Uint64()
	}
	return out
}

func logUniform(r *rand.Rand, least, most int) int {
	return int(float64(least) * math.Pow(float64(most)/float64(least), r.Float64()))
}

// run is a scene being played.
type run struct {
	scene   Scene
	engines []*engine.Engine
	placer  Placer
	start   time.Time

	mu     sync.Mutex
	result Result
}

// byUrgency is the priority that slipcrank gives.
func byUrgency(q Request, now time.Time) int64 {
	return route.Priority(q.Urgency, q.Prompt.Tokens, now, q.Prompt.Deadline)
}

// Run plays a scene with a policy.
func Run(s Scene, p Policy) Result {
	ctx, cancel := context.WithCancel(context.Background())
	x := &run{scene: s, placer: p.New(s), start: time.Now(), result: Result{Policy: p.Name, Work: map[string]float64{}, Fresh: map[string]float64{}}}
	for b := range x.result.First {
		x.result.First[b] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	var background sync.WaitGroup
	for i := range s.Engines {
		e := engine.New(engine.WithParams(s.paramsOf(i)), engine.WithCopies(protocol.Copy{Model: model, Version: "1"}),
			engine.WithIncarnation(uint64(i)+1))
		x.engines = append(x.engines, e)
	}
	for i, e := range x.engines {
		background.Go(func() { e.Run(ctx) })
		background.Go(func() { x.poll(ctx, i) })
	}
	var w sync.WaitGroup
	for _, q := range s.Arrivals() {
		w.Go(func() { x.play(q) })
	}
	w.Wait()
	cancel()
	background.Wait()
	for _, e := range x.engines {
		x.result.Prefill += e.Totals().PrefillTokens
	}
	return x.result
}

func (x *run) poll(ctx context.Context, i int) {
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

func (x *run) play(q Request) {
	time.Sleep(q.At)
	q.Prompt.Deadline = time.Now().Add(x.scene.Patience[q.Urgency])
	if x.placer.Priority != nil {
		q.Prompt.Priority = x.placer.Priority(q, time.Now())
	}
	arrived := time.Now()
	e, behind, ok := x.placer.Place(q)
	if !ok {
		x.count(func(r *Result) { r.Refused++ })
		return
	}
	out, err := x.engines[e].Submit(engine.Job{
		Request: q.ID, Attempt: q.ID, Model: model, Prompt: q.Prompt.Tokens, Chain: q.Chain,
		MaxTokens: q.Prompt.MaxTokens, Priority: q.Prompt.WithDelay(behind).Priority,
	})
	if err != nil {
		x.count(func(r *Result) { r.Refused++ })
		return
	}
	placed := time.Now()
	<-out
	first := time.Since(arrived)
	toFirst := time.Since(placed)
	cached := 0
	for p := range out {
		cached = p.Cached // of the last piece
	}
	x.placer.Finish(q, e, toFirst)
	x.count(func(r *Result) {
		_ = r.First[q.Bucket].RecordValue(first.Microseconds())
		r.Finished++
		if time.Since(x.start).Seconds() < x.scene.Seconds {
			r.Work[q.Prompt.Workspace] += float64(q.Prompt.Tokens)
			r.Fresh[q.Prompt.Workspace] += float64(q.Prompt.Tokens - cached)
		}
		if time.Now().Before(q.Prompt.Deadline) {
			r.InTime++
			r.Useful += q.Prompt.Tokens - cached
		}
	})
}

func (x *run) count(f func(*Result)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.result.Sent++
	f(&x.result)
}

// Wasted returns the part of the prefilled tokens that was for requests which
// came too late.
func (r Result) Wasted() float64 { return 1 - float64(r.Useful)/float64(max(r.Prefill, 1)) }

// Quantile returns a quantile of the time to first token in a bucket.
func (r Result) Quantile(b Bucket, q float64) time.Duration {
	return time.Duration(r.First[b].ValueAtQuantile(q)) * time.Microsecond
}
