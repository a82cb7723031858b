package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"slipcrank.example/core/prefix"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func properties(t *testing.T, add func(*gopter.Properties)) {
	t.Helper()
	ps := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	add(ps)
	ps.TestingRun(t)
}

func offersFrom(waits []int) []route.Offer {
	os := make([]route.Offer, len(waits))
	for i, w := range waits {
		os[i] = route.Offer{
			Addr: fmt.Sprintf("e%02d", i), Wait: time.Duration(w%50) * time.Millisecond,
			Fits: w%3 != 0, Ejected: w%7 == 0, Displaced: time.Duration(w%5) * time.Millisecond,
		}
	}
	return os
}

// naiveChoice returns the address of the best offer, found by a linear scan.
func naiveChoice(os []route.Offer) string {
	best := -1
	rank := func(o route.Offer) string {
		return fmt.Sprintf("%v %v %012d %s", o.Ejected, !o.Fits, o.Cost(), o.Addr)
	}
	for i, o := range os {
		if best < 0 || rank(o) < rank(os[best]) {
			best = i
		}
	}
	return os[best].Addr
}

func TestChooseAgainstNaive(t *testing.T) {
	properties(t, func(ps *gopter.Properties) {
		ps.Property("same engine as a linear scan", prop.ForAll(func(waits []int) bool {
			os := offersFrom(waits)
			got, _, ok := route.Choose(route.Prompt{}, os, start)
			return len(os) == 0 && !ok || len(os) > 0 && ok && got.Addr == naiveChoice(os)
		}, gen.SliceOf(gen.IntRange(0, 1000))))
	})
}

func TestChooseRefusesUnreachableDeadlines(t *testing.T) {
	o := route.Offer{Addr: "e", Wait: time.Second, Prefill: time.Second, Fits: true}
	for name, tc := range map[string]struct {
		left   time.Duration
		answer int
		ok     bool
	}{
		"ample time":                   {time.Minute, 10, true},
		"less than the prefill":        {500 * time.Millisecond, 10, false},
		"no margin for the wait":       {2100 * time.Millisecond, 10, false},
		"large token limit":            {10 * time.Second, 20_000, true},
		"no time for a typical answer": {4 * time.Second, 256, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, d, ok := route.Choose(route.Prompt{Deadline: start.Add(tc.left), MaxTokens: tc.answer}, []route.Offer{o}, start)
			if ok != tc.ok || d.Reason == "" {
				t.Errorf("got %v, %q", ok, d.Reason)
			}
		})
	}
}

func TestOwnerMovesOnlyKeysOfRemovedName(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	moved := 0
	for i := range 1000 {
		k := fmt.Sprint(i)
		before := route.Owner(k, names)
		if before != route.Rank(k, names)[0] {
			t.Fatalf("Owner and Rank differ for %s", k)
		}
		after := route.Owner(k, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "c" }))
		if before != "c" && after != before {
			t.Fatalf("key %s moved from %s to %s, but only c was removed", k, before, after)
		}
		if before == "c" {
			moved++
		}
	}
	if moved < 100 || moved > 240 {
		t.Errorf("c owned %d of 1000 keys, want about 167", moved)
	}
}

func TestIndexAgainstNaive(t *testing.T) {
	properties(t, func(ps *gopter.Properties) {
		ps.Property("longest cached prefix", prop.ForAll(func(length, cached int) bool {
			chain := make([]uint64, length)
			for i := range chain {
				chain[i] = uint64(i) + 1
			}
			x := route.NewIndex()
			x.Resync(chain[:min(cached, length)], 1)
			want := 0
			for _, m := range prefix.LookupLengths(length) {
				if m <= cached {
					want = max(want, m)
				}
			}
			return x.Cached(route.NewPrefixHashes(chain)) == want
		}, gen.IntRange(0, 300), gen.IntRange(0, 300)))
	})
}

