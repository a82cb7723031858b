package route_test

import (
	"fmt"
	"testing"
	"time"

	"slipcrank.example/core/prefix"
	"slipcrank.example/core/route"
)

// fifo is a plain engine that prefills one prompt after another. As engines do,
// it finds out what is cached of a prompt only when it begins with it.
type fifo struct {
	rate    float64
	cached  int
	waiting []job
	left    float64 // of the prompt that it is at
	current string
}

type job struct {
	attempt string
	tokens  int
}

// run goes on for a second times part, and returns the attempts that ended.
func (f *fifo) run(part float64) []string {
	var ended []string
	for budget := f.rate * part; budget > 0; {
		if f.current == "" {
			if len(f.waiting) == 0 {
				return ended
			}
			f.current, f.left = f.waiting[0].attempt, float64(f.waiting[0].tokens-f.cached)
			f.waiting = f.waiting[1:]
		}
		n := min(budget, f.left)
		budget -= n
		if f.left -= n; f.left <= 0 {
			ended = append(ended, f.current)
			f.current = ""
		}
	}
	return ended
}

func (f *fifo) pending() int {
	n := f.left
	for _, j := range f.waiting {
		n += float64(j.tokens)
	}
	return int(n)
}

// TestRateIsLearntUnderOverload places prompts on an engine that has the
// beginning of each in its cache.
func TestRateIsLearntUnderOverload(t *testing.T) {
	const tokens, blocks, rate, seconds, slices = 2200, 4, 20_000, 40, 100
	chain := make([]uint64, tokens/prefix.BlockTokens)
	for i := range chain {
		chain[i] = uint64(i + 1)
	}
	for name, perSecond := range map[string]int{"busy": 18, "overloaded": 50} {
		t.Run(name, func(t *testing.T) {
			l := tracker(0)
			l.CacheIndex().Resync(chain[:blocks], blocks)
			e := &fifo{rate: rate, cached: blocks * prefix.BlockTokens}
			ask := route.Prompt{
				Workspace: "till", Share: 1, Tokens: tokens, PrefixHashes: route.NewPrefixHashes(chain), Deadline: start.Add(time.Hour),
			}
			now, arrived := start, 0
			for i := range seconds * slices {
				now = start.Add(time.Duration(i) * time.Second / slices)
				for ; arrived < perSecond*(i+1)/slices; arrived++ {
					id := fmt.Sprint(arrived)
					ask.Priority = now.UnixMilli()
					l.Place(id, ask, now)
					e.waiting = append(e.waiting, job{id, tokens})
				}
				for _, id := range e.run(1.0 / slices) {
					l.Finish(id, 0, now)
				}
				if i%(slices/2) == 0 {
					l.ApplyReport(route.Load{Taken: now, Incarnation: 1, Pending: e.pending(), Total: 1 << 30}, now)
				}
			}
			got := float64(tokens) / l.Offer(route.Prompt{Tokens: tokens, Deadline: start.Add(time.Hour)}, now).Prefill.Seconds()
			if got < rate/1.5 || got > rate*1.5 {
				t.Errorf("the rate is learnt as %.0f tokens/s, the engine does %d", got, rate)
			}
			// What waits is behind a request that is more urgent than all.
			if w := l.Offer(route.Prompt{Tokens: tokens, Deadline: start.Add(time.Hour)}, now).Wait; w > 500*time.Millisecond {
				t.Errorf("the most urgent request is predicted to wait %v", w)
			}
		})
	}
}

// TestFitsCountsWhatIsOnItsWay has placements that an engine's report may or may
// not show yet.
func TestFitsCountsWhatIsOnItsWay(t *testing.T) {
	const total, each = 100_000, 60_000
	for name, tc := range map[string]struct {
		placed time.Duration // after the report was taken
		used   int           // by the report
		ended  bool
		fits   bool
	}{
		"nothing there":                      {ended: true, fits: true},
		"in the report":                      {placed: -time.Second, used: each},
		"placed after the report":            {placed: time.Millisecond},
		"placed before, not yet arrived":     {placed: -time.Millisecond},
		"ended, and the report shows it yet": {placed: -time.Second, used: each, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := tracker(0)
			p := route.Prompt{Tokens: each, Deadline: start.Add(time.Hour)}
			taken := start.Add(time.Minute)
			now := taken.Add(10 * time.Millisecond)
			if tc.placed <= 0 {
				l.Place("a", p, taken.Add(tc.placed))
			}
			l.ApplyReport(route.Load{Taken: taken, Incarnation: 1, Used: tc.used, Total: total}, now)
			if tc.placed > 0 {
				l.Place("a", p, now)
			}
			if tc.ended {
				l.Finish("a", 0, now)
			}
			if got := l.Offer(p, now).Fits; got != tc.fits {
				t.Errorf("fits %v, want %v", got, tc.fits)
			}
		})
	}
}

// TestBlockedEngineTeachesNoRate has an engine that has prefilled what it runs,
// and keeps a prompt waiting since its memory is taken.
func TestBlockedEngineTeachesNoRate(t *testing.T) {
	l := tracker(0)
	p := route.Prompt{Tokens: 100_000, Deadline: start.Add(time.Hour)}
	want := l.Offer(p, start).Prefill
	now := start
	for range 20 {
		now = now.Add(time.Second / 2)
		l.ApplyReport(route.Load{Taken: now, Incarnation: 1, Pending: 100_000, Waiting: 1, Total: 1 << 30}, now)
	}
	if got := l.Offer(p, now).Prefill; got != want {
		t.Errorf("a prompt is predicted to prefill for %v, want %v", got, want)
	}
}
