package policy_test

import (
	"flag"
	"math"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"slipcrank.example/cmd/policy"
)

var (
	seconds = flag.Float64("policy.seconds", 10, "virtual seconds of each run")
	rate    = flag.Float64("policy.rate", 110, "requests a second")
)

func simulate(t *testing.T, s policy.Scenario, p policy.Policy) policy.Result {
	t.Helper()
	var r policy.Result
	synctest.Test(t, func(*testing.T) { r = policy.Run(s, p) })
	return r
}

func logResult(t *testing.T, label string, r policy.Result) {
	t.Helper()
	t.Logf("%-20s %-12s short %7.0f %7.0f %7.0f  mid %7.0f %7.0f  long %7.0f %7.0f ms  refused %d of %d  prefilled %dM, wasted %.1f%%",
		r.Policy, label,
		ms(r, policy.Short, 50), ms(r, policy.Short, 95), ms(r, policy.Short, 99),
		ms(r, policy.Mid, 50), ms(r, policy.Mid, 95), ms(r, policy.Long, 50), ms(r, policy.Long, 95),
		r.Refused, r.Sent, r.PrefillTokens/1_000_000, 100*r.WastedFraction())
}

func ms(r policy.Result, b policy.Bucket, q float64) float64 {
	return float64(r.Quantile(b, q).Microseconds()) / 1000
}

// TestPolicies compares the policies under the same arrivals. The bounds leave room
// for the order in which the runtime runs timers that expire at the same time.
func TestPolicies(t *testing.T) {
	s := policy.DefaultScenario().WithRate(*rate)
	s.Seconds = *seconds
	others := []policy.Policy{
		policy.RoundRobin(), policy.LeastReported(), policy.TwoChoices(),
		policy.RoundRobin().WithUrgency(), policy.LeastReported().WithUrgency(), policy.TwoChoices().WithUrgency(),
	}
	ours := simulate(t, s, policy.Owners())
	logResult(t, "mixed", ours)
	for _, p := range others {
		r := simulate(t, s, p)
		logResult(t, "mixed", r)
		if ms(r, policy.Short, 99)*1.05 < ms(ours, policy.Short, 99) {
			t.Errorf("%s has a lower p99 of short requests than owners", p.Name)
		}
		if ms(r, policy.Long, 95)*1.1 < ms(ours, policy.Long, 95) {
			t.Errorf("%s has a lower p95 of long requests than owners", p.Name)
		}
	}
	alone := simulate(t, s.WithShortOnly(), policy.Owners())
	logResult(t, "short alone", alone)
	slowdown := ms(ours, policy.Short, 99) / ms(alone, policy.Short, 99)
	t.Logf("slowdown of short requests at p99: %.2f", slowdown)
	if slowdown > 1.3 {
		t.Errorf("long requests raise the p99 of short ones by a factor of %.2f, want at most 1.3", slowdown)
	}
	if ours.Finished != ours.Sent {
		t.Errorf("%d of %d requests finished; reviews may wait but not vanish", ours.Finished, ours.Sent)
	}
}

// TestOverload compares the requests finished in time at 1.5 times the saturating
// rate with those at saturation.
func TestOverload(t *testing.T) {
	const saturation = 180
	s := policy.DefaultScenario().WithTimeouts(2*time.Second, 10*time.Second, time.Minute)
	s.Seconds = *seconds
	for _, p := range []policy.Policy{policy.TwoChoices().WithUrgency(), policy.Owners()} {
		saturated := simulate(t, s.WithRate(saturation), p)
		overloaded := simulate(t, s.WithRate(saturation*3/2), p)
		logResult(t, "saturation", saturated)
		logResult(t, "overload", overloaded)
		ratio := float64(overloaded.InTime) / float64(saturated.InTime)
		t.Logf("%s: in time %.1f/s at saturation, %.1f/s at 1.5 times: %.2f", p.Name,
			float64(saturated.InTime)/s.Seconds, float64(overloaded.InTime)/s.Seconds, ratio)
		if p.Name == policy.Owners().Name && overloaded.WastedFraction() > 0.2 {
			t.Errorf("%.0f%% of the prefill at overload is for requests that miss their deadline", 100*overloaded.WastedFraction())
		}
		if p.Name == policy.Owners().Name && ratio < 0.95 {
			t.Errorf("goodput falls to %.2f of that at saturation at 1.5 times the load", ratio)
		}
	}
}

