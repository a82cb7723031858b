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

// naiveChoice scans for an offer that no other one beats.
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
		ps.Property("same engine as a full scan", prop.ForAll(func(waits []int) bool {
			os := offersFrom(waits)
			got, _, ok := route.Choose(route.Prompt{}, os, start)
			return len(os) == 0 && !ok || len(os) > 0 && ok && got.Addr == naiveChoice(os)
		}, gen.SliceOf(gen.IntRange(0, 1000))))
	})
}

func TestChooseRefusesWhatCantBeInTime(t *testing.T) {
	o := route.Offer{Addr: "e", Wait: time.Second, Prefill: time.Second, Fits: true}
	for name, tc := range map[string]struct {
		left   time.Duration
		answer int
		ok     bool
	}{
		"ample":                      {time.Minute, 10, true},
		"less than the prefill":      {500 * time.Millisecond, 10, false},
		"no margin for others":       {2100 * time.Millisecond, 10, false},
		"a long answer is allowed":   {10 * time.Second, 20_000, true},
		"no time for a usual answer": {4 * time.Second, 256, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, d, ok := route.Choose(route.Prompt{Deadline: start.Add(tc.left), MaxTokens: tc.answer}, []route.Offer{o}, start)
			if ok != tc.ok || d.Reason == "" {
				t.Errorf("got %v, %q", ok, d.Reason)
			}
		})
	}
}

func TestOwnerMovesOnlyWhatItMust(t *testing.T) {
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
			t.Fatalf("key %s moved from %s to %s though only c went", k, before, after)
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
		ps.Property("longest marked prefix", prop.ForAll(func(length, cached int) bool {
			chain := make([]uint64, length)
			for i := range chain {
				chain[i] = uint64(i) + 1
			}
			x := route.NewIndex()
			x.Resync(chain[:min(cached, length)], 1)
			want := 0
			for _, m := range prefix.Marks(length) {
				if m <= cached {
					want = max(want, m)
				}
			}
			return x.Cached(route.NewPrefixHashes(chain)) == want
		}, gen.IntRange(0, 300), gen.IntRange(0, 300)))
	})
}

func TestIndexTrust(t *testing.T) {
	chain := []uint64{1, 2, 3, 4}
	x := route.NewIndex()
	if x.InSync() {
		t.Error("an index that was never synced is trusted")
	}
	x.Resync(chain, 4)
	if got := x.Cached(route.NewPrefixHashes(chain)); got != 4 {
		t.Errorf("cached %d, want 4", got)
	}
	x.Add(6, 9) // event 5 was lost
	if x.InSync() {
		t.Error("trusted after a gap")
	}
	if got := x.Cached(route.NewPrefixHashes(chain)); got != 2 {
		t.Errorf("untrusted, cached %d, want half", got)
	}
	x.Resync(chain[:2], 7)
	x.Evict(8, 2)
	x.Evict(8, 1) // a repeat of an old number
	if got := x.Cached(route.NewPrefixHashes(chain)); !x.InSync() || got != 1 {
		t.Errorf("after the resync: trusted %v, cached %d, want 1", x.InSync(), got)
	}
}

func TestPriorityLetsReviewsAge(t *testing.T) {
	review := route.Priority(template.Review, 2000, start, time.Time{})
	for name, tc := range map[string]struct {
		later time.Duration
		first bool
	}{
		"at once":        {0, false},
		"half a minute":  {30 * time.Second, false},
		"over a minute":  {61 * time.Second, true},
		"a long time on": {time.Hour, true},
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
		t.Error("a long prompt goes before a short one of the same urgency")
	}
}

func TestPriorityIsWhenARequestMustComeFirst(t *testing.T) {
	for name, tc := range map[string]struct {
		tokens         int
		deadline, want time.Duration
	}{
		"short":                {1000, time.Second, time.Second},
		"long":                 {400_000, time.Minute, time.Minute},
		"has time enough":      {1000, time.Hour, 60*time.Second + 300*time.Millisecond},
		"long, and has enough": {400_000, time.Hour, 180 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			got := route.Priority(template.Review, tc.tokens, start, start.Add(tc.deadline))
			if want := start.Add(tc.want).UnixMilli(); got != want {
				t.Errorf("it can wait until %d, want %d", got, want)
			}
		})
	}
}

// TestLengthGivesUpNoMemoryToGroups has requests come while a group waits that
// can go on doing so for ten seconds.
func TestLengthGivesUpNoMemoryToGroups(t *testing.T) {
	group := start.Add(10 * time.Second).UnixMilli()
	for name, tc := range map[string]struct {
		urgency template.Urgency
		tokens  int
		held    bool
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
			if got := p.PriorityAgainstGroups() > group; got != tc.held {
				t.Errorf("it is held back: %v, want %v", got, tc.held)
			}
		})
	}
}

