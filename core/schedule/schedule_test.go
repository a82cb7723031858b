package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// engine is the one that the users publish.
var engine = &site.Engine{
	Slots: 16, Memory: 232_000, Stride: 43,
	Step: 1020 * time.Microsecond, PerWriter: 2260 * time.Nanosecond, PerContext: 4310 * time.Nanosecond,
	ReadRate: 206_000, PerPairs: 138 * time.Microsecond, Chunk: 2048,
	UsualPrompt: 12_331, UsualAnswer: 1303,
}

var (
	service = site.Service{Name: "model", Engine: engine}
	short   = schedule.Request{
		Work:      schedule.Work{Prompt: 5000, Answer: 1400},
		Objective: 300 * time.Millisecond, Gap: 250 * time.Millisecond,
	}
	long = schedule.Request{
		Work:      schedule.Work{Prompt: 133_000, Answer: 700},
		Objective: 2500 * time.Millisecond, Gap: time.Second,
	}
)

func servers(n int) []backend.Server {
	var ss []backend.Server
	for i := range n {
		ss = append(ss, backend.Server{ID: fmt.Sprintf("s%02d", i), Service: service.Name, Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i), Slots: engine.Slots})
	}
	return ss
}

func place(t *testing.T, b *schedule.Scheduler, ss []backend.Server, r schedule.Request) schedule.Placement {
	t.Helper()
	p, ok := b.Place(0, service, ss, r)
	if !ok {
		t.Fatal("no server was found")
	}
	return p
}

func TestShortStreamsStayTogether(t *testing.T) {
	b := schedule.New(1)
	used := map[string]int{}
	for range 12 {
		p := place(t, b, servers(18), short)
		b.RecordStart(p.ID, 0)
		used[p.Lead]++
	}
	if len(used) > 2 {
		t.Errorf("12 short streams are on %d engines, want at most 2: %v", len(used), used)
	}
}

// TestSlotsAreLeftForWhatIsNotKnownYet has one engine with two free slots
// and others that are idle.
func TestSlotsAreLeftForWhatIsNotKnownYet(t *testing.T) {
	for name, tc := range map[string]struct {
		perSecond int // placements by other hosts
		idle      bool
	}{
		"few placements":  {10, false},
		"many placements": {400, true},
	} {
		t.Run(name, func(t *testing.T) {
			b, ss := schedule.New(1), servers(6)
			hear := func(n int, server string) {
				p := schedule.Placement{
					ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: server,
					Work: short.Work, Gap: short.Gap, Objective: short.Objective,
				}
				b.AddRemote(p)
				b.RecordStart(p.ID, 0)
			}
			for n := range engine.Slots - 2 {
				hear(n, ss[0].ID)
			}
			for n := range tc.perSecond {
				hear(100+n, "elsewhere")
			}
			if p := place(t, b, ss, short); (p.Lead != ss[0].ID) != tc.idle {
				t.Errorf("the stream is on %s", p.Lead)
			}
		})
	}
}

// TestOwnPlacementsAreKnown has a host refuse hundreds of streams that it has
// chosen engines for: they are no sign that others place as many unheard.
func TestOwnPlacementsAreKnown(t *testing.T) {
	b, ss := schedule.New(1), servers(6)
	for n := range engine.Slots - 2 {
		b.AddRemote(schedule.Placement{
			ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: ss[0].ID,
			Work: short.Work, Gap: short.Gap, Objective: short.Objective,
		})
		b.RecordStart(schedule.ID{Host: 2, Number: uint32(n)}, 0)
	}
	for range 400 {
		b.RecordEnd(place(t, b, ss, short).ID)
	}
	if p := place(t, b, ss, short); p.Lead != ss[0].ID {
		t.Errorf("the stream is on %s, which is idle, beside two free slots", p.Lead)
	}
}

// TestHostsThatChooseAtOnceDiffer has many hosts see the same two engines that
// already have streams.
func TestHostsThatChooseAtOnceDiffer(t *testing.T) {
	ss, leads := servers(6), map[string]int{}
	for host := range uint32(60) {
		b := schedule.New(host + 10)
		for n := range 2 {
			b.AddRemote(schedule.Placement{
				ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: ss[n].ID,
				Work: short.Work, Gap: short.Gap, Objective: short.Objective,
			})
		}
		leads[place(t, b, ss, short).Lead]++
	}
	if len(leads) != 2 {
		t.Errorf("60 hosts took %v, want both engines and no idle one", leads)
	}
}

