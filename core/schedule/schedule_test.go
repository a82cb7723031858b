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

// engine is the published performance model of the engines.
var engine = &site.Engine{
	Slots: 16, Memory: 232_000, StepsPerPass: 43,
	StepTime: 1020 * time.Microsecond, StepTimePerRequest: 2260 * time.Nanosecond, StepTimePerContext: 4310 * time.Nanosecond,
	PrefillRate: 206_000, PrefillTimePerPairs: 138 * time.Microsecond, PrefillChunk: 2048,
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

func place(t *testing.T, sc *schedule.Scheduler, ss []backend.Server, r schedule.Request) schedule.Placement {
	t.Helper()
	p, ok := sc.Place(0, service, ss, r)
	if !ok {
		t.Fatal("no server takes the request")
	}
	return p
}

// TestShortStreamsShareEngines guards against streams on many engines where hardly any placement
// is unseen: long prompts need engines without streams.
func TestShortStreamsShareEngines(t *testing.T) {
	for name, sc := range map[string]*schedule.Scheduler{"ranked": schedule.New(1), "spread": spreading(1, 1)} {
		t.Run(name, func(t *testing.T) {
			used := map[string]int{}
			for range 12 {
				p := place(t, sc, servers(18), short)
				sc.RecordStart(p.ID, 0)
				used[p.Lead]++
			}
			if len(used) > 2 {
				t.Errorf("12 short streams are on %d engines, want at most 2: %v", len(used), used)
			}
		})
	}
}

// TestUnseenPlacementsTakeFreeSlots places a stream where one engine has two free slots
// and the others are idle. At a high rate of placements by other hosts, some that aren't
// known yet have probably taken the two slots, so the stream has to go to an idle engine.
func TestUnseenPlacementsTakeFreeSlots(t *testing.T) {
	for name, tc := range map[string]struct {
		perSecond int // placements by other hosts
		idle      bool
	}{
		"few placements":  {10, false},
		"many placements": {400, true},
	} {
		t.Run(name, func(t *testing.T) {
			sc, ss := schedule.New(1), servers(6)
			addRemote := func(n int, server string) {
				p := schedule.Placement{
					ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: server,
					Work: short.Work, Gap: short.Gap, Objective: short.Objective,
				}
				sc.AddRemote(p)
				sc.RecordStart(p.ID, 0)
			}
			for n := range engine.Slots - 2 {
				addRemote(n, ss[0].ID)
			}
			for n := range tc.perSecond {
				addRemote(100+n, "elsewhere")
			}
			if p := place(t, sc, ss, short); (p.Lead != ss[0].ID) != tc.idle {
				t.Errorf("the stream is on %s", p.Lead)
			}
		})
	}
}

// TestOwnPlacementsAreNotUnseen has a host end hundreds of streams right after it has
// placed them, as when it refuses them. They must not count towards the rate from which
// unseen placements of other hosts are estimated, which would keep free slots empty.
func TestOwnPlacementsAreNotUnseen(t *testing.T) {
	sc, ss := schedule.New(1), servers(6)
	for n := range engine.Slots - 2 {
		sc.AddRemote(schedule.Placement{
			ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: ss[0].ID,
			Work: short.Work, Gap: short.Gap, Objective: short.Objective,
		})
		sc.RecordStart(schedule.ID{Host: 2, Number: uint32(n)}, 0)
	}
	for range 400 {
		sc.RecordEnd(place(t, sc, ss, short).ID)
	}
	if p := place(t, sc, ss, short); p.Lead != ss[0].ID {
		t.Errorf("the stream is on idle engine %s, want the engine with two free slots", p.Lead)
	}
}

// TestConcurrentChoicesOfHostsDiffer has many hosts place a stream with the same view, in
// which two engines already have streams. Hosts that all took the first of them would
// overload it.
func TestConcurrentChoicesOfHostsDiffer(t *testing.T) {
	ss, leads := servers(6), map[string]int{}
	for host := range uint32(60) {
		sc := schedule.New(host + 10)
		for n := range 2 {
			sc.AddRemote(schedule.Placement{
				ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: ss[n].ID,
				Work: short.Work, Gap: short.Gap, Objective: short.Objective,
			})
		}
		leads[place(t, sc, ss, short).Lead]++
	}
	if len(leads) != 2 {
		t.Errorf("60 hosts chose %v, want both engines with streams and no idle one", leads)
	}
}

func TestLongPromptAvoidsEnginesWithShortStreams(t *testing.T) {
	sc := schedule.New(1)
	ss := servers(18)
	busy := map[string]bool{}
	for range 30 {
		p := place(t, sc, ss, short)
		sc.RecordStart(p.ID, 0)
		busy[p.Lead] = true
	}
	// Even in 18 parts, its prefill takes longer than the gap of short streams.
	r := long
	r.Work.Prompt = 230_000
	p := place(t, sc, ss, r)
	if p.FirstToken > r.Objective {
		t.Errorf("the first token of the long prompt is predicted after %v, over its objective", p.FirstToken)
	}
	for _, s := range append([]string{p.Lead}, p.Helpers...) {
		if busy[s] {
			t.Errorf("the long prompt is prefilled on %s beside short streams", s)
		}
	}
	if len(p.Helpers) == 0 {
		t.Error("the long prompt is prefilled by one engine although others are idle")
	}
}

// TestDisplacementGrowsWithBusyEngines places a long prompt while engines prefill other
// long prompts, one on each.
func TestDisplacementGrowsWithBusyEngines(t *testing.T) {
	for name, tc := range map[string]struct {
		busy      int // of 18 engines
		displaces bool
	}{
		"no engine busy":  {0, false},
		"a third busy":    {6, false},
		"nearly all busy": {16, true},
		"all busy":        {18, true},
	} {
		t.Run(name, func(t *testing.T) {
			sc, ss := schedule.New(1), servers(18)
			for n := range tc.busy {
				sc.AddRemote(schedule.Placement{
					ID: schedule.ID{Host: 2, Number: uint32(n)}, Service: service.Name, Lead: ss[n].ID,
					Work: long.Work, Gap: long.Gap, Objective: long.Objective,
				})
			}
			r := long
			r.Work.Prompt = 230_000
			if p := place(t, sc, ss, r); (p.DisplacedRatio > 1) != tc.displaces {
				t.Errorf("the request displaces %.2f times its value", p.DisplacedRatio)
			}
		})
	}
}

func TestFullEnginesLeadNoMoreRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		request schedule.Request
		fill    int // number of requests that fill an engine
	}{
		"slots":  {short, 16},
		"memory": {long, 1},
	} {
		t.Run(name, func(t *testing.T) {
			sc := schedule.New(1)
			led := map[string]int{}
			for range 2 * tc.fill {
				p := place(t, sc, servers(2), tc.request)
				sc.RecordStart(p.ID, 0)
				led[p.Lead]++
			}
			for s, n := range led {
				if n > tc.fill {
					t.Errorf("%s leads %d requests, but has room for %d", s, n, tc.fill)
				}
			}
		})
	}
}