// fraction returns m[key] as a fraction of the sum of m.
func fraction(m map[string]float64, key string) float64 {
	sum := 0.0
	for _, v := range m {
		sum += v
	}
	return m[key] / sum
}

// TestShares checks that three workspaces, each of which demands more than the
// whole capacity, get throughput in proportion to their shares.
func TestShares(t *testing.T) {
	shares := []float64{0.5, 0.3, 0.2}
	s := policy.DefaultScenario().WithShares(shares...).WithRate(600).WithTimeouts(time.Hour, time.Hour, time.Hour)
	s.Seconds = *seconds
	for _, p := range []policy.Policy{policy.TwoChoices().WithUrgency(), policy.Owners()} {
		r := simulate(t, s, p)
		worstFinished, worstUncached := 0.0, 0.0
		for i, want := range shares {
			got, worked := fraction(r.FinishedTokens, strconv.Itoa(i)), fraction(r.UncachedTokens, strconv.Itoa(i))
			worstFinished = max(worstFinished, math.Abs(got-want))
			worstUncached = max(worstUncached, math.Abs(worked-want)/want)
			t.Logf("%s: workspace %d got %.3f, of the engines' work %.3f, its share is %.3f", p.Name, i, got, worked, want)
		}
		if p.Name == policy.Owners().Name && worstFinished > 0.05 {
			t.Errorf("a workspace's fraction of the finished tokens differs by %.3f from its share", worstFinished)
		}
		if p.Name == policy.Owners().Name && worstUncached > 0.08 {
			t.Errorf("a workspace's fraction of the uncached tokens differs by %.0f%% from its share", 100*worstUncached)
		}
	}
}

// TestUnequalEngines has every third engine prefill at a quarter of the rate, which
// the policies have to find out by themselves.
func TestUnequalEngines(t *testing.T) {
	s := policy.DefaultScenario().WithRate(75).WithSlowEvery(3)
	s.Seconds = *seconds
	twoChoices := simulate(t, s, policy.TwoChoices().WithUrgency())
	ours := simulate(t, s, policy.Owners())
	logResult(t, "unequal", twoChoices)
	logResult(t, "unequal", ours)
	if ms(ours, policy.Mid, 95) > 1.05*ms(twoChoices, policy.Mid, 95) {
		t.Error("two choices has a lower p95 of mid requests than owners")
	}
}

// TestBusySmallFleet runs six engines at about their full capacity, much of it used
// by prompts that fill most of an engine's memory. It guards against long prompts
// that, once they have waited, block short ones on whole engines.
func TestBusySmallFleet(t *testing.T) {
	const firstSeed, lastSeed = 5, 8
	s := policy.DefaultScenario().WithRate(22).WithTimeouts(time.Minute, time.Minute, time.Minute)
	s.Engines, s.EntryHosts, s.LongMaxTokens = 6, 4, 390_000
	s.Seconds = max(*seconds, 200) // earlier, few prompts have waited for long
	slowdown := 0.0
	for seed := uint64(firstSeed); seed <= lastSeed; seed++ {
		s := s.WithSeed(seed)
		mixed, alone := simulate(t, s, policy.Owners()), simulate(t, s.WithShortOnly(), policy.Owners())
		logResult(t, "busy", mixed)
		slowdown += ms(mixed, policy.Short, 99) / ms(alone, policy.Short, 99) / (lastSeed - firstSeed + 1)
		if mixed.Finished != mixed.Sent {
			t.Errorf("%d of %d requests finished; reviews may wait but not vanish", mixed.Finished, mixed.Sent)
		}
	}
	t.Logf("slowdown of short requests at p99, mean of the seeds: %.2f", slowdown)
	if slowdown > 4 {
		t.Errorf("long requests that have waited raise the p99 of short ones by a factor of %.2f, want at most 4", slowdown)
	}
}
