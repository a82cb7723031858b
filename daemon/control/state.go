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
	// Maximum numbers of records that are attached to one heartbeat.
	maxGossipMembers = 8
	maxGossipEngines = 6
)

// State is the control state. It is accessed only on the goroutine of
// [Loop.Run].
type State struct {
	now            func() time.Time
	random         *rand.Rand
	members        *member.Table
	engines        *directory.Directory
	owned          map[string]*ownedEngine
	hosts          []hosts.Host
	hostsAt        time.Time
	templates      *template.Set
	recentChanges  template.RecentChanges
	templatesSince time.Time
	latestNumber   uint64 // highest number of a template change known to exist
	platform       platformState
	demand         *placement.Meter
	draining       bool
	dirty          bool
}

// Gossip holds the records that daemons exchange in heartbeats and syncs.
type Gossip struct {
	Members        []member.Member
	Engines        []directory.Engine
	TemplateNumber uint64 // last template change in force at the sender
}

// platformState is the reachability of the platform, and the time since which it
// has been the same.
type platformState struct {
	down  bool
	since time.Time
}

// Now returns the time on the loop's clock.
func (s *State) Now() time.Time { return s.now() }

// Random returns the loop's source of random numbers.
func (s *State) Random() *rand.Rand { return s.random }

// Members returns the membership list.
func (s *State) Members() *member.Table { return s.members }

// MergeMembers merges records of members, and logs changes of their status.
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

// PingFailed records that a member answered neither directly nor through
// others.
func (s *State) PingFailed(addr string) {
	if s.members.PingFailed(addr, s.now()) {
		s.dirty = true
		event.MemberSuspected.Info("member", addr)
	}
}

// Tick declares members dead whose suspicion has timed out, and removes engines
// that have been down for [directory.DownRetention].
func (s *State) Tick() {
	members, engines := s.members.Tick(s.now()), s.engines.Tick(s.now())
	s.dirty = s.dirty || members || engines
}

// MergeEngines merges records of engines.
func (s *State) MergeEngines(es []directory.Engine) {
	for _, e := range es {
		if s.engines.Merge(e) {
			s.dirty = true
		}
	}
}

// NextGossip returns the records to attach to the next heartbeat.
func (s *State) NextGossip() Gossip {
	return Gossip{
		Members:        s.members.Updates(maxGossipMembers),
		Engines:        s.engines.Updates(maxGossipEngines, s.members.Len()),
		TemplateNumber: s.templates.Number(),
	}
}

// AllRecords returns the records of all members and engines, for a sync.
func (s *State) AllRecords() Gossip {
	return Gossip{Members: s.members.All(), Engines: s.engines.All(), TemplateNumber: s.templates.Number()}
}

// MergeGossip merges the records received from another daemon.
func (s *State) MergeGossip(g Gossip) {
	s.MergeMembers(g.Members)
	s.MergeEngines(g.Engines)
	s.ObserveTemplateNumber(g.TemplateNumber)
}

// PeerInSync records that a randomly selected daemon has the same records.
func (s *State) PeerInSync() {
	s.members.PeerInSync()
	s.engines.PeerInSync(s.members.Len())
}

// Digest returns a hash of the member and engine records, so that daemons can
// compare their records without sending them. Dead members and engines that are
// down are left out, since each daemon removes them at a different time.
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
			continue
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

// UpdateTemplates applies u to the templates in force. Changes that they already
// include have no effect, so the number of the last change never falls.
func (s *State) UpdateTemplates(u template.Update) {
	updated, recent := s.templates.Update(u, s.recentChanges)
	if updated.Number() == s.templates.Number() {
		return
	}
	event.TemplateChangesInForce.Info("from", s.templates.Number(), "to", updated.Number())
	s.templates, s.recentChanges, s.templatesSince, s.dirty = updated, recent, s.now(), true
	s.ObserveTemplateNumber(updated.Number())
}

// SetHosts replaces the platform's host list, and marks owned engines as leaving
// that the list gives as leaving.
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

// SetPlatformReachable records whether the last request to the platform was
// answered.
func (s *State) SetPlatformReachable(ok bool) {
	if s.platform.down == !ok {
		return
	}
	s.platform = platformState{down: !ok, since: s.now()}
	s.dirty = true
	if ok {
		event.PlatformReachable.Info()
		return
	}
	event.PlatformUnreachable.Warn()
}

// Drain marks the daemon as draining, and its member record as leaving.
func (s *State) Drain() {
	s.draining, s.dirty = true, true
	s.members.Leave()
}

// offers returns the offers of the owned engines that are up, hold the model of
// p and have enough memory in total.
func (s *State) offers(p route.Prompt) []route.Offer {
	var out []route.Offer
	for _, o := range s.owned {
		if o.record.Status != directory.Up || !o.reported || !o.record.Holds(p.Model, p.Version) {
			continue
		}
		if p.Memory() > o.record.TotalTokens {
			continue
		}
		out = append(out, s.offer(o, p))
	}
	return out
}

// CountRequest adds the tokens of a request from this daemon's callers to the
// demand for the copy c.
func (s *State) CountRequest(c directory.Copy, tokens int) { s.demand.Add(c, tokens, s.now()) }

// Demand returns the demand of this daemon's callers.
func (s *State) Demand() placement.Demand { return s.demand.Demand(s.now()) }

// ObserveTemplateNumber records that template changes up to number exist.
func (s *State) ObserveTemplateNumber(number uint64) { s.latestNumber = max(s.latestNumber, number) }

// LatestTemplateNumber returns the highest number of a template change that is
// known to exist. The change need not be in force on this daemon yet.
func (s *State) LatestTemplateNumber() uint64 { return s.latestNumber }

// maxUnknownDaemons is the maximum number of daemons that UnknownDaemons returns.
const maxUnknownDaemons = 3

// UnknownDaemons returns random daemons from the host list and the bootstrap
// addresses of the settings that are not members yet, or are dead members.
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
	return out[:min(maxUnknownDaemons, len(out))]
}
