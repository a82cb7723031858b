package route_test

import (
	"fmt"
	"testing"
	"time"

	"slipcrank.example/core/prefix"
	"slipcrank.example/core/route"
)

// fifoEngine simulates an engine that prefills one prompt after another. Like a
// real engine, it looks a prompt up in its cache only when it starts on it.
type fifoEngine struct {
	rate      float64
	cached    int
	waiting   []job
	remaining float64 // tokens of the current prompt
	current   string
}

type job struct {
	attempt string
	tokens  int
}

// runFor prefills for a number of seconds, and returns the attempts that ended.
func (f *fifoEngine) runFor(seconds float64) []string {
	var ended []string
	for budget := f.rate * seconds; budget > 0; {
		if f.current == "" {
			if len(f.waiting) == 0 {
				return ended
			}
			f.current, f.remaining = f.waiting[0].attempt, float64(f.waiting[0].tokens-f.cached)
			f.waiting = f.waiting[1:]
		}
		n := min(budget, f.remaining)
		budget -= n
		if f.remaining -= n; f.remaining <= 0 {
			ended = append(ended, f.current)
			f.current = ""
		}
	}
	return ended
}

func (f *fifoEngine) pending() int {
	n := f.remaining
	for _, j := range f.waiting {
		n += float64(j.tokens)
	}
	return int(n)
}

// TestRateEstimateUnderOverload places prompts on an engine that has the first
// blocks of each in its cache.
func TestRateEstimateUnderOverload(t *testing.T) {
	const tokens, blocks, rate, seconds, stepsPerSecond = 2200, 4, 20_000, 40, 100
	chain := make([]uint64, tokens/prefix.BlockTokens)
	for i := range chain {
		chain[i] = uint64(i + 1)
	}
	for name, perSecond := range map[string]int{"busy": 18, "overloaded": 50} {
		t.Run(name, func(t *testing.T) {
			l := tracker(0)
			l.CacheIndex().Resync(chain[:blocks], blocks)
			e := &fifoEngine{rate: rate, cached: blocks * prefix.BlockTokens}
			ask := route.Prompt{
				Workspace: "till", Share: 1, Tokens: tokens, PrefixHashes: route.NewPrefixHashes(chain), Deadline: start.Add(time.Hour),
			}
			now, arrived := start, 0
			for i := range seconds * stepsPerSecond {
				now = start.Add(time.Duration(i) * time.Second / stepsPerSecond)
				for ; arrived < perSecond*(i+1)/stepsPerSecond; arrived++ {
					id := fmt.Sprint(arrived)
					ask.Priority = now.UnixMilli()
					l.Place(id, ask, now)
					e.waiting = append(e.waiting, job{id, tokens})
				}
				for _, id := range e.runFor(1.0 / stepsPerSecond) {
					l.Finish(id, 0, now)
				}
				if i%(stepsPerSecond/2) == 0 {
					l.ApplyReport(route.Load{Taken: now, Incarnation: 1, Pending: e.pending(), Total: 1 << 30}, now)
				}
			}
			got := float64(tokens) / l.Offer(route.Prompt{Tokens: tokens, Deadline: start.Add(time.Hour)}, now).Prefill.Seconds()
			if got < rate/1.5 || got > rate*1.5 {
				t.Errorf("estimated rate %.0f tokens/s, actual rate %d tokens/s", got, rate)
			}
			// All queued requests are less urgent than this one.
			if w := l.Offer(route.Prompt{Tokens: tokens, Deadline: start.Add(time.Hour)}, now).Wait; w > 500*time.Millisecond {
				t.Errorf("predicted wait of the most urgent request is %v, want at most 500ms", w)
			}
		})
	}
}

// TestFitsCountsPlacementsMissingFromReport covers placements that the engine's
// report may not include yet.
func TestFitsCountsPlacementsMissingFromReport(t *testing.T) {
	const total, each = 100_000, 60_000
	for name, tc := range map[string]struct {
		placed time.Duration // after the report was taken
		used   int           // by the report
		ended  bool
		fits   bool
	}{
		"no placement":                          {ended: true, fits: true},
		"included in the report":                {placed: -time.Second, used: each},
		"placed after the report":               {placed: time.Millisecond},
		"placed before the report, not arrived": {placed: -time.Millisecond},
		"ended, still included in the report":   {placed: -time.Second, used: each, ended: true},
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

// TestRateUnchangedWhileRequestsWait reports pending tokens that do not decrease
// because the request waits for memory, which must not lower the estimated rate.
func TestRateUnchangedWhileRequestsWait(t *testing.T) {
	l := tracker(0)
	p := route.Prompt{Tokens: 100_000, Deadline: start.Add(time.Hour)}
	want := l.Offer(p, start).Prefill
	now := start
	for range 20 {
		now = now.Add(time.Second / 2)
		l.ApplyReport(route.Load{Taken: now, Incarnation: 1, Pending: 100_000, Waiting: 1, Total: 1 << 30}, now)
	}
	if got := l.Offer(p, now).Prefill; got != want {
		t.Errorf("predicted prefill %v, want %v", got, want)
	}
}
