package emulate

import (
	"time"

	"slipcrank.example/core/site"
)

// Rates are the numbers of prompts a second of 190,000, of 45,000 and of 5,000
// tokens.
type Rates struct{ Long, Middle, Short float64 }

// NoisyNeighbor returns a scenario in which one workspace overloads the engines that
// it shares with others. Nine workspaces use a sixth of the prefill time of 30 engines
// and a quarter of their slots; from the third second on a tenth workspace sends
// requests at the given rates.
func NoisyNeighbor(r Rates) Scenario {
	const begin, end = 3 * time.Second, 13 * time.Second
	others := Rates{Long: 0.8, Middle: 2, Short: 40}
	return Scenario{
		Engines: 30,
		Engine: site.Engine{
			Slots: 10, Memory: 232_000, StepsPerPass: 68, StepTime: 1020 * time.Microsecond, StepTimePerRequest: 2260 * time.Nanosecond,
			StepTimePerContext: 4310 * time.Nanosecond, PrefillRate: 206_000, PrefillTimePerPairs: 138 * time.Microsecond, PrefillChunk: 2048,
			UsualPrompt: 12_331, UsualAnswer: 1_303,
		},
		Wait:  15 * time.Second,
		Loads: append(others.loads("others", 9, 0, end), r.loads("crowd", 1, begin, end)...),
	}
}

// loads returns the loads of a group of workspaces at these rates, without those
// whose rate is zero.
func (r Rates) loads(group string, workspaces int, from, until time.Duration) []Load {
	var out []Load
	for _, l := range []Load{
		{Name: "long", Rate: r.Long, Prompt: 190_000, Answer: 750, Objective: 3 * time.Second, Gap: time.Second},
		{Name: "middle", Rate: r.Middle, Prompt: 45_000, Answer: 900, Objective: 1500 * time.Millisecond, Gap: 600 * time.Millisecond},
		{Name: "short", Rate: r.Short, Prompt: 4_960, Answer: 1_500, Objective: 400 * time.Millisecond, Gap: 250 * time.Millisecond},
	} {
		if l.Rate == 0 {
			continue
		}
		l.Name, l.Group, l.Workspaces, l.From, l.Until = group+" "+l.Name, group, workspaces, from, until
		out = append(out, l)
	}
	return out
}
