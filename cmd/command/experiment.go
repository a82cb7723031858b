package command

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"

	"slipcrank.example/core/admission"
	"slipcrank.example/core/emulate"
	"slipcrank.example/core/fault"
	"slipcrank.example/daemon/settings"
)

const experimentUsage = `experiment
  Play a load on a model of engines in virtual time, by several rules of
  admission, and compare what callers get. Scenarios that are there: surge (long
  prompts that ask for most of 18 engines, and then many short streams; the usual
  one) and crowd (one workspace sends many long prompts beside nine others).
  docs/OPERATIONS.md has the keys of a scenario of your own.

  slipcrank experiment --seeds 20 --policy default,no-late
  slipcrank experiment --scenario crowd --policy no-shares,default
  slipcrank experiment --scenario night.yaml --json`

// letBackTimes is by how many times callers that come back may displace their
// worth under the policy let-back.
const letBackTimes = 8

// policies are the rules of admission that can be played, by name.
var policies = map[string]emulate.Rule{
	"default":      emulate.FromPolicy(admission.Default()),
	"no-late":      emulate.FromPolicy(admission.Default().WithLate(false)),
	"no-shares":    emulate.FromPolicy(admission.Default().WithShares(false)),
	"no-displaced": emulate.FromPolicy(admission.Default().WithDisplaced(false)),
	"let-back":     emulate.FavorRetries(admission.Default().WithLate(false), letBackTimes),
}

// crowdRate is how many long prompts a second the crowding workspace sends: as
// many as keep all engines of the scenario reading.
const crowdRate = 10

// scenarios are those that can be named instead of a file.
var scenarios = map[string]emulate.Scenario{
	"":      emulate.Surge(),
	"surge": emulate.Surge(),
	"crowd": emulate.NoisyNeighbor(emulate.Rates{Long: crowdRate}),
}

// comparison is how one kind of request fared by one policy.
type comparison struct {
	Policy string        `json:"policy"`
	Load   string        `json:"load"`
	Count  emulate.Count `json:"count"`
	// InTime is the mean part that was served in time, Gain that beside the
	// first policy on the same seeds, and Error its standard error.
	InTime float64 `json:"in_time"`
	Gain   float64 `json:"gain"`
	Error  float64 `json:"gain_standard_error"`
}

func experimentCommand() *command {
	var path, names string
	var seeds int
	c := &command{name: "experiment", synopsis: "play a load on a model of engines, by several rules", usage: experimentUsage}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&path, "scenario", "", "surge, crowd, or a YAML file with engines and loads")
		f.StringVar(&names, "policy", "default,let-back", "rules to compare with the first: "+strings.Join(policyNames(), ", "))
		f.IntVar(&seeds, "seeds", 8, "how many days are played by each rule, 2 to 1000")
	}
	c.run = func(_ context.Context, e *env, _ []string) error {
		s, err := scenario(path)
		if err != nil {
			return err
		}
		chosen := strings.Split(names, ",")
		for _, n := range chosen {
			if policies[n] == nil {
				return usageError("there is no policy "+n, "use some of: "+strings.Join(policyNames(), ", "))
			}
		}
		if seeds < 2 || seeds > 1000 {
			return usageError(fmt.Sprintf("%d seeds can't be played", seeds), "give --seeds 2 to 1000")
		}
		r := compare(s, chosen, uint64(seeds))
		return e.print(r, comparisonTable(r))
	}
	return c
}

func policyNames() []string { return slices.Sorted(maps.Keys(policies)) }

// scenario returns a scenario that is there, or reads one from a file.
func scenario(path string) (emulate.Scenario, error) {
	if s, ok := scenarios[path]; ok {
		return s, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return emulate.Scenario{}, fault.Newf(fault.BadRequest, "give a file that can be read", "the scenario can't be read: %v", err)
	}
	var s emulate.Scenario
	return s, settings.ParseInto(b, &s)
}

// compare plays each policy on the same seeds.
func compare(s emulate.Scenario, names []string, seeds uint64) []comparison {
	parts := map[string][]float64{} // by policy and load
	var out []comparison
	for _, name := range names {
		total := emulate.Results{}
		for seed := range seeds {
			day := emulate.Run(s, policies[name], seed)
			for _, l := range s.Loads {
				total[l.Name] = total[l.Name].Add(day[l.Name])
				parts[name+l.Name] = append(parts[name+l.Name], day[l.Name].InTimeFraction())
			}
		}
		for _, l := range s.Loads {
			own, first := parts[name+l.Name], parts[names[0]+l.Name]
			gains := make([]float64, len(own))
			for i := range own {
				gains[i] = own[i] - first[i]
			}
			mean, deviation := stat.MeanStdDev(gains, nil)
			out = append(out, comparison{
				Policy: name, Load: l.Name, Count: total[l.Name],
				InTime: stat.Mean(own, nil), Gain: mean, Error: deviation / math.Sqrt(float64(len(gains))),
			})
		}
	}
	return out
}

func comparisonTable(cs []comparison) table {
	t := table{head: []string{"POLICY", "LOAD", "ASKED", "IN TIME", "LATE", "REFUSED", "PART IN TIME", "GAIN", "STANDARD ERROR"}}
	for _, c := range cs {
		t.rows = append(t.rows, []string{
			c.Policy, c.Load, fmt.Sprint(c.Count.Asked), fmt.Sprint(c.Count.InTime), fmt.Sprint(c.Count.Late),
			fmt.Sprint(c.Count.Refused), fmt.Sprintf("%.3f", c.InTime), fmt.Sprintf("%+.3f", c.Gain), fmt.Sprintf("%.3f", c.Error),
		})
	}
	return t
}
