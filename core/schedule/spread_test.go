package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"slipcrank.example/core/schedule"
)

// spreading returns a scheduler that spreads placements, with seeded draws.
func spreading(host uint32, seed uint64) *schedule.Scheduler {
	sc := schedule.New(host, schedule.WithRandom(rand.New(rand.NewPCG(seed, 1)).Float64))
	sc.SetPolicy(schedule.Policy{}.WithSpread(true))
	return sc
}

// fillRemote has another host run so many short streams on each server.
func fillRemote(sc *schedule.Scheduler, running map[string]int) {
	var n uint32
	for server, count := range running {
		for range count {
			n++
			p := schedule.Placement{
				ID: schedule.ID{Host: 99, Number: n}, Service: service.Name, Lead: server,
				Work: short.Work, Gap: short.Gap, Objective: short.Objective,
			}
			sc.AddRunning(p)
			sc.RecordStart(p.ID, 0)
		}
	}
}

// addRate has other hosts make so many placements of the service elsewhere, at once.
func addRate(sc *schedule.Scheduler, perSecond int) {
	for n := range perSecond {
		sc.AddRemote(schedule.Placement{ID: schedule.ID{Host: 98, Number: uint32(n)}, Service: service.Name, Lead: "elsewhere", Work: short.Work})
	}
}

// TestFreeSlotsAreUsedAtHighRates guards against keeping a few slots of each engine empty for
// unseen placements that can't all be on it: at 400 placements per second, four are unseen, on
// 18 engines with three free slots each.
func TestFreeSlotsAreUsedAtHighRates(t *testing.T) {
	sc, ss := spreading(1, 1), servers(18)
	running := map[string]int{}
	for _, s := range ss {
		running[s.ID] = engine.Slots - 3
	}
	fillRemote(sc, running)
	addRate(sc, 400)
	if p := place(t, sc, ss, short); p.FirstToken > short.Objective || p.LateRisk > 0.1 {
		t.Errorf("first token after %v, late with a risk of %.2f, although each engine has three free slots", p.FirstToken, p.LateRisk)
	}
}

// TestScarceSlotsAreRisky guards against many hosts taking the same last slots: with two free
// slots for four unseen placements, a placement is probably late.
func TestScarceSlotsAreRisky(t *testing.T) {
	sc, ss := spreading(1, 1), servers(18)
	running := map[string]int{}
	for i, s := range ss {
		running[s.ID] = engine.Slots
		if i < 2 {
			running[s.ID]--
		}
	}
	fillRemote(sc, running)
	addRate(sc, 400)
	if p := place(t, sc, ss, short); p.LateRisk < 0.1 {
		t.Errorf("late with a risk of %.2f, with two free slots for four unseen placements", p.LateRisk)
	}
}

// TestHostsThatChooseTogetherSpread guards against hosts with the same knowledge choosing the
// same few engines at the same moment. Of 40 hosts, at most as many as there are free slots
// may choose the same engine.
func TestHostsThatChooseTogetherSpread(t *testing.T) {
	chosen := map[string]int{}
	for host := range uint32(40) {
		sc, ss := spreading(host+1, uint64(host)), servers(18)
		running := map[string]int{}
		for _, s := range ss {
			running[s.ID] = engine.Slots - 5
		}
		fillRemote(sc, running)
		addRate(sc, 4000)
		chosen[place(t, sc, ss, short).Lead]++
	}
	for server, n := range chosen {
		if n > 5 {
			t.Errorf("%d of 40 hosts chose %s, which has 5 free slots: %v", n, server, chosen)
		}
	}
}

