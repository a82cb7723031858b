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

// asked is how many engines are asked for: at full size, those of three
// owners.
const asked = 5

// RoundRobin gives each entry host its own turn over the engines.
func RoundRobin() Policy {
	return Policy{Name: "round robin", New: func(s Scene) Placer {
		var mu sync.Mutex
		next := make([]int, s.Entries)
		for i := range next {
			next[i] = i * s.Engines / s.Entries
		}
		return Placer{
			Place: func(q Request) (int, time.Duration, bool) {
				mu.Lock()
				defer mu.Unlock()
				next[q.Entry] = (next[q.Entry] + 1) % s.Engines
				return next[q.Entry], 0, true
			},
			Finish: func(Request, int, time.Duration) {},
			Poll:   func(int, protocol.Report, protocol.EventPage) {},
		}
	}}
}

// LeastReported takes the engine whose last report shows the least work.
func LeastReported() Policy {
	return Policy{Name: "least reported", New: func(s Scene) Placer {
		return reported(s, func(r *rand.Rand, load []int) int {
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

// TwoChoices takes the less loaded of two random engines, by their reports.
func TwoChoices() Policy {
	return Policy{Name: "two choices", New: func(s Scene) Placer {
		return reported(s, func(r *rand.Rand, load []int) int {
			a, b := r.IntN(len(load)), r.IntN(len(load))
			if load[b] < load[a] {
				return b
			}
			return a
		})
	}}
}

func reported(s Scene, pick func(*rand.Rand, []int) int) Placer {
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

// owners is the policy of slipcrank: each engine's load is tracked by one
// owner, and an entry host asks a few of them.
type owners struct {
	scene Scene
	mu    sync.Mutex
	rand  *rand.Rand
	names []string
	books []*route.LoadTracker
}

// Owners returns the policy of slipcrank.
func Owners() Policy { return OwnersAsking(asked) }

// OwnersAsking is [Owners] with another number of owners asked.
func OwnersAsking(n int) Policy {
	return Policy{Name: "owners, asking " + strconv.Itoa(n), New: func(s Scene) Placer {
		o := &owners{scene: s, rand: rand.New(rand.NewPCG(s.Seed, 3))}
		for i := range s.Engines {
			o.names = append(o.names, strconv.Itoa(i))
			o.books = append(o.books, route.NewLoadTracker(strconv.Itoa(i), time.Now()))
		}
		return Placer{
			Place:    func(q Request) (int, time.Duration, bool) { return o.place(q, n) },
			Finish:   o.finish,
			Poll:     o.poll,
			Priority: byUrgency,
		}
	}}
}

func (o *owners) place(q Request, n int) (int, time.Duration, bool) {
	time.Sleep(2 * hop) // the bids
	o.mu.Lock()
	var offers []route.Offer
	for _, i := range o.candidates(q, n) {
		offers = append(offers, o.books[i].Offer(q.Prompt, time.Now()))
	}
	best, _, ok := route.Choose(q.Prompt, offers, time.Now())
	o.mu.Unlock()
	if !ok {
		return 0, 0, false
	}
	time.Sleep(hop) // the placement, on its way to the owner
	o.mu.Lock()
	defer o.mu.Unlock()
	e, _ := strconv.Atoi(best.Addr)
	return e, o.books[e].Place(q.ID, q.Prompt, time.Now()), true
}

// candidates are the engine that the prompt's first block is hashed to, and
// others at random.
func (o *owners) candidates(q Request, n int) []int {
	var out []int
	if len(q.Chain) > 0 {
		e, _ := strconv.Atoi(route.Owner(strconv.FormatUint(q.Chain[0], 16), o.names))
		out = append(out, e)
	}
	for _, i := range o.rand.Perm(o.scene.Engines) {
		if len(out) < n && !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

func (o *owners) finish(q Request, e int, first time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.books[e].Finish(q.ID, first, time.Now())
}

func (o *owners) poll(e int, r protocol.Report, p protocol.EventPage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.books[e]
	b.ApplyReport(route.Load{
		Taken: time.Now().Add(-r.Age), Incarnation: r.Incarnation,
		Pending: r.PendingTokens, Waiting: r.Waiting, Used: r.UsedTokens, Total: r.TotalTokens,
	}, time.Now())
	if len(p.Blocks) > 0 || !b.CacheIndex().InSync() {
		b.CacheIndex().Resync(p.Blocks, p.Number)
		return
	}
	for _, x := range p.Events {
		if x.Evicted {
			b.CacheIndex().Evict(x.Number, x.Block)
		} else {
			b.CacheIndex().Add(x.Number, x.Block)
		}
	}
}

// WithUrgency returns p with the priorities that slipcrank gives.
func (p Policy) WithUrgency() Policy {
	return Policy{Name: p.Name + " +urgency", New: func(s Scene) Placer {
		x := p.New(s)
		x.Priority = byUrgency
		return x
	}}
}