// TestRandomLeadIsNotAFullEngine places streams with twenty seeds of the draw among
// engines of nearly equal cost. The draw must not take a full engine while another one
// has a free slot.
func TestRandomLeadIsNotAFullEngine(t *testing.T) {
	for seed := range uint64(20) {
		sc := schedule.New(1, schedule.WithRandom(rand.New(rand.NewPCG(seed, 1)).Float64))
		led := map[string]int{}
		for range 2 * engine.Slots {
			p := place(t, sc, servers(2), short)
			sc.RecordStart(p.ID, 0)
			led[p.Lead]++
		}
		for s, n := range led {
			if n > engine.Slots {
				t.Errorf("seed %d: %s leads %d streams on %d slots while the other engine has free slots", seed, s, n, engine.Slots)
			}
		}
	}
}

func TestFailedServerBacksOff(t *testing.T) {
	sc := schedule.New(1)
	ss := servers(3)
	first := place(t, sc, ss, short)
	sc.RecordEnd(first.ID)
	backoff := sc.RecordFailure(first.Lead, 0)
	if p := place(t, sc, ss, short); p.Lead == first.Lead {
		t.Errorf("%s got a request during its backoff", p.Lead)
	}
	p, _ := sc.Place(backoff+time.Millisecond, service, ss[:1], short)
	if p.Lead != ss[0].ID {
		t.Errorf("the only server is not used after its backoff, got %q", p.Lead)
	}
}

func TestRemotePlacementsCount(t *testing.T) {
	ss := servers(2)
	local, remote := schedule.New(1), schedule.New(2)
	p := place(t, remote, ss, long)
	local.AddRemote(p)
	if own := place(t, local, ss, long); own.Lead == p.Lead {
		t.Errorf("both hosts chose %s as lead", own.Lead)
	}
	local.RecordEnd(p.ID)
	if n := local.PlacementCount(p.Lead); n > 1 {
		t.Errorf("%s still has %d placements after the end of one was reported", p.Lead, n)
	}
}

func TestRetryAvoidsServersThatFailed(t *testing.T) {
	r := short
	r.Avoid = map[string]bool{"s00": true}
	p := place(t, schedule.New(1), servers(2), r)
	if slices.Contains(append(p.Helpers, p.Lead), "s00") {
		t.Error("a server on which the request failed got it again")
	}
}

