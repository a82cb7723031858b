// Package schedule chooses which backend servers run a request.
//
// A [Scheduler] holds what runs where: the placements of this host, and those
// that other hosts tell of. From them and the published model of the engines
// it predicts, for each way to place a request, when its first token comes
// and how long the streams beside it stand still, and takes the way that
// costs least.
//
// # Usage
//
//	b := schedule.NewBoard()
//	p, ok := b.Place(now, service, servers, schedule.Request{...})
//	b.Started(p.ID, now)      // its first token came
//	b.Ended(p.ID)
package schedule

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

const (
	// maxAge forgets placements whose end was never heard of. It is above
	// the longest deadline that callers use.
	maxAge = 30 * time.Second
	// hostSilence is how long another host may tell nothing before it counts
	// as gone: three of the messages that it sends when it has no news.
	hostSilence = 1600 * time.Millisecond
	// maxHelpers is how many more servers may read one prompt.
	maxHelpers = 16
)

type (
	// ID names a placement among all hosts.
	ID struct {
		Host   uint32
		Number uint32
	}

	// Request is what has to be placed.
	Request struct {
		Work Work
		// Objective is the time left until the first event is late, Gap the
		// longest pause between events that is in time.
		Objective, Gap time.Duration
		// Hall is where the request came in.
		Hall string
		// Workspace is whose it is, by [HashWorkspace].
		Workspace uint32
		// Avoid are servers that have failed it.
		Avoid map[string]bool
		// LeadOnly are servers that may lead it, and read nothing for others.
		LeadOnly map[string]bool
		// Fingerprint is the same for copies of one request; zero for none.
		Fingerprint uint64
		// Isolated asks for a server on which no other such request runs, and OnlyCopy
		// beside it that no copy runs anywhere. CopiesFailed says that several copies of
		// it have failed together.
		Isolated, OnlyCopy, CopiesFailed bool
	}

	// Placement is a request on its servers.
	Placement struct {
		ID      ID
		Service string
		// Lead writes the answer; Helpers read parts of the prompt.
		Lead    string
		Helpers []string
		// MemoryShares are the memory that helpers set aside for the prompt.
		MemoryShares []MemoryShare
		// Fits reports whether the memory for the request is there.
		Fits bool
		// DisplacementRatio is the value of what the servers could do instead, beside
		// the value of the request: above 1 it had better come later.
		DisplacementRatio float64
		// EnginesFilled is how many engines' memory the request fills, and SpareFraction the
		// least part of the service's engines that doesn't read it.
		EnginesFilled, SpareFraction float64
		// Workspace is whose it is, by [HashWorkspace], Part how that one stands
		// beside others, and Full how scarce slots are, from 0 to 1.
		Workspace    uint32
		Share        WorkspaceShare
		SlotScarcity float64
		// Fingerprint is the same for copies of one request, and Apart says that no other
		// request runs on its lead that has to run apart.
		Fingerprint uint64
		Isolated    bool
		Work        Work
		// Objective is the time from Begun until its first event is late.
		Objective time.Duration
		Gap       time.Duration
		PlacedAt  time.Duration
		// FirstToken is the predicted time to the first token from Begun.
		FirstToken time.Duration
		// IdleFirstToken is the same if all servers were idle.
		IdleFirstToken time.Duration
		// PassTime is how long the lead's passes are expected to take.
		PassTime time.Duration
		// LeadRunning is how many other requests the lead had, LeadReads how long
		// it had yet to read.
		LeadRunning int
		LeadBacklog time.Duration
		writing     bool
	}

	// MemoryShare is memory of one server, in tokens of a prompt.
	MemoryShare struct {
		Server string
		Tokens int
	}

	// Scheduler is what runs where. It is safe for use by many goroutines.
	Scheduler struct {
		mu         sync.Mutex
		host       uint32
		next       uint32
		placements map[ID]*Placement
		byServer   map[string]*load
		byMark     map[uint64][]*Placement
		trouble    map[string]trouble
		reports    map[string]reports       // of other hosts, by server
		wrong      map[uint32]time.Duration // when other hosts' reports were wrong last
		answers    map[string]answers       // by server
		usual      map[string]answers       // by service
		paces      map[string]pace
		served     map[string]time.Duration // when servers last began to answer anybody
		rates      map[string]rate          // of others' placements, by service
		heard      map[uint32]time.Duration // when other hosts were heard last
		random     func() float64           // from 0 to below 1
		scratch    scratch
	}

	// Option changes a board under construction.
	Option func(*Scheduler)

	// load is what is placed on one server, in the order in which it became
	// known: sums over it don't depend on chance.
	load struct {
		placements []*Placement
	}
)

// WithRandom sets the source of draws, numbers from 0 to below 1.
func WithRandom(f func() float64) Option { return func(b *Scheduler) { b.random = f } }

// New returns an empty board of a host, whose number is in the ID of each
// of its placements.
func New(host uint32, os ...Option) *Scheduler {
	b := &Scheduler{
		host:       host,
		placements: map[ID]*Placement{},
		byServer:   map[string]*load{},
		byMark:     map[uint64][]*Placement{},
		trouble:    map[string]trouble{},
		reports:    map[string]reports{},
		wrong:      map[uint32]time.Duration{},
		answers:    map[string]answers{},
		usual:      map[string]answers{},
		paces:      map[string]pace{},
		served:     map[string]time.Duration{},
		rates:      map[string]rate{},
		random:     rand.Float64,
		heard:      map[uint32]time.Duration{},
	}
	for _, o := range os {
		o(b)
	}
	return b
}

