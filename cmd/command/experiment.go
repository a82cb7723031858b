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
  Simulate a load on a model of engines in virtual time under several admission
  policies, and compare the service that callers get. Built-in scenarios: surge
  (long prompts that need most of 18 engines, followed by many short streams; the
  default) and crowd (one workspace sends many long prompts beside nine others).
  docs/OPERATIONS.md lists the keys of scenario files.

  slipcrank experiment --seeds 20 --policy default,no-late
  slipcrank experiment --scenario crowd --policy no-shares,default
  slipcrank experiment --scenario night.yaml --json`

// retryDisplacementFactor is how many times as much work a retry may displace as
// a first attempt under the policy let-back.
const retryDisplacementFactor = 8

// policies are the admission rules that can be simulated, by name.
var policies = map[string]emulate.Rule{
	"default":      emulate.FromPolicy(admission.Default()),
	"no-late":      emulate.FromPolicy(admission.Default().WithLate(false)),
	"no-shares":    emulate.FromPolicy(admission.Default().WithShares(false)),
	"no-displaced": emulate.FromPolicy(admission.Default().WithDisplaced(false)),
	"let-back":     emulate.FavorRetries(admission.Default().WithLate(false), retryDisplacementFactor),
}

// crowdLongPromptsPerSecond is the rate of long prompts of the overloading
// workspace. It keeps all engines of the scenario prefilling.
const crowdLongPromptsPerSecond = 10

// scenarios are the built-in scenarios, by name.
var scenarios = map[string]emulate.Scenario{
	"":      emulate.Surge(),
	"surge": emulate.Surge(),
	"crowd": emulate.NoisyNeighbor(emulate.Rates{Long: crowdLongPromptsPerSecond}),
}

// comparison is the outcome of the requests of one load under one policy.
type comparison struct {
	Policy string        `json:"policy"`
	Load   string        `json:"load"`
	Count  emulate.Count `json:"count"`
	// InTime is the mean fraction of requests served in time, Gain its mean
	// difference from the first policy on the same seeds, and Error the
	// standard error of Gain.
	InTime float64 `json:"in_time"`
	Gain   float64 `json:"gain"`
	Error  float64 `json:"gain_standard_error"`
}

func experimentCommand() *command {
	var path, names string
	var seeds int
	c := &command{name: "experiment", synopsis: "simulate a load on a model of engines under several admission policies", usage: experimentUsage}
	c.flags = func(f *flag.FlagSet) {
		f.StringVar(&path, "scenario", "", "surge, crowd, or a YAML file with engines and loads")
		f.StringVar(&names, "policy", "default,let-back", "policies to compare; the first is the baseline: "+strings.Join(policyNames(), ", "))
		f.IntVar(&seeds, "seeds", 8, "number of simulated runs of each policy, 2 to 1000")
	}
	c.run = func(_ context.Context, e *env, _ []string) error {
		s, err := loadScenario(path)
		if err != nil {
			return err
		}
		selected := strings.Split(names, ",")
		for _, n := range selected {
			if policies[n] == nil {
				return usageError("there is no policy "+n, "choose from: "+strings.Join(policyNames(), ", "))
			}
		}
		if seeds < 2 || seeds > 1000 {
			return usageError(fmt.Sprintf("invalid number of seeds: %d", seeds), "give --seeds 2 to 1000")
		}
		r := compare(s, selected, uint64(seeds))
		return e.print(r, comparisonTable(r))
	}
	return c
}

func policyNames() []string { return slices.Sorted(maps.Keys(policies)) }

// loadScenario returns the built-in scenario named path, or reads the file at path.
func loadScenario(path string) (emulate.Scenario, error) {
	if s, ok := scenarios[path]; ok {
		return s, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return emulate.Scenario{}, fault.Newf(fault.BadRequest, "give a readable file or the name of a built-in scenario", "the scenario can't be read: %v", err)
	}
	var s emulate.Scenario
	return s, settings.ParseInto(b, &s)
}

// compare simulates each policy on the same seeds.
func compare(s emulate.Scenario, names []string, seeds uint64) []comparison {
	fractions := map[string][]float64{} // by policy and load
	var out []comparison
	for _, name := range names {
		total := emulate.Results{}
		for seed := range seeds {
			results := emulate.Run(s, policies[name], seed)
			for _, l := range s.Loads {
				total[l.Name] = total[l.Name].Add(results[l.Name])
				fractions[name+l.Name] = append(fractions[name+l.Name], results[l.Name].InTimeFraction())
			}
		}
		for _, l := range s.Loads {
			inTime, baseline := fractions[name+l.Name], fractions[names[0]+l.Name]
			gains := make([]float64, len(inTime))
			for i := range inTime {
				gains[i] = inTime[i] - baseline[i]
			}
			mean, deviation := stat.MeanStdDev(gains, nil)
			out = append(out, comparison{
				Policy: name, Load: l.Name, Count: total[l.Name],
				InTime: stat.Mean(inTime, nil), Gain: mean, Error: deviation / math.Sqrt(float64(len(gains))),
			})
		}
	}
	return out
}

func comparisonTable(cs []comparison) table {
	t := table{header: []string{"POLICY", "LOAD", "ASKED", "IN TIME", "LATE", "REFUSED", "PART IN TIME", "GAIN", "STANDARD ERROR"}}
	for _, c := range cs {
		t.rows = append(t.rows, []string{
			c.Policy, c.Load, fmt.Sprint(c.Count.Asked), fmt.Sprint(c.Count.InTime), fmt.Sprint(c.Count.Late),
			fmt.Sprint(c.Count.Refused), fmt.Sprintf("%.3f", c.InTime), fmt.Sprintf("%+.3f", c.Gain), fmt.Sprintf("%.3f", c.Error),
		})
	}
	return t
}
