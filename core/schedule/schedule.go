// Package schedule chooses the backend servers that run a request.
//
// A [Scheduler] tracks the active placements on each server: those of this
// host, and those that other hosts report. From them and the published
// performance model of the engines it predicts, for each way to place a
// request, the time to its first token and the pause that it causes in the
// streams on the same engines, and picks the way with the least cost.
//
// Engines work in passes, each a batch of token steps ([site.Engine]). A prompt
// is read (prefill) before its answer is written (decode), and several engines
// can prefill parts of one prompt in parallel: the lead, which then decodes the
// answer, and its helpers.
//
// # Usage
//
//	sc := schedule.New(host)
//	p, ok := sc.Place(now, service, servers, schedule.Request{...})
//	sc.RecordStart(p.ID, now)      // the first token arrived
//	sc.RecordEnd(p.ID)
//	sc.AddRemote(p)                // of another host
//	for _, p := range sc.OwnPlacements() { ... sent to a host that starts, which calls AddRunning }
package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

const (
	// maxRecordAge is the age at which placements are dropped whose end was never
	// reported, and times of first tokens. It exceeds the longest deadline that
	// callers use.
	maxRecordAge = 30 * time.Second
	// hostTimeout is how long another host may send no message before it counts
	// as gone: three intervals of the messages that an idle host sends.
	hostTimeout = 1600 * time.Millisecond
	// maxHelpers is the number of servers besides the lead that may prefill one
	// prompt.
	maxHelpers = 16
)

type (
	// ID identifies a placement across all hosts.
	ID struct {
		Host   uint32
		Number uint32
	}

	// Request is a request to be placed.
	Request struct {
		Work Work
		// Objective is the time left until the first event is late, Gap the
		// longest pause between events that is in time.
		Objective, Gap time.Duration
		// Waited is how long the caller had waited before this attempt, in addition to the
		// time that Objective accounts for.
		Waited time.Duration
		// Hall is the data hall in which the request arrived.
		Hall string
		// Workspace identifies the workspace of the request, by [HashWorkspace].
		Workspace uint32
		// Priority is the operator's priority; 0 is the most urgent. Returning reports that
		// the request was refused before.
		Priority  int
		Returning bool
		// Avoid are servers on which the request has failed.
		Avoid map[string]bool
		// LeadOnly are servers that may lead the request, but not help with a
		// prompt that another server leads.
		LeadOnly map[string]bool
		// HeadHash is equal for copies of one request; zero for none.
		HeadHash uint64
		// Isolated asks for a server on which no other isolated request runs.
		// OnlyCopy asks in addition that no copy of the request runs anywhere.
		// CopiesFailed says that several copies of the request have failed
		// together.
		Isolated, OnlyCopy, CopiesFailed bool
	}

	// Placement is a request together with the servers chosen for it.
	Placement struct {
		ID      ID
		Service string
		// Lead decodes the answer; Helpers prefill parts of the prompt.
		Lead    string
		Helpers []string
		// MemoryShares is the memory to be reserved on helpers for the prompt.
		MemoryShares []MemoryShare
		// Fits reports whether the servers have the memory for the request.
		Fits bool
		// DisplacedRatio is the value of the work that the request displaces on
		// the engines, divided by the value of the request: above 1, serving it
		// later is better.
		DisplacedRatio float64
		// EnginesFilled is how many engines' memory the request fills, and
		// SpareFraction a lower bound on the fraction of the service's engines
		// that take no part in its prefill.
		EnginesFilled, SpareFraction float64
		// Workspace identifies the workspace of the request, by [HashWorkspace],
		// Share is what that workspace uses compared with others, and
		// SlotScarcity how scarce slots are, from 0 to 1.
		Workspace    uint32
		Share        WorkspaceShare
		SlotScarcity float64
		// HeadHash and Isolated are those of the [Request].
		HeadHash uint64
		Isolated bool
		// Retry reports that a server has got the request before, Returning that it was
		// refused before, and Counted that an earlier placement of it was reported.
		Retry, Returning, Counted bool
		// Priority is the operator's priority of the request; 0 is the most urgent, -1
		// that of a placement by a host that doesn't report it.
		Priority int
		Work     Work
		// Objective is the time from PlacedAt until the first event is late.
		Objective time.Duration
		Gap       time.Duration
		PlacedAt  time.Duration
		// FirstToken is the predicted time from PlacedAt to the first token.
		FirstToken time.Duration
		// SlotsUsed is the fraction of all slots that the request can't use.
		SlotsUsed float64
		// LateRisk is the probability that the first token is late because other requests
		// take the lead's free slots first.
		LateRisk float64
		// IdleFirstToken is the same prediction for idle servers.
		IdleFirstToken time.Duration
		// PassTime is the expected duration of the lead's passes.
		PassTime time.Duration
		// LeadRunning is how many other requests ran on the lead at the time of
		// the placement, LeadBacklog how long the lead needed for the prompts it
		// had yet to prefill.
		LeadRunning int
		LeadBacklog time.Duration
		// Decoding reports that the first token has arrived, so that the prompt has
		// been prefilled.
		Decoding bool
	}

	// MemoryShare is memory of one server, in tokens of a prompt.
	MemoryShare struct {
		Server string
		Tokens int
	}

	// Scheduler tracks placements and chooses servers. It is safe for use by
	// many goroutines.
	Scheduler struct {
		mu             sync.Mutex
		host           uint32
		next           uint32
		placements     map[ID]*Placement
		byServer       map[string]*serverLoad
		byHeadHash     map[uint64][]*Placement
		backoffs       map[string]backoff
		reports        map[string]failureReports // of other hosts, by server
		falseReports   map[uint32]time.Duration  // time of a host's last false report
		serverAnswers  map[string]answerCounts
		serviceAnswers map[string]answerCounts
		paces          map[string]pace
		firstTokens    map[string]time.Duration // time of a server's last first token of any request
		remoteRates    map[string]rate          // placements of other hosts, by service
		delay          measuredDelay            // until other hosts know of a placement
		lastContact    map[uint32]time.Duration // by other host
		policy         Policy
		prices         map[string]float64 // of a second of an engine, by service
		heardFraction  float64            // of the listed other hosts
		random         func() float64     // in [0, 1)
		scratch        scratch
	}

	// Option changes a scheduler under construction.
	Option func(*Scheduler)

	// serverLoad is the placements on one server, in the order in which they
	// became known, so that floating-point sums over them are deterministic.
	serverLoad struct {
		placements []*Placement
	}
)