func TestLongPromptSparesShortStreams(t *testing.T) {
	b := schedule.New(1)
	ss := servers(18)
	busy := map[string]bool{}
	for range 30 {
		p := place(t, b, ss, short)
		b.RecordStart(p.ID, 0)
		busy[p.Lead] = true
	}
	// Even in 18 parts, reading this takes longer than short streams endure.
	r := long
	r.Work.Prompt = 230_000
	p := place(t, b, ss, r)
	if p.FirstToken > r.Objective {
		t.Errorf("the long prompt is predicted after %v, over its objective", p.FirstToken)
	}
	for _, s := range append([]string{p.Lead}, p.Helpers...) {
		if busy[s] {
			t.Errorf("the long prompt is read on %s beside short streams", s)
		}
	}
	if len(p.Helpers) == 0 {
		t.Error("the long prompt is read by one engine although others are idle")
	}
}

// TestLongPromptsDisplaceWhereEnginesAreBusy has other long prompts be read,
// each by one engine.
func TestLongPromptsDisplaceWhereEnginesAreBusy(t *testing.T) {
	for name, tc := range map[string]struct {
		busy      int // of 18 engines
		displaces bool
	}{
		"no engine busy":      {0, false},
		"a third of them":     {6, false},
		"nearly all of them":  {16, true},
		"each of the engines": {18, true},
	} {
		t.Run(name, func(t *testing.T) {
			b, ss := schedule.New(1), servers(18)
			for n := range tc.busy {
				b.AddRemote(schedule.Placement{
					ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: ss[n].ID,
					Work: long.Work, Gap: long.Gap, Objective: long.Objective,
				})
			}
			r := long
			r.Work.Prompt = 230_000
			if p := place(t, b, ss, r); (p.DisplacementRatio > 1) != tc.displaces {
				t.Errorf("it displaces %.2f times its value", p.DisplacementRatio)
			}
		})
	}
}

func TestFullEnginesLeadNothingMore(t *testing.T) {
	for name, tc := range map[string]struct {
		request schedule.Request
		fill    int // of two engines, requests that fill one
	}{
		"slots":  {short, 16},
		"memory": {long, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := schedule.New(1)
			led := map[string]int{}
			for range 2 * tc.fill {
				p := place(t, b, servers(2), tc.request)
				b.RecordStart(p.ID, 0)
				led[p.Lead]++
			}
			for s, n := range led {
				if n > tc.fill {
					t.Errorf("%s leads %d requests, room is for %d", s, n, tc.fill)
				}
			}
		})
	}
}

// TestDrawsSpareFullEngines has draws of twenty kinds choose among engines that
// cost nearly the least.
func TestDrawsSpareFullEngines(t *testing.T) {
	for seed := range uint64(20) {
		b := schedule.New(1, schedule.WithRandom(rand.New(rand.NewPCG(seed, 1)).Float64))
		led := map[string]int{}
		for range 2 * engine.Slots {
			p := place(t, b, servers(2), short)
			b.RecordStart(p.ID, 0)
			led[p.Lead]++
		}
		for s, n := range led {
			if n > engine.Slots {
				t.Errorf("seed %d: %s leads %d streams on %d slots beside free ones", seed, s, n, engine.Slots)
			}
		}
	}
}

func TestFailedServersRest(t *testing.T) {
	b := schedule.New(1)
	ss := servers(3)
	first := place(t, b, ss, short)
	b.RecordEnd(first.ID)
	rest := b.RecordFailure(first.Lead, 0)
	if p := place(t, b, ss, short); p.Lead == first.Lead {
		t.Errorf("%s got a request while it rests", p.Lead)
	}
	p, _ := b.Place(rest+time.Millisecond, service, ss[:1], short)
	if p.Lead != ss[0].ID {
		t.Errorf("the only server is not used, got %q", p.Lead)
	}
}

func TestNewsOfOtherHostsCounts(t *testing.T) {
	ss := servers(2)
	here, there := schedule.New(1), schedule.New(2)
	p := place(t, there, ss, long)
	here.AddRemote(p)
	if own := place(t, here, ss, long); own.Lead == p.Lead {
		t.Errorf("both hosts lead from %s", own.Lead)
	}
	here.RecordEnd(p.ID)
	if n := here.PlacementCount(p.Lead); n > 1 {
		t.Errorf("%s still has %d placements after the end was heard", p.Lead, n)
	}
}

