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

func TestQueueLetsOneGroupTry(t *testing.T) {
	type wait struct {
		id       string
		priority int64
		at       time.Duration
		leave    bool
	}
	for name, tc := range map[string]struct {
		before []wait
		ask    wait
		ahead  bool
	}{
		"alone":                    {nil, wait{id: "a", priority: 5}, false},
		"behind a more urgent one": {[]wait{{id: "b", priority: 4}}, wait{id: "a", priority: 5}, true},
		"before a less urgent one": {[]wait{{id: "b", priority: 6}}, wait{id: "a", priority: 5}, false},
		"equal, by their ids":      {[]wait{{id: "b", priority: 5}}, wait{id: "a", priority: 5}, false},
		"equal, the other way":     {[]wait{{id: "a", priority: 5}}, wait{id: "b", priority: 5}, true},
		"behind one that left":     {[]wait{{id: "b", priority: 4}, {id: "b", leave: true}}, wait{id: "a", priority: 5}, false},
		"behind one that is gone":  {[]wait{{id: "b", priority: 4}}, wait{id: "a", priority: 5, at: group.WaitTTL}, false},
		"behind one that goes on":  {[]wait{{id: "b", priority: 4}, {id: "b", priority: 4, at: group.WaitTTL / 2}}, wait{id: "a", priority: 5, at: group.WaitTTL}, true},
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
			if got := q.Join(tc.ask.id, tc.ask.priority, start.Add(tc.ask.at)); got != tc.ahead {
				t.Errorf("ahead %v, want %v", got, tc.ahead)
			}
		})
	}
}

func TestQueueHoldsLessUrgentRequests(t *testing.T) {
	const total = 400_000
	q := group.NewQueue()
	q.Join("a", 5, start)
	for name, tc := range map[string]struct {
		priority int64
		memory   int
		at       time.Duration
		held     bool
	}{
		"less urgent":                {6, 20_000, 0, true},
		"more urgent":                {4, 20_000, 0, false},
		"as urgent":                  {5, 20_000, 0, false},
		"less urgent, but small":     {6, 4_000, 0, false},
		"after the group was silent": {6, 20_000, group.WaitTTL, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := q.MustWait(tc.priority, tc.memory, total, start.Add(tc.at)); got != tc.held {
				t.Errorf("held %v, want %v", got, tc.held)
			}
		})
	}
}

// TestWantedAgainstNaive compares with a scan of all sets of engines.
func TestWantedAgainstNaive(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	p.Property("wanted engines hold the prompt once they are free, and no fewer do", prop.ForAll(
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
			most := slices.Clone(free)
			slices.SortFunc(most, func(a, b int) int { return b - a })
			least := 100
			for _, a := range got {
				least = min(least, cs[a[0]-'a'].Free)
			}
			return len(got) == need && (need == 0 || least == most[need-1])
		},
		gen.SliceOf(gen.IntRange(0, 100)).Map(func(s []int) []int { return s[:min(len(s), 12)] }), gen.IntRange(0, 1300),
	))
	p.TestingRun(t)
}
