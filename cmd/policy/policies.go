package policy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/core/route"
)

// defaultCandidates is how many engines an entry host gets offers for. At full
// size they belong to about three owners.
const defaultCandidates = 5

// RoundRobin places requests on the engines in turn, separately at each entry host.
func RoundRobin() Policy {
	return Policy{Name: "round robin", New: func(s Scenario) Placer {
		var mu sync.Mutex
		next := make([]int, s.EntryHosts)
		for i := range next {
			next[i] = i * s.Engines / s.EntryHosts
		}
		return Placer{
			Place: func(q Request) (int, time.Duration, bool) {
				mu.Lock()
				defer mu.Unlock()
				next[q.EntryHost] = (next[q.EntryHost] + 1) % s.Engines
				return next[q.EntryHost], 0, true
			},
			Finish: func(Request, int, time.Duration) {},
			Poll:   func(int, protocol.Report, protocol.EventPage) {},
		}
	}}
}

// LeastReported selects the engine with the least work in its last load report.
func LeastReported() Policy {
	return Policy{Name: "least reported", New: func(s Scenario) Placer {
		return newReportPlacer(s, func(r *rand.Rand, load []int) int {
			best := r.IntN(len(load))
			for i := range load {
				if load[i] < load[best] {
					best = i
				}
			}
			return best
		})
	}}
}

// TwoChoices selects the less loaded of two random engines by their last reports.
func TwoChoices() Policy {
	return Policy{Name: "two choices", New: func(s Scenario) Placer {
		return newReportPlacer(s, func(r *rand.Rand, load []int) int {
			a, b := r.IntN(len(load)), r.IntN(len(load))
			if load[b] < load[a] {
				return b
			}
			return a
		})
	}}
}

func newReportPlacer(s Scenario, pick func(*rand.Rand, []int) int) Placer {
	var mu sync.Mutex
	load := make([]int, s.Engines)
	r := rand.New(rand.NewPCG(s.Seed, 2))
	return Placer{
		Place: func(Request) (int, time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			return pick(r, load), 0, true
		},
		Finish: func(Request, int, time.Duration) {},
		Poll: func(e int, x protocol.Report, _ protocol.EventPage) {
			mu.Lock()
			defer mu.Unlock()
			load[e] = x.PendingTokens + 1000*(x.Running+x.Waiting)
		},
	}
}

// owners implements the policy of slipcrank: each engine's load is tracked by one
// owner, and an entry host gets offers from a few of them.
type owners struct {
	scenario Scenario
	mu       sync.Mutex
	rand     *rand.Rand
	names    []string
	trackers []*route.LoadTracker
}

// Owners returns the policy of slipcrank.
func Owners() Policy { return OwnersWithCandidates(defaultCandidates) }

// OwnersWithCandidates is [Owners] with another number of engines to get offers for.
func OwnersWithCandidates(n int) Policy {
	return Policy{Name: "owners, asking " + strconv.Itoa(n), New: func(s Scenario) Placer {
		o := &owners{scenario: s, rand: rand.New(rand.NewPCG(s.Seed, 3))}
		for i := range s.Engines {
			o.names = append(o.names, strconv.Itoa(i))
			o.trackers = append(o.trackers, route.NewLoadTracker(strconv.Itoa(i), time.Now()))
		}
		return Placer{
			Place:    func(q Request) (int, time.Duration, bool) { return o.place(q, n) },
			Finish:   o.finish,
			Poll:     o.poll,
			Priority: urgencyPriority,
		}
	}}
}

func (o *owners) place(q Request, n int) (int, time.Duration, bool) {
	time.Sleep(2 * messageDelay) // bid requests and replies
	o.mu.Lock()
	var offers []route.Offer
	for _, i := range o.candidates(q, n) {
		offers = append(offers, o.trackers[i].Offer(q.Prompt, time.Now()))
	}
	best, _, ok := route.Choose(q.Prompt, offers, time.Now())
	o.mu.Unlock()
	if !ok {
		return 0, 0, false
	}
	time.Sleep(messageDelay) // the placement message to the owner
	o.mu.Lock()
	defer o.mu.Unlock()
	e, _ := strconv.Atoi(best.Addr)
	return e, o.trackers[e].Place(q.ID, q.Prompt, time.Now()), true
}

// candidates returns the engine that the hash of the prompt's first block selects,
// and random others.
func (o *owners) candidates(q Request, n int) []int {
	var out []int
	if len(q.Chain) > 0 {
		e, _ := strconv.Atoi(route.Owner(strconv.FormatUint(q.Chain[0], 16), o.names))
		out = append(out, e)
	}
	for _, i := range o.rand.Perm(o.scenario.Engines) {
		if len(out) < n && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

func (o *owners) finish(q Request, e int, firstToken time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trackers[e].Finish(q.ID, firstToken, time.Now())
}

func (o *owners) poll(e int, r protocol.Report, p protocol.EventPage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	tracker := o.trackers[e]
	tracker.ApplyReport(route.Load{
		Taken: time.Now().Add(-r.Age), Incarnation: r.Incarnation,
		Pending: r.PendingTokens, Waiting: r.Waiting, Used: r.UsedTokens, Total: r.TotalTokens,
	}, time.Now())
	if len(p.Blocks) > 0 || !tracker.CacheIndex().InSync() {
		tracker.CacheIndex().Resync(p.Blocks, p.Number)
		return
	}
	for _, x := range p.Events {
		if x.Evicted {
			tracker.CacheIndex().Evict(x.Number, x.Block)
		} else {
			tracker.CacheIndex().Add(x.Number, x.Block)
		}
	}
}

// WithUrgency returns p with slipcrank's priorities on the engines.
func (p Policy) WithUrgency() Policy {
	return Policy{Name: p.Name + " +urgency", New: func(s Scenario) Placer {
		x := p.New(s)
		x.Priority = urgencyPriority
		return x
	}}
}
