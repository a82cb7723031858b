// Package load sends an open-loop load to a fleet and measures the latency that
// callers see: time to first token and time between tokens by prompt length, and
// the slowdown of short requests by long ones in the same fleet.
//
// Arrivals follow a Poisson process and do not wait for answers, so that a slow
// system does not reduce its own load. In the first third of the time only short
// requests are sent; afterwards longer prompts are added to the same load of short
// requests. All random numbers are derived from one seed.
//
// # Usage
//
//	r, err := load.Run(ctx, load.DefaultPlan().WithTargets(addrs...))
package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"

	"slipcrank.example/core/fault"
)

const (
	// maxInFlight bounds the requests in progress; requests above it are dropped.
	maxInFlight = 20_000
	// shortOnlyDivisor is the ratio of the whole time to the short-only phase.
	shortOnlyDivisor = 3

	shortMinTokens, shortMaxTokens = 1_000, 4_000
	midMaxTokens                   = 100_000
	longMaxTokens                  = 1_000_000
)

type (
	// Workspace is one source of traffic.
	Workspace struct {
		Name       string
		Credential string
		Weight     float64
		Long       bool // sends the prompts of over 100,000 tokens
	}

	// Plan describes a load. It is an immutable value.
	Plan struct {
		Targets       []string // callers' addresses of entry hosts
		Model         string
		Rate          float64 // requests a second
		Duration      time.Duration
		LongFraction  float64 // fraction of requests with over 100,000 tokens
		MidFraction   float64 // fraction of requests with 4,000 to 100,000 tokens
		LongMaxTokens int     // length of the longest prompt
		MaxTokens     int
		Deadline      time.Duration
		Seed          uint64
		Workspaces    []Workspace
	}

	// Result holds the measurements of one request.
	Result struct {
		ID         string // request ID, for slipcrank explain
		Bucket     string
		ShortOnly  bool       // sent in the short-only phase
		ErrorKind  fault.Kind // "" if the answer is complete
		FirstToken time.Duration
		TokenGaps  []time.Duration
		Elapsed    time.Duration
		InTime     bool
		Tokens     int
	}

	job struct {
		id        string
		target    string
		workspace Workspace
		tokens    int
		shortOnly bool
		seed      uint64
	}
)

// DefaultPlan returns a load that fits the fleet of slipcrank dev. It has no
// targets, model and workspaces yet.
func DefaultPlan() Plan {
	return Plan{
		Rate: 20, Duration: 20 * time.Second, LongFraction: 0.02, MidFraction: 0.2, LongMaxTokens: longMaxTokens,
		MaxTokens: 24, Deadline: time.Minute, Seed: 1,
	}
}

// WithTargets returns a copy of p that sends to these entry hosts.
func (p Plan) WithTargets(addrs ...string) Plan {
	p.Targets = append([]string(nil), addrs...)
	return p
}

// Validate returns an error with a remedy for the first invalid value, or nil.
func (p Plan) Validate() error {
	switch {
	case len(p.Targets) == 0:
		return fault.New(fault.BadRequest, "no entry host given", "give --target")
	case p.Rate <= 0 || p.Duration <= 0:
		return fault.New(fault.BadRequest, "the rate and the duration must be above zero", "give --rate and --for")
	case p.LongFraction+p.MidFraction > 1 || p.LongFraction < 0 || p.MidFraction < 0:
		return fault.New(fault.BadRequest, "the fractions of long and of mid prompts must not be negative, and their sum must not be above 1", "give --long and --mid")
	case len(p.Workspaces) == 0:
		return fault.New(fault.BadRequest, "no workspace given", "give --workspaces")
	}
	return nil
}

// Run sends the load and returns the report once all answers have ended.
func Run(ctx context.Context, p Plan) (Report, error) {
	if err := p.Validate(); err != nil {
		return Report{}, err
	}
	pool, err := ants.NewPool(maxInFlight, ants.WithNonblocking(true))
	if err != nil {
		return Report{}, errors.Wrap(err, "create the request pool")
	}
	defer pool.Release()
	c := newClient(p)
	var mu sync.Mutex
	var w sync.WaitGroup
	col := newCollector()
	started := time.Now()
	for j := range arrivals(ctx, p) {
		w.Add(1)
		err := pool.Submit(func() {
			defer w.Done()
			r := c.measure(ctx, j)
			mu.Lock()
			defer mu.Unlock()
			col.add(r)
		})
		if err != nil {
			w.Done()
			mu.Lock()
			col.dropped++
			mu.Unlock()
		}
	}
	w.Wait()
	return col.report(p, time.Since(started)), nil
}

// arrivals sends jobs at the times of a Poisson process and then closes the channel.
func arrivals(ctx context.Context, p Plan) <-chan job {
	out := make(chan job)
	go func() {
		defer close(out)
		r := rand.New(rand.NewPCG(p.Seed, p.Seed))
		at, started := time.Duration(0), time.Now()
		for {
			at += time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second))
			if at > p.Duration {
				return
			}
			j, ok := drawJob(p, r, at < p.Duration/shortOnlyDivisor)
			if !ok {
				continue // mid and long prompts are skipped in the short-only phase
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(at - time.Since(started)):
				out <- j
			}
		}
	}()
	return out
}

// drawJob draws the length, the workspace and the entry host of one request. It
// returns false if the request is not to be sent in the short-only phase.
func drawJob(p Plan, r *rand.Rand, shortOnly bool) (job, bool) {
	class := r.Float64()
	j := job{target: p.Targets[r.IntN(len(p.Targets))], shortOnly: shortOnly, seed: r.Uint64()}
	j.id = fmt.Sprintf("load-%016x", j.seed)
	long := false
	switch {
	case class < p.LongFraction:
		j.tokens, long = logUniform(r, min(midMaxTokens, p.LongMaxTokens), p.LongMaxTokens), true
	case class < p.LongFraction+p.MidFraction:
		j.tokens = logUniform(r, shortMaxTokens, midMaxTokens)
	default:
		j.tokens = logUniform(r, shortMinTokens, shortMaxTokens)
	}
	j.workspace = pickWorkspace(p.Workspaces, r, long)
	return j, !shortOnly || j.tokens <= shortMaxTokens
}

// logUniform draws a length from a log-uniform distribution.
func logUniform(r *rand.Rand, low, high int) int {
	ratio := float64(high) / float64(low)
	return int(float64(low) * math.Pow(ratio, r.Float64()))
}

func pickWorkspace(ws []Workspace, r *rand.Rand, long bool) Workspace {
	total := 0.0
	for _, w := range ws {
		if w.Long == long {
			total += w.Weight
		}
	}
	if total == 0 {
		return ws[0]
	}
	x := r.Float64() * total
	for _, w := range ws {
		if w.Long != long {
			continue
		}
		if x -= w.Weight; x < 0 {
			return w
		}
	}
	return ws[0]
}