// Host returns the number of the board's host.
func (b *Scheduler) Host() uint32 { return b.host }

// Place chooses servers and notes the placement. It reports false if no
// server takes new work.
func (b *Scheduler) Place(now time.Duration, s site.Service, servers []backend.Server, r Request) (Placement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	able := b.able(now, servers, r.Avoid)
	leads, ok := b.leads(now, able, r)
	if !ok {
		return Placement{}, false
	}
	p := &Placement{
		Service: s.Name, Workspace: r.Workspace, Share: WorkspaceShare{Weight: 1}, Work: r.Work,
		Objective: r.Objective, Gap: r.Gap, PlacedAt: now,
		Fingerprint: r.Fingerprint, Isolated: r.Isolated,
	}
	if s.Engine == nil || r.Work.Prompt == 0 {
		p.Fits = true
		p.Lead = b.leastLoaded(leads, r.Hall).ID
	} else {
		b.choose(now, s.Engine, able, leads, r, p)
	}
	b.next++
	p.ID = ID{b.host, b.next}
	b.add(p)
	return *p, true
}

// AddRemote takes in a placement of another host.
func (b *Scheduler) AddRemote(p Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.placements[p.ID]; !ok {
		// This host's own are known to it. Counted too, those that it refuses
		// under overload keep slots empty: of 2,215 streams asked of 30 engines
		// 338 were in time, 689 without them, on the model of engines.
		b.rates[p.Service] = b.rates[p.Service].with(p.PlacedAt)
		b.add(&p)
	}
}

// RecordStart notes that a placement's prompt has been read.
func (b *Scheduler) RecordStart(id ID, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.placements[id]; p != nil {
		p.writing = true
		b.served[p.Lead] = now
		b.serves(p.Lead, now)
	}
}

// RecordEnd notes that a placement is over.
func (b *Scheduler) RecordEnd(id ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(id)
}

// RecordContact notes that another host is there, whatever it tells.
func (b *Scheduler) RecordContact(host uint32, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[host] = now
}

// HostAlive reports whether another host has told something lately.
func (b *Scheduler) HostAlive(host uint32, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.heard[host]
	return ok && now-at <= hostSilence
}

// Expire drops placements whose end was missed, and those of hosts that have
// fallen silent: backend servers end the requests of a host that is gone.
func (b *Scheduler) Expire(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for h, at := range b.heard {
		if now-at > hostSilence {
			delete(b.heard, h)
		}
	}
	b.forgetReports(now)
	for s, at := range b.served {
		if now-at > maxAge {
			delete(b.served, s)
		}
	}
	for id, p := range b.placements {
		_, alive := b.heard[id.Host]
		if now-p.PlacedAt > maxAge || id.Host != b.host && !alive {
			b.remove(id)
		}
	}
}

// PredictPause returns how long a server is predicted to say nothing on a stream, by
// what is yet to be read there and what waits for slots.
func (b *Scheduler) PredictPause(now time.Duration, e *site.Engine, s backend.Server) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var st state
	b.fill(&st, now, e, &s)
	st.unknown = b.unknown(s.Service, now)
	return st.pause(0) + st.wait()
}

// SinceFirstToken returns how long ago a server last began to answer a request, of this host
// or another. It reports false if that isn't known.
func (b *Scheduler) SinceFirstToken(server string, now time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.served[server]
	return now - at, ok
}

// PlacementCount returns how many placements a server has.
func (b *Scheduler) PlacementCount(server string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count(server)
}

func (b *Scheduler) add(p *Placement) {
	b.placements[p.ID] = p
	if p.Fingerprint != 0 {
		b.byMark[p.Fingerprint] = append(b.byMark[p.Fingerprint], p)
	}
	for _, s := range p.servers() {
		l := b.byServer[s]
		if l == nil {
			l = &load{}
			b.byServer[s] = l
		}
		l.placements = append(l.placements, p)
	}
}

func (b *Scheduler) remove(id ID) {
	p := b.placements[id]
	if p == nil {
		return
	}
	delete(b.placements, id)
	if p.Fingerprint != 0 {
		b.byMark[p.Fingerprint] = slices.DeleteFunc(b.byMark[p.Fingerprint], func(o *Placement) bool { return o == p })
		if len(b.byMark[p.Fingerprint]) == 0 {
			delete(b.byMark, p.Fingerprint)
		}
	}
	for _, s := range p.servers() {
		l := b.byServer[s]
		if l == nil {
			continue
		}
		l.placements = slices.DeleteFunc(l.placements, func(o *Placement) bool { return o == p })
		if len(l.placements) == 0 {
			delete(b.byServer, s)
		}
	}
}

func (b *Scheduler) count(server string) int {
	if l := b.byServer[server]; l != nil {
		return len(l.placements)
	}
	return 0
}

// servers are the lead and the helpers.
func (p *Placement) servers() []string {
	return append([]string{p.Lead}, p.Helpers...)
}

// leastLoaded returns the server with the fewest placements for its slots,
// and among equals one of the hall.
func (b *Scheduler) leastLoaded(servers []*backend.Server, hall string) *backend.Server {
	best, least := servers[0], 0.0
	for i, s := range servers {
		n := float64(b.count(s.ID)) / float64(max(s.Slots, 1))
		if s.Hall != hall {
			n += otherHall
		}
		if i == 0 || n < least {
			best, least = s, n
		}
	}
	return best
}

// otherHall is what the way to another hall counts beside load, in slots'
// share: a tie-breaker.
const otherHall = 0.01