func TestPlacementsOfTimedOutHostsExpire(t *testing.T) {
	const reported = time.Second
	for name, tc := range map[string]struct {
		now  time.Duration
		want int
	}{
		"recent message":     {reported + time.Second, 1},
		"no message for 5 s": {reported + 5*time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			ss := servers(1)
			local, remote := schedule.New(1), schedule.New(2)
			p := place(t, remote, ss, short)
			p.PlacedAt = reported
			local.RecordContact(p.ID.Host, reported)
			local.AddRemote(p)
			local.Expire(tc.now)
			if n := local.PlacementCount(p.Lead); n != tc.want {
				t.Errorf("%d placements of the other host count, want %d", n, tc.want)
			}
		})
	}
}

func TestServersThatFailMoreThanOthersBackOff(t *testing.T) {
	for name, tc := range map[string]struct {
		usual, own int // answers per failure, of the other servers and of this one; 0 for no failures
		backsOff   bool
	}{
		"same rate as others":              {7, 7, false},
		"no failures":                      {0, 0, false},
		"every second answer":              {7, 2, true},
		"every second answer, others none": {0, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			sc := schedule.New(1)
			fails := func(n, period int) bool { return period > 0 && n%period == period-1 }
			backsOff := false
			for n := range 60 {
				for _, s := range []string{"a", "b", "c", "d"} {
					sc.RecordAnswer("s", s, fails(n, tc.usual), 0)
				}
				if sc.RecordAnswer("s", "own", fails(n, tc.own), 0) > 0 {
					backsOff = true
				}
			}
			if backsOff != tc.backsOff {
				t.Errorf("the server backs off: %v, want %v", backsOff, tc.backsOff)
			}
		})
	}
}

func TestSlowEngineGetsNoRequest(t *testing.T) {
	sc := schedule.New(1)
	ss := servers(2)
	first := place(t, sc, ss, short)
	sc.RecordEnd(first.ID)
	for range 30 {
		sc.RecordPass(first.Lead, 8*first.PassTime, first.PassTime, 0)
	}
	other := place(t, sc, ss, short)
	if other.Lead == first.Lead {
		t.Errorf("%s got the request although it is eight times as slow", first.Lead)
	}
	sc.RecordEnd(other.ID)
	// An old observation no longer counts.
	p, _ := sc.Place(time.Minute, service, ss[:1], short)
	if p.FirstToken > 2*first.FirstToken {
		t.Errorf("the predicted time to the first token is %v after a minute, and was %v at first", p.FirstToken, first.FirstToken)
	}
}

func TestNoHelpersIfOneEngineIsInTime(t *testing.T) {
	r := short
	r.Work.Prompt = 10_000
	if p := place(t, schedule.New(1), servers(18), r); len(p.Helpers) > 0 {
		t.Errorf("%d helpers for a prompt that one engine prefills in time", len(p.Helpers))
	}
}

// TestReportedServerBacksOff has other hosts report failures of servers. Reports of one
// host, old reports and reports of hosts that can't reach any server must not keep a
// working server from requests.
func TestReportedServerBacksOff(t *testing.T) {
	for name, tc := range map[string]struct {
		hosts    []uint32
		servers  int // that each host reports
		serves   int // how many of those answer this host afterwards
		after    time.Duration
		backsOff bool
	}{
		"one host":                             {[]uint32{2}, 1, 0, 0, false},
		"one host twice":                       {[]uint32{2, 2}, 1, 0, 0, false},
		"two hosts":                            {[]uint32{2, 3}, 1, 0, 0, true},
		"twelve servers of a partitioned hall": {[]uint32{2, 3, 4}, 12, 0, 0, true},
		"two hosts, 3 s ago":                   {[]uint32{2, 3}, 1, 0, 3 * time.Second, false},
		"two hosts that reach no server":       {[]uint32{2, 3}, 18, 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			ss, chosen := servers(18), false
			for range 40 { // the lead is drawn from three engines
				sc := schedule.New(1)
				for n := range tc.servers {
					// The first server is reported last.
					server := ss[tc.servers-1-n].ID
					for _, h := range tc.hosts {
						sc.RecordRemoteFailure(h, server, 0)
					}
					if n < tc.serves {
						sc.RecordAnswer(service.Name, server, false, 0)
					}
				}
				p, ok := sc.Place(tc.after, service, ss, short)
				chosen = chosen || ok && p.Lead == ss[0].ID
			}
			if chosen == tc.backsOff {
				t.Errorf("the server backs off: %v, want %v", !chosen, tc.backsOff)
			}
		})
	}
}