func TestGroupWaitsNoLongerThanItCan(t *testing.T) {
	review := route.Prompt{Tokens: 400_000, MaxTokens: 100, Priority: start.Add(time.Minute).UnixMilli()} // 11 s of its own
	for name, tc := range map[string]struct {
		deadline, want time.Duration
	}{
		"much time":        {10 * time.Minute, time.Minute},
		"little time":      {31 * time.Second, 10 * time.Second},
		"too little time":  {5 * time.Second, 0},
		"no deadline: its": {0, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			p := review
			if tc.deadline > 0 {
				p.Deadline = start.Add(tc.deadline)
			}
			if got := time.Duration(route.GroupPriority(p, start)-start.UnixMilli()) * time.Millisecond; got != tc.want {
				t.Errorf("it holds others back after %v, want %v", got, tc.want)
			}
		})
	}
}

func tracker(pending int) *route.LoadTracker {
	l := route.NewLoadTracker("e", start)
	l.ApplyReport(route.Load{Taken: start, Incarnation: 1, Pending: pending, Total: 100_000}, start)
	return l
}

func TestLoadTracker(t *testing.T) {
	urgent := route.Prompt{Tokens: 4000, Priority: 1, Deadline: start.Add(time.Hour)}
	patient := urgent
	patient.Priority, patient.Workspace = 9, "other"
	for name, tc := range map[string]struct {
		do   func(l *route.LoadTracker)
		ask  route.Prompt
		want time.Duration // of the wait, beside the overhead
	}{
		"idle":                 {func(*route.LoadTracker) {}, urgent, 0},
		"urgent work is ahead": {func(l *route.LoadTracker) { l.Place("a", urgent, start) }, patient, 100 * time.Millisecond},
		"patient work is not":  {func(l *route.LoadTracker) { l.Place("a", patient, start) }, urgent, 0},
		"ended work is not":    {func(l *route.LoadTracker) { l.Place("a", urgent, start); l.Finish("a", 0, start) }, patient, 0},
		"others' work, from reports": {func(l *route.LoadTracker) {
			l.ApplyReport(route.Load{Taken: start, Incarnation: 1, Pending: 8000, Total: 1}, start)
		}, urgent, 200 * time.Millisecond},
		"not counted twice": {func(l *route.LoadTracker) {
			l.Place("a", urgent, start)
			l.ApplyReport(route.Load{Taken: start, Incarnation: 1, Pending: 4000, Total: 1}, start)
		}, patient, 100 * time.Millisecond},
		"done sooner, says the report": {func(l *route.LoadTracker) {
			l.Place("a", urgent, start)
			l.ApplyReport(route.Load{Taken: start, Incarnation: 1, Pending: 0, Total: 1}, start)
		}, patient, 0},
		"forgotten with the engine": {func(l *route.LoadTracker) {
			l.Place("a", urgent, start)
			l.ApplyReport(route.Load{Taken: start, Incarnation: 2, Total: 1}, start)
		}, patient, 0},
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

func TestLoadTrackerLearnsFromReports(t *testing.T) {
	l := tracker(0)
	ask := route.Prompt{Tokens: 100_000, Deadline: start.Add(time.Hour)}
	before := l.Offer(ask, start).Prefill
	now, pending := start, 500_000
	for range 30 { // the engine prefills 10,000 tokens a second, a quarter of what is assumed
		l.ApplyReport(route.Load{Taken: now, Incarnation: 1, Pending: pending, Total: 1}, now)
		now, pending = now.Add(time.Second), pending-10_000
	}
	if after := l.Offer(ask, now).Prefill; after < 3*before {
		t.Errorf("prefill of 100,000 tokens is predicted as %v, before as %v; the engine takes 10 s", after, before)
	}
}

func TestLoadTrackerForgetsWhatNobodyEnds(t *testing.T) {
	l := tracker(0)
	l.Place("a", route.Prompt{Tokens: 100, Deadline: start.Add(time.Second)}, start)
	l.Offer(route.Prompt{}, start.Add(2*time.Second))
	if l.OpenPlacements() != 0 {
		t.Error("a placement outlives its request's deadline")
	}
}

func TestHealthNeverTakesTheLastEngine(t *testing.T) {
	var h route.Health
	for range 2 {
		h = h.Fail(start)
	}
	if !h.Ejected(start) || h.Ejected(start.Add(time.Minute)) || h.Succeed().Ejected(start) {
		t.Error("two failures in a row eject for a time, and a success ends it")
	}
	only := []route.Offer{{Addr: "e", Ejected: true}}
	if _, _, ok := route.Choose(route.Prompt{}, only, start); !ok {
		t.Error("the last engine is refused for being ejected")
	}
}