// WithRandom sets the source of random numbers, which lie in [0, 1).
func WithRandom(f func() float64) Option { return func(sc *Scheduler) { sc.random = f } }

// New returns a scheduler without placements for a host, whose number is in the
// ID of each placement that the scheduler makes.
func New(host uint32, os ...Option) *Scheduler {
	sc := &Scheduler{
		host:           host,
		placements:     map[ID]*Placement{},
		byServer:       map[string]*serverLoad{},
		byHeadHash:     map[uint64][]*Placement{},
		backoffs:       map[string]backoff{},
		reports:        map[string]failureReports{},
		falseReports:   map[uint32]time.Duration{},
		serverAnswers:  map[string]answerCounts{},
		serviceAnswers: map[string]answerCounts{},
		paces:          map[string]pace{},
		firstTokens:    map[string]time.Duration{},
		remoteRates:    map[string]rate{},
		heardFraction:  1,
		random:         rand.Float64,
		lastContact:    map[uint32]time.Duration{},
	}
	for _, o := range os {
		o(sc)
	}
	return sc
}

// Host returns the number of the scheduler's host.
func (sc *Scheduler) Host() uint32 { return sc.host }

// Place chooses servers for a request and records the placement. It reports
// false if no server takes the request.
func (sc *Scheduler) Place(now time.Duration, s site.Service, servers []backend.Server, r Request) (Placement, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	available := sc.available(now, servers, r.Avoid)
	leads, ok := sc.leadCandidates(now, available, r)
	if !ok {
		return Placement{}, false
	}
	p := &Placement{
		Service: s.Name, Workspace: r.Workspace, Share: WorkspaceShare{DisplacedWeight: 1}, Work: r.Work,
		Objective: r.Objective, Gap: r.Gap, PlacedAt: now,
		HeadHash: r.HeadHash, Isolated: r.Isolated, Priority: r.Priority, Returning: r.Returning,
	}
	if s.Engine == nil || r.Work.Prompt == 0 {
		p.Fits = true
		p.Lead = sc.leastLoaded(leads, r.Hall).ID
	} else {
		sc.choose(now, s.Engine, available, leads, r, p)
	}
	sc.next++
	p.ID = ID{sc.host, sc.next}
	sc.add(p)
	return *p, true
}

// AddRemote records a placement made by another host, and reports whether it is new.
func (sc *Scheduler) AddRemote(p Placement) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	_, known := sc.placements[p.ID]
	if !known {
		// The rate estimates placements that this host doesn't know yet, so its
		// own don't count. If they did, those that it refuses under overload
		// would keep slots empty.
		sc.remoteRates[p.Service] = sc.remoteRates[p.Service].increment(p.PlacedAt)
		sc.add(&p)
	}
	return !known
}

// AddRunning records a placement that another host made before this host was in
// contact with it. It doesn't count in the rate of new placements.
func (sc *Scheduler) AddRunning(p Placement) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if _, ok := sc.placements[p.ID]; !ok {
		sc.add(&p)
	}
}