func TestIndexInSync(t *testing.T) {
	chain := []uint64{1, 2, 3, 4}
	x := route.NewIndex()
	if x.InSync() {
		t.Error("an index without a resync is in sync")
	}
	x.Resync(chain, 4)
	if got := x.Cached(route.NewPrefixHashes(chain)); got != 4 {
		t.Errorf("cached %d, want 4", got)
	}
	x.Add(6, 9) // event 5 was lost
	if x.InSync() {
		t.Error("in sync after a gap")
	}
	if got := x.Cached(route.NewPrefixHashes(chain)); got != 2 {
		t.Errorf("out of sync, cached %d, want half (2)", got)
	}
	x.Resync(chain[:2], 7)
	x.Evict(8, 2)
	x.Evict(8, 1) // repeats an event number
	if got := x.Cached(route.NewPrefixHashes(chain)); !x.InSync() || got != 1 {
		t.Errorf("after the resync: in sync %v, cached %d, want true, 1", x.InSync(), got)
	}
}

func TestPriorityDoesNotStarveReviews(t *testing.T) {
	review := route.Priority(template.Review, 2000, start, time.Time{})
	for name, tc := range map[string]struct {
		later time.Duration
		first bool
	}{
		"same time":     {0, false},
		"half a minute": {30 * time.Second, false},
		"over a minute": {61 * time.Second, true},
		"an hour":       {time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			till := route.Priority(template.Interactive, 2000, start.Add(tc.later), time.Time{})
			if got := review < till; got != tc.first {
				t.Errorf("review first: %v, want %v", got, tc.first)
			}
		})
	}
	long := route.Priority(template.Interactive, 500_000, start, time.Time{})
	if short := route.Priority(template.Interactive, 1000, start, time.Time{}); short >= long {
		t.Error("a long prompt precedes a short one of the same urgency")
	}
}

func TestPriorityIsBoundedByDeadline(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens         int
		deadline, want time.Duration
	}{
		"short, near deadline":    {1000, time.Second, time.Second},
		"long, near deadline":     {400_000, time.Minute, time.Minute},
		"short, distant deadline": {1000, time.Hour, 60*time.Second + 300*time.Millisecond},
		"long, distant deadline":  {400_000, time.Hour, 180 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			got := route.Priority(template.Review, tc.tokens, start, start.Add(tc.deadline))
			if want := start.Add(tc.want).UnixMilli(); got != want {
				t.Errorf("priority %d, want %d", got, want)
			}
		})
	}
}

// TestPromptLengthDoesNotBlockBehindGroups compares requests with a waiting group
// whose priority is ten seconds after their arrival.
func TestPromptLengthDoesNotBlockBehindGroups(t *testing.T) {
	group := start.Add(10 * time.Second).UnixMilli()
	for name, tc := range map[string]struct {
		urgency template.Urgency
		tokens  int
		blocked bool
	}{
		"interactive, short": {template.Interactive, 2000, false},
		"interactive, long":  {template.Interactive, 100_000, false},
		"standard, long":     {template.Standard, 100_000, false},
		"review, short":      {template.Review, 5000, true},
		"review, long":       {template.Review, 100_000, true},
	} {
		t.Run(name, func(t *testing.T) {
			deadline := start.Add(time.Hour)
			p := route.Prompt{Tokens: tc.tokens, Priority: route.Priority(tc.urgency, tc.tokens, start, deadline)}
			if got := p.PriorityAgainstGroups() > group; got != tc.blocked {
				t.Errorf("blocked %v, want %v", got, tc.blocked)
			}
		})
	}
}

func TestGroupPriorityLeavesTimeToRun(t *testing.T) {
	review := route.Prompt{Tokens: 400_000, MaxTokens: 100, Priority: start.Add(time.Minute).UnixMilli()} // runs for 11 s
	for name, tc := range map[string]struct {
		deadline, want time.Duration
	}{
		"distant deadline":     {10 * time.Minute, time.Minute},
		"near deadline":        {31 * time.Second, 10 * time.Second},
		"unreachable deadline": {5 * time.Second, 0},
		"no deadline":          {0, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			p := review
			if tc.deadline > 0 {
				p.Deadline = start.Add(tc.deadline)
			}
			if got := time.Duration(route.GroupPriority(p, start)-start.UnixMilli()) * time.Millisecond; got != tc.want {
				t.Errorf("blocks others after %v, want %v", got, tc.want)
			}
		})
	}
}