func TestRequestAvoidsServersThatFailedIt(t *testing.T) {
	r := short
	r.Avoid = map[string]bool{"s00": true}
	p := place(t, schedule.New(1), servers(2), r)
	if slices.Contains(append(p.Helpers, p.Lead), "s00") {
		t.Error("a server that failed the request got it again")
	}
}

func TestPlacementsOfSilentHostsAreForgotten(t *testing.T) {
	const told = time.Second
	for name, tc := range map[string]struct {
		now  time.Duration
		want int
	}{
		"heard of a moment ago": {told + time.Second, 1},
		"silent for long":       {told + 5*time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			ss := servers(1)
			here, there := schedule.New(1), schedule.New(2)
			p := place(t, there, ss, short)
			p.PlacedAt = told
			here.RecordContact(p.ID.Host, told)
			here.AddRemote(p)
			here.Expire(tc.now)
			if n := here.PlacementCount(p.Lead); n != tc.want {
				t.Errorf("%d placements of the other host count, want %d", n, tc.want)
			}
		})
	}
}

func TestServersThatFailMoreThanOthersRest(t *testing.T) {
	for name, tc := range map[string]struct {
		usual, own int // one of so many answers is a failure; 0 for none
		rests      bool
	}{
		"as often as the others":   {7, 7, false},
		"never, as the others":     {0, 0, false},
		"every second one":         {7, 2, true},
		"every second, others not": {0, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := schedule.New(1)
			fails := func(n, of int) bool { return of > 0 && n%of == of-1 }
			rests := false
			for n := range 60 {
				for _, s := range []string{"a", "b", "c", "d"} {
					b.RecordAnswer("s", s, fails(n, tc.usual), 0)
				}
				if b.RecordAnswer("s", "own", fails(n, tc.own), 0) > 0 {
					rests = true
				}
			}
			if rests != tc.rests {
				t.Errorf("it rests: %v, want %v", rests, tc.rests)
			}
		})
	}
}

func TestSlowEnginesGetLess(t *testing.T) {
	b := schedule.New(1)
	ss := servers(2)
	first := place(t, b, ss, short)
	b.RecordEnd(first.ID)
	for range 30 {
		b.RecordPass(first.Lead, 8*first.PassTime, first.PassTime, 0)
	}
	other := place(t, b, ss, short)
	if other.Lead == first.Lead {
		t.Errorf("%s got the request although it is eight times as slow", first.Lead)
	}
	b.RecordEnd(other.ID)
	// After a while without news it is tried again.
	p, _ := b.Place(time.Minute, service, ss[:1], short)
	if p.FirstToken > 2*first.FirstToken {
		t.Errorf("after a minute %v is predicted, at first %v", p.FirstToken, first.FirstToken)
	}
}

func TestPromptInTimeAloneGetsNoHelpers(t *testing.T) {
	r := short
	r.Work.Prompt = 10_000
	if p := place(t, schedule.New(1), servers(18), r); len(p.Helpers) > 0 {
		t.Errorf("%d helpers for a prompt that one engine reads in time", len(p.Helpers))
	}
}

// TestServerThatOthersReportRests has other hosts report servers.
func TestServerThatOthersReportRests(t *testing.T) {
	for name, tc := range map[string]struct {
		hosts   []uint32
		servers int // that each of them reports
		serves  int // of those, to others
		after   time.Duration
		rests   bool
	}{
		"one host":                           {[]uint32{2}, 1, 0, 0, false},
		"one host twice":                     {[]uint32{2, 2}, 1, 0, 0, false},
		"two hosts":                          {[]uint32{2, 3}, 1, 0, 0, true},
		"a hall that is cut off from two":    {[]uint32{2, 3, 4}, 12, 0, 0, true},
		"two hosts, a while ago":             {[]uint32{2, 3}, 1, 0, 3 * time.Second, false},
		"two hosts without a way to servers": {[]uint32{2, 3}, 18, 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			ss, chosen := servers(18), false
			for range 40 { // one of the three best engines is drawn
				b := schedule.New(1)
				for n := range tc.servers {
					// The first server is reported last.
					server := ss[tc.servers-1-n].ID
					for _, h := range tc.hosts {
						b.RecordRemoteFailure(h, server, 0)
					}
					if n < tc.serves {
						b.RecordAnswer(service.Name, server, false, 0)
					}
				}
				p, ok := b.Place(tc.after, service, ss, short)
				chosen = chosen || ok && p.Lead == ss[0].ID
			}
			if chosen == tc.rests {
				t.Errorf("the server rests: %v, want %v", !chosen, tc.rests)
			}
		})
	}
}
