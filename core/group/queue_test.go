package group_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"slipcrank.example/core/group"
)

var start = time.Unix(1_000_000, 0)

func TestJoinReportsMoreUrgentGroup(t *testing.T) {
	type wait struct {
		id       string
		priority int64
		at       time.Duration
		leave    bool
	}
	for name, tc := range map[string]struct {
		before    []wait
		ask       wait
		outranked bool
	}{
		"alone":                     {nil, wait{id: "a", priority: 5}, false},
		"more urgent group waits":   {[]wait{{id: "b", priority: 4}}, wait{id: "a", priority: 5}, true},
		"less urgent group waits":   {[]wait{{id: "b", priority: 6}}, wait{id: "a", priority: 5}, false},
		"equal priority, lower id":  {[]wait{{id: "b", priority: 5}}, wait{id: "a", priority: 5}, false},
		"equal priority, higher id": {[]wait{{id: "a", priority: 5}}, wait{id: "b", priority: 5}, true},
		"more urgent group left":    {[]wait{{id: "b", priority: 4}, {id: "b", leave: true}}, wait{id: "a", priority: 5}, false},
		"more urgent group expired": {[]wait{{id: "b", priority: 4}}, wait{id: "a", priority: 5, at: group.WaitTTL}, false},
		"more urgent group renewed": {[]wait{{id: "b", priority: 4}, {id: "b", priority: 4, at: group.WaitTTL / 2}}, wait{id: "a", priority: 5, at: group.WaitTTL}, true},
	} {
		t.Run(name, func(t *testing.T) {
			q := group.NewQueue()
			for _, w := range tc.before {
				if w.leave {
					q.Leave(w.id)
					continue
				}
				q.Join(w.id, w.priority, start.Add(w.at))
			}
			if got := q.Join(tc.ask.id, tc.ask.priority, start.Add(tc.ask.at)); got != tc.outranked {
				t.Errorf("outranked %v, want %v", got, tc.outranked)
			}
		})
	}
}

func TestQueueBlocksLessUrgentRequests(t *testing.T) {
	const total = 400_000
	q := group.NewQueue()
	q.Join("a", 5, start)
	for name, tc := range map[string]struct {
		priority int64
		memory   int
		at       time.Duration
		blocked  bool
	}{
		"less urgent":                {6, 20_000, 0, true},
		"more urgent":                {4, 20_000, 0, false},
		"equally urgent":             {5, 20_000, 0, false},
		"less urgent, but small":     {6, 4_000, 0, false},
		"less urgent, group expired": {6, 20_000, group.WaitTTL, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := q.MustWait(tc.priority, tc.memory, total, start.Add(tc.at)); got != tc.blocked {
				t.Errorf("blocked %v, want %v", got, tc.blocked)
			}
		})
	}
}

// TestEnginesToWaitForAgainstNaive compares the result with the engines of equal
// size that have the most free memory.
func TestEnginesToWaitForAgainstNaive(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	p.Property("fewest engines that hold the prompt when idle, most free memory first", prop.ForAll(
		func(free []int, tokens int) bool {
			cs := make([]group.Candidate, len(free))
			for i, f := range free {
				cs[i] = group.Candidate{Addr: string(rune('a' + i)), Free: f, Total: 100}
			}
			got := group.EnginesToWaitFor(cs, tokens)
			need := (tokens + 99) / 100
			if need > min(len(cs), group.MaxMembers) {
				return got == nil
			}
			sorted := slices.Clone(free)
			slices.SortFunc(sorted, func(a, b int) int { return b - a })
			minFree := 100
			for _, a := range got {
				minFree = min(minFree, cs[a[0]-'a'].Free)
			}
			return len(got) == need && (need == 0 || minFree == sorted[need-1])
		},
		gen.SliceOf(gen.IntRange(0, 100)).Map(func(s []int) []int { return s[:min(len(s), 12)] }), gen.IntRange(0, 1300),
	))
	p.TestingRun(t)
}
