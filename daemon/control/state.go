package control

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/core/placement"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/event"
)

const (
	// newsMembers and newsEngines bound what rides on one heartbeat.
	newsMembers = 8
	newsEngines = 6
)

// State is the control state. Only the loop's goroutine touches it.
type State struct {
	now      func() time.Time
	random   *rand.Rand
	members  *member.Table
	engines  *directory.Directory
	owned    map[string]*ownedEngine
	hosts    []hosts.Host
	hostsAt  time.Time
	book     *template.Set
	recent   template.RecentChanges
	bookAt   time.Time
	heard    uint64 // highest number of a template change heard of
	platform platformState
	demand   *placement.Meter
	draining bool
	dirty    bool
}

// Gossip is what daemons tell each other in passing.
type Gossip struct {
	Members        []member.Member
	Engines        []directory.Engine
	TemplateNumber uint64
}

// platformState is what the daemon knows of the platform's service.
type platformState struct {
	down  bool
	since time.Time
}

// Now returns the time on the loop's clock.
func (s *State) Now() time.Time { return s.now() }

// Random returns the loop's source of random numbers.
func (s *State) Random() *rand.Rand { return s.random }

// Members returns the table of members.
func (s *State) Members() *member.Table { return s.members }

// MergeMembers takes news of members.
func (s *State) MergeMembers(ms []member.Member) {
	for _, m := range ms {
		before, known := s.members.Get(m.Addr)
		if !s.members.Merge(m, s.now()) {
			continue
		}
		s.dirty = true
		after, _ := s.members.Get(m.Addr)
		if !known || before.Status != after.Status {
			logMember(m.Addr, m.Hall, after.Status)
		}
	}
}

func logMember(addr, hall string, st member.Status) {
	switch st {
	case member.Alive:
		event.MemberJoined.Info("member", addr, "hall", hall)
	case member.Suspect:
		event.MemberSuspected.Info("member", addr, "hall", hall)
	default:
		event.MemberGone.Info("member", addr, "hall", hall)
	}
}

// PingFailed says that a member did not answer.
func (s *State) PingFailed(addr string) {
	if s.members.PingFailed(addr, s.now()) {
		s.dirty = true
		event.MemberSuspected.Info("member", addr)
	}
}

// Tick lets old suspicions end, and forgets engines that stay down.
func (s *State) Tick() {
	suspicions, engines := s.members.Tick(s.now()), s.engines.Tick(s.now())
	s.dirty = s.dirty || suspicions || engines
}

// MergeEngines takes news of engines.
func (s *State) MergeEngines(es []directory.Engine) {
	for _, e := range es {
		if s.engines.Merge(e) {
			s.dirty = true
		}
	}
}

// NextGossip returns what rides on the next heartbeat.
func (s *State) NextGossip() Gossip {
	return Gossip{
		Members:        s.members.Updates(newsMembers),
		Engines:        s.engines.News(newsEngines, s.members.Len()),
		TemplateNumber: s.book.Number(),
	}
}

// AllRecords returns every member and engine, for a sync.
func (s *State) AllRecords() Gossip {
	return Gossip{Members: s.members.All(), Engines: s.engines.All(), TemplateNumber: s.book.Number()}
}

// MergeGossip takes what another daemon has told.
func (s *State) MergeGossip(n Gossip) {
	s.MergeMembers(n.Members)
	s.MergeEngines(n.Engines)
	s.ObserveTemplateNumber(n.TemplateNumber)
}

// PeerInSync says that another daemon, picked at random, has the same records.
func (s *State) PeerInSync() {
	s.members.PeerInSync()
	s.engines.Known(s.members.Len())
}

// Digest names the state of all member and engine records: daemons with the
// same records have the same digest.
func (s *State) Digest() uint64 {
	d := xxhash.New()
	var n [8]byte
	add := func(addr string, numbers ...uint64) {
		_, _ = d.WriteString(addr)
		for _, x := range numbers {
			binary.LittleEndian.PutUint64(n[:], x)
			_, _ = d.Write(n[:])
		}
	}
	for _, m := range s.members.All() {
		if m.Status == member.Dead {
			continue // each daemon forgets the dead in its own time
		}
		add(m.Addr, m.Incarnation, uint64(m.Revision), uint64(m.Status))
	}
	for _, e := range s.engines.All() {
		if e.Status == directory.Down {
			continue
		}
		add(e.Addr, e.Incarnation, e.Revision, uint64(e.Status))
	}
	return d.Sum64()
}

// UpdateTemplates moves the templates in force forward; what is older changes
// nothing.
func (s *State) UpdateTemplates(u template.Update) {
	b, r := s.book.Update(u, s.recent)
	if b.Number() == s.book.Number() {
		return
	}
	event.TemplatesMoved.Info("from", s.book.Number(), "to", b.Number())
	s.book, s.recent, s.bookAt, s.dirty = b, r, s.now(), true
	s.ObserveTemplateNumber(b.Number())
}

// SetHosts takes the platform's host list.
func (s *State) SetHosts(hs []hosts.Host) {
	s.hosts, s.hostsAt, s.dirty = hs, s.now(), true
	for _, h := range hs {
		if h.Role != hosts.Engine {
			continue
		}
		if o, ok := s.owned[h.Addr]; ok && h.Leaving {
			s.observe(o, o.record.WithStatus(directory.Leaving))
		}
	}
}

// SetPlatformReachable notes whether the platform answered a request.
func (s *State) SetPlatformReachable(ok bool) {
	if s.platform.down == !ok {
		return
	}
	s.platform = platformState{down: !ok, since: s.now()}
	s.dirty = true
	if ok {
		event.PlatformBack.Info()
		return
	}
	event.PlatformLost.Warn()
}

// Drain marks the daemon as leaving.
func (s *State) Drain() {
	s.draining, s.dirty = true, true
	s.members.Leave()
}

// offers returns the predictions of owned engines that can run p.
func (s *State) offers(p route.Prompt) []route.Offer {
	var out []route.Offer
	for _, o := range s.owned {
		if o.record.Status != directory.Up || !o.known || !o.record.Holds(p.Model, p.Version) {
			continue
		}
		if p.Memory() > o.record.TotalTokens {
			continue
		}
		out = append(out, s.offer(o, p))
	}
	return out
}

// CountRequest counts a request of this daemon's callers.
func (s *State) CountRequest(c directory.Copy, tokens int) { s.demand.Add(c, tokens, s.now()) }

// Demand returns what this daemon's callers ask for.
func (s *State) Demand() placement.Demand { return s.demand.Demand(s.now()) }

// ObserveTemplateNumber notes that somebody has template changes up to number.
func (s *State) ObserveTemplateNumber(number uint64) { s.heard = max(s.heard, number) }

// LatestTemplateNumber returns the highest number of a template change that was heard of.
func (s *State) LatestTemplateNumber() uint64 { return s.heard }

// maxStrangers bounds the unknown daemons that are tried at once.
const maxStrangers = 3

// UnknownDaemons returns a few daemons, from the settings and the host list, that
// are not members yet.
func (s *State) UnknownDaemons(bootstrap []string) []string {
	known := map[string]bool{}
	for _, m := range s.members.All() {
		known[m.Addr] = m.Status != member.Dead
	}
	var out []string
	add := func(addr string) {
		if !known[addr] {
			known[addr] = true
			out = append(out, addr)
		}
	}
	for _, b := range bootstrap {
		add(b)
	}
	for _, h := range s.hosts {
		if h.Role == hosts.Entry && !h.Leaving {
			add(h.Addr)
		}
	}
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(maxStrangers, len(out))]
}