// TestHostsThatKnowLittleSpread guards against all hosts taking the first engines of the common
// order after a power failure, when none knows of the others' placements.
func TestHostsThatKnowLittleSpread(t *testing.T) {
	for name, tc := range map[string]struct {
		heard float64 // fraction of the other hosts
		most  int     // placements on one engine
	}{
		"has heard from few":      {0.2, 10},
		"has heard from most":     {0.9, 60},
		"has heard from none yet": {0, 10},
	} {
		t.Run(name, func(t *testing.T) {
			chosen := map[string]int{}
			for host := range uint32(60) {
				sc := spreading(host+1, uint64(host))
				sc.SetHeardFraction(tc.heard)
				chosen[place(t, sc, servers(18), short).Lead]++
			}
			most := 0
			for _, n := range chosen {
				most = max(most, n)
			}
			if most > tc.most || tc.heard > 0.5 && len(chosen) > 3 {
				t.Errorf("60 hosts chose %v", chosen)
			}
		})
	}
}

// TestNewsDelayIsMeasured guards against an estimate of unseen placements that ignores how long
// news takes on slow links.
func TestNewsDelayIsMeasured(t *testing.T) {
	const assumed = 10 * time.Millisecond
	sc, ss := spreading(1, 1), servers(2)
	if d := sc.NewsDelay(0); d != assumed {
		t.Errorf("the delay is %v without samples, want %v", d, assumed)
	}
	p := place(t, sc, ss, short)
	sc.RecordReturn(p.ID, 40*time.Millisecond)
	if d := sc.NewsDelay(time.Second); d != 40*time.Millisecond {
		t.Errorf("the delay is %v after a return within 40ms", d)
	}
	sc.RecordReturn(schedule.ID{Host: 7, Number: p.ID.Number}, time.Second)
	sc.RecordReturn(p.ID, 20*time.Second)
	if d := sc.NewsDelay(time.Second); d != 40*time.Millisecond {
		t.Errorf("the delay is %v after returns of others' placements and of lost news", d)
	}
	if d := sc.NewsDelay(time.Minute); d != assumed {
		t.Errorf("the delay is %v a minute after the last sample, want %v", d, assumed)
	}
}

// TestReadingEnginesLeaveNoRoomForShortStreams guards against taking the slots of engines that
// prefill long prompts for room, so that slots don't look scarce although none can be used.
func TestReadingEnginesLeaveNoRoomForShortStreams(t *testing.T) {
	sc, ss := spreading(1, 1), servers(18)
	running := map[string]int{}
	for _, s := range ss[:9] {
		running[s.ID] = engine.Slots
	}
	fillRemote(sc, running)
	for n, s := range ss[9:] {
		sc.AddRemote(schedule.Placement{
			ID: schedule.ID{Host: 3, Number: uint32(n)}, Service: service.Name, Lead: s.ID,
			Work: schedule.Work{Prompt: 300_000, Answer: 700}, Gap: time.Second, FirstToken: 10 * time.Second,
		})
	}
	if p := place(t, sc, ss, short); p.SlotsUsed < 0.99 {
		t.Errorf("%.2f of the slots are in use although no engine can serve the stream in time", p.SlotsUsed)
	}
}

// TestPriceTakesThePlaceOfTheFixedValue guards against refusing long prompts for work that
// nobody asks for.
func TestPriceTakesThePlaceOfTheFixedValue(t *testing.T) {
	busy := func(sc *schedule.Scheduler) float64 {
		for n, s := range servers(18) {
			sc.AddRemote(schedule.Placement{
				ID: schedule.ID{Host: 3, Number: uint32(n)}, Service: service.Name, Lead: s.ID,
				Work: schedule.Work{Prompt: 133_000, Answer: 700}, FirstToken: 10 * time.Second,
			})
		}
		return place(t, sc, servers(18), long).DisplacedRatio
	}
	fixed, free, dear := schedule.New(1), schedule.New(1), schedule.New(1)
	free.SetPrices(map[string]float64{service.Name: 0})
	dear.SetPrices(map[string]float64{service.Name: 20})
	if f, n, d := busy(fixed), busy(free), busy(dear); n >= f || d <= f {
		t.Errorf("displaced ratio %.2f at a fixed value, %.2f at no price, %.2f at a high one", f, n, d)
	}
}