func tracker(pending int) *route.LoadTracker {
	l := route.NewLoadTracker("e", start)
	l.ApplyReport(route.Load{Taken: start, Incarnation: 1, Pending: pending, Total: 100_000}, start)
	return l
}

func TestOfferWait(t *testing.T) {
	urgent := route.Prompt{Tokens: 4000, Priority: 1, Deadline: start.Add(time.Hour)}
	relaxed := urgent
	relaxed.Priority, relaxed.Workspace = 9, "other"
	for name, tc := range map[string]struct {
		do   func(l *route.LoadTracker)
		ask  route.Prompt
		want time.Duration // wait, without the overhead
	}{
		"idle":                          {func(*route.LoadTracker) {}, urgent, 0},
		"more urgent work is ahead":     {func(l *route.LoadTracker) { l.Place("a", urgent, start) }, relaxed, 100 * time.Millisecond},
		"less urgent work is not ahead": {func(l *route.LoadTracker) { l.Place("a", relaxed, start) }, urgent, 0},
		"finished work is not ahead":    {func(l *route.LoadTracker) { l.Place("a", urgent, start); l.Finish("a", 0, start) }, relaxed, 0},
		"work known only from the report": {func(l *route.LoadTracker) {
			l.ApplyReport(route.Load{Taken: start, Incarnation: 1, Pending: 8000, Total: 1}, start)
		}, urgent, 200 * time.Millisecond},
		"placement and report not counted twice": {func(l *route.LoadTracker) {
			l.Place("a", urgent, start)
			l.ApplyReport(route.Load{Taken: start, Incarnation: 1, Pending: 4000, Total: 1}, start)
		}, relaxed, 100 * time.Millisecond},
		"report shows earlier completion": {func(l *route.LoadTracker) {
			l.Place("a", urgent, start)
			l.ApplyReport(route.Load{Taken: start, Incarnation: 1, Pending: 0, Total: 1}, start)
		}, relaxed, 0},
		"discarded when the engine restarts": {func(l *route.LoadTracker) {
			l.Place("a", urgent, start)
			l.ApplyReport(route.Load{Taken: start, Incarnation: 2, Total: 1}, start)
		}, relaxed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := tracker(0)
			tc.do(l)
			if got := l.Offer(tc.ask, start).Wait - route.DefaultDecodeStep; got != tc.want {
				t.Errorf("wait %v, want %v", got, tc.want)
			}
		})
	}
}

func TestLoadTrackerEstimatesRateFromReports(t *testing.T) {
	l := tracker(0)
	ask := route.Prompt{Tokens: 100_000, Deadline: start.Add(time.Hour)}
	before := l.Offer(ask, start).Prefill
	now, pending := start, 500_000
	for range 30 { // the engine prefills 10,000 tokens/s, a quarter of the default
		l.ApplyReport(route.Load{Taken: now, Incarnation: 1, Pending: pending, Total: 1}, now)
		now, pending = now.Add(time.Second), pending-10_000
	}
	if after := l.Offer(ask, now).Prefill; after < 3*before {
		t.Errorf("predicted prefill of 100,000 tokens is %v, initially %v; the engine takes 10 s", after, before)
	}
}

func TestPlacementExpiresAtDeadline(t *testing.T) {
	l := tracker(0)
	l.Place("a", route.Prompt{Tokens: 100, Deadline: start.Add(time.Second)}, start)
	l.Offer(route.Prompt{}, start.Add(2*time.Second))
	if l.OpenPlacements() != 0 {
		t.Error("a placement is still open after the deadline of its request")
	}
}

func TestEjectionKeepsLastEngine(t *testing.T) {
	var h route.Health
	for range 2 {
		h = h.Fail(start)
	}
	if !h.Ejected(start) || h.Ejected(start.Add(time.Minute)) || h.Succeed().Ejected(start) {
		t.Error("two consecutive failures must eject for a limited time, and a success must end the ejection")
	}
	only := []route.Offer{{Addr: "e", Ejected: true}}
	if _, _, ok := route.Choose(route.Prompt{}, only, start); !ok {
		t.Error("the only engine is refused because it is ejected")
	}
}