// OwnPlacements returns the placements of this host whose requests have not ended, in
// the order in which they were made.
func (sc *Scheduler) OwnPlacements() []Placement {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var own []Placement
	for id, p := range sc.placements {
		if id.Host == sc.host {
			own = append(own, *p)
		}
	}
	slices.SortFunc(own, func(a, b Placement) int { return cmp.Compare(a.ID.Number, b.ID.Number) })
	return own
}

// RecordStart records that the first token of a placement has arrived, so that
// its prompt has been prefilled.
func (sc *Scheduler) RecordStart(id ID, now time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if p := sc.placements[id]; p != nil {
		p.Decoding = true
		sc.firstTokens[p.Lead] = now
		sc.distrustReporters(p.Lead, now)
	}
}

// RecordEnd removes a placement whose request has ended.
func (sc *Scheduler) RecordEnd(id ID) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.remove(id)
}

// RecordContact records that a message from another host has arrived, of
// whatever content.
func (sc *Scheduler) RecordContact(host uint32, now time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.lastContact[host] = now
}

// HostAlive reports whether a message from another host has arrived within the
// host timeout.
func (sc *Scheduler) HostAlive(host uint32, now time.Duration) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	last, ok := sc.lastContact[host]
	return ok && now-last <= hostTimeout
}

// Expire drops outdated state: placements whose end was missed, at the maximum
// age, and those of hosts that have timed out, since backend servers end the
// requests of a host that is gone.
func (sc *Scheduler) Expire(now time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for h, last := range sc.lastContact {
		if now-last > hostTimeout {
			delete(sc.lastContact, h)
		}
	}
	sc.expireReports(now)
	for s, last := range sc.firstTokens {
		if now-last > maxRecordAge {
			delete(sc.firstTokens, s)
		}
	}
	for id, p := range sc.placements {
		_, alive := sc.lastContact[id.Host]
		if now-p.PlacedAt > maxRecordAge || id.Host != sc.host && !alive {
			sc.remove(id)
		}
	}
}

// PredictPause returns how long a server is predicted to send nothing on a
// stream, from the prompts it has yet to prefill and the requests that wait for
// slots.
func (sc *Scheduler) PredictPause(now time.Duration, e *site.Engine, s backend.Server) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var st state
	sc.predictState(&st, now, e, &s)
	st.unseen = sc.unseenEverywhere(s.Service, now)
	return st.pause(0) + st.slotWait()
}

// SinceFirstToken returns the time since a server last sent the first token of a
// request, of this host or another. It reports false if no such time is known.
func (sc *Scheduler) SinceFirstToken(server string, now time.Duration) (time.Duration, bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	last, ok := sc.firstTokens[server]
	return now - last, ok
}

// PlacementCount returns the number of placements that a server leads or helps
// with.
func (sc *Scheduler) PlacementCount(server string) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.count(server)
}

func (sc *Scheduler) add(p *Placement) {
	sc.placements[p.ID] = p
	if p.HeadHash != 0 {
		sc.byHeadHash[p.HeadHash] = append(sc.byHeadHash[p.HeadHash], p)
	}
	for _, s := range p.servers() {
		l := sc.byServer[s]
		if l == nil {
			l = &serverLoad{}
			sc.byServer[s] = l
		}
		l.placements = append(l.placements, p)
	}
}

func (sc *Scheduler) remove(id ID) {
	p := sc.placements[id]
	if p == nil {
		return
	}
	delete(sc.placements, id)
	if p.HeadHash != 0 {
		sc.byHeadHash[p.HeadHash] = slices.DeleteFunc(sc.byHeadHash[p.HeadHash], func(o *Placement) bool { return o == p })
		if len(sc.byHeadHash[p.HeadHash]) == 0 {
			delete(sc.byHeadHash, p.HeadHash)
		}
	}
	for _, s := range p.servers() {
		l := sc.byServer[s]
		if l == nil {
			continue
		}
		l.placements = slices.DeleteFunc(l.placements, func(o *Placement) bool { return o == p })
		if len(l.placements) == 0 {
			delete(sc.byServer, s)
		}
	}
}

func (sc *Scheduler) count(server string) int {
	if l := sc.byServer[server]; l != nil {
		return len(l.placements)
	}
	return 0
}

// servers returns the lead and the helpers.
func (p *Placement) servers() []string {
	return append([]string{p.Lead}, p.Helpers...)
}

// leastLoaded returns the server with the fewest placements per slot; among
// equals it prefers one in the given hall.
func (sc *Scheduler) leastLoaded(servers []*backend.Server, hall string) *backend.Server {
	best, least := servers[0], 0.0
	for i, s := range servers {
		n := float64(sc.count(s.ID)) / float64(max(s.Slots, 1))
		if s.Hall != hall {
			n += otherHallPenalty
		}
		if i == 0 || n < least {
			best, least = s, n
		}
	}
	return best
}

// otherHallPenalty is added to the load of servers in other halls, as a fraction
// of their slots: it is small, so that it only breaks ties.
const otherHallPenalty = 0.01
