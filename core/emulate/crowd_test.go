package emulate_test

import (
	"testing"
	"time"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
	"slipcrank.example/core/site"
)

// crowd is what one workspace asks for from the third second on, a second,
// beside nine others.
type crowd struct{ long, middle, short float64 }

// crowded is nine workspaces that use a fifth of the engines' reading and two
// fifths of their slots, and a tenth that crowds.
func crowded(c crowd) emulate.Scenario {
	const engines, begin, end = 30, 3 * time.Second, 13 * time.Second
	loads := func(group string, n int, from time.Duration, c crowd) []emulate.Load {
		kinds := []emulate.Load{
			{Name: "long", Rate: c.long, Prompt: 190_000, Answer: 750, Objective: 3 * time.Second, Gap: time.Second},
			{Name: "middle", Rate: c.middle, Prompt: 45_000, Answer: 900, Objective: 1500 * time.Millisecond, Gap: 600 * time.Millisecond},
			{Name: "short", Rate: c.short, Prompt: 4_960, Answer: 1_500, Objective: 400 * time.Millisecond, Gap: 250 * time.Millisecond},
		}
		var out []emulate.Load
		for _, l := range kinds {
			if l.Rate > 0 {
				l.Name, l.Group, l.Workspaces, l.From, l.Until = group+" "+l.Name, group, n, from, end
				out = append(out, l)
			}
		}
		return out
	}
	return emulate.Scenario{
		Engines: engines,
		Engine: site.Engine{
			Slots: 10, Memory: 232_000, Stride: 68, Step: 1020 * time.Microsecond, PerWriter: 2260 * time.Nanosecond,
			PerContext: 4310 * time.Nanosecond, ReadRate: 206_000, PerPairs: 138 * time.Microsecond, Chunk: 2048,
			UsualPrompt: 12_331, UsualAnswer: 1_303,
		},
		Wait:  15 * time.Second,
		Loads: append(loads("others", 9, 0, crowd{0.8, 2, 40}), loads("crowd", 1, begin, c)...),
	}
}

// TestCrowdLeavesOthersTheirPart has one workspace ask for many times its usual.
// Others get nearly what they get without it; where the engines are judged by
// prompts alone they don't.
func TestCrowdLeavesOthersTheirPart(t *testing.T) {
	for name, tc := range map[string]struct {
		crowd crowd
		least map[string]float64 // in time, of the others' requests
		below map[string]float64 // without shares
		gets  map[string]float64 // what the crowd still gets
	}{
		"long prompts": {
			crowd{long: 10},
			map[string]float64{"others long": 0.75, "others middle": 0.9, "others short": 0.98},
			map[string]float64{"others long": 0.7},
			map[string]float64{"crowd long": 0.4},
		},
		"short streams": {
			crowd{short: 150},
			map[string]float64{"others long": 0.5, "others middle": 0.97, "others short": 0.85},
			map[string]float64{"others long": 0.4, "others middle": 0.7, "others short": 0.75},
			map[string]float64{"crowd short": 0.4},
		},
		"as much as another": {
			crowd{0.1, 0.2, 4},
			map[string]float64{"others long": 0.95, "others middle": 0.99, "others short": 0.99},
			nil,
			map[string]float64{"crowd short": 0.99},
		},
	} {
		t.Run(name, func(t *testing.T) {
			with := sum(crowded(tc.crowd), admission.Default())
			t.Logf("with shares %v", with)
			for _, bounds := range []map[string]float64{tc.least, tc.gets} {
				for load, least := range bounds {
					if part := with[load].Part(); part < least {
						t.Errorf("%.3f of %s are in time, want %.2f", part, load, least)
					}
				}
			}
			if tc.below == nil {
				return
			}
			without := sum(crowded(tc.crowd), admission.Default().WithShares(false))
			t.Logf("without %v", without)
			for load, most := range tc.below {
				if part := without[load].Part(); part > most {
					t.Errorf("without shares %.3f of %s are in time: the load does not crowd", part, load)
				}
			}
		})
	}
}

// sum plays a few days of a scenario and adds up what callers got.
func sum(s emulate.Scenario, p admission.Policy) emulate.Day {
	const days = 2
	out := emulate.Day{}
	for seed := range uint64(days) {
		for name, c := range emulate.Play(s, emulate.Judge(p), seed) {
			out[name] = out[name].With(c)
		}
	}
	return out
}
