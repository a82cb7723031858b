package control

import (
	"maps"
	"slices"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/directory"
	"slipcrank.example/core/group"
	"slipcrank.example/core/member"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/event"
)

const (
	// maxFailedPolls is the number of consecutive failed polls at which an
	// engine counts as down.
	maxFailedPolls = 2
	// A placement is refused if the predicted time to first token exceeds that
	// of the original offer times maxOfferFactor plus maxOfferExcess.
	maxOfferFactor = 1.5
	maxOfferExcess = 50 * time.Millisecond
)

// ownedEngine is the state of one engine that this daemon owns.
type ownedEngine struct {
	record      directory.Engine
	load        *route.LoadTracker
	health      route.Health
	groups      *group.Queue
	reported    bool // a load report has been received
	failedPolls int  // in a row
	polling     bool
}

// PollTarget is an engine to poll, and the position from which to read its
// cache events.
type PollTarget struct {
	Addr   string
	After  uint64 // number of the last cache event received
	Resync bool   // the complete cache has to be read, not only later events
}

// PollResult is the result of polling an engine.
type PollResult struct {
	Addr   string
	Err    error
	Report engine.Report
	Page   *engine.EventPage // nil if no events were read
	Resync bool
}

// DuePolls updates the set of engines that this daemon owns, and returns those
// that have no poll in progress. It marks them as being polled until
// [State.ApplyPoll] is called with the result.
func (s *State) DuePolls() []PollTarget {
	live := s.liveHallDaemons()
	mine := map[string]bool{}
	for addr, e := range s.hallEngines() {
		if route.Owner(addr, live) != s.members.Self().Addr {
			continue
		}
		mine[addr] = true
		if _, ok := s.owned[addr]; !ok {
			s.owned[addr] = &ownedEngine{record: e, load: route.NewLoadTracker(addr, s.now()), groups: group.NewQueue()}
		}
	}
	var out []PollTarget
	for addr, o := range s.owned {
		if !mine[addr] {
			delete(s.owned, addr)
			continue
		}
		if !o.polling {
			o.polling = true
			x := o.load.CacheIndex()
			out = append(out, PollTarget{Addr: addr, After: x.LastEvent(), Resync: !x.InSync()})
		}
	}
	return out
}

// OwnedAddrs returns the sorted addresses of the engines that this daemon owns.
func (s *State) OwnedAddrs() []string { return slices.Sorted(maps.Keys(s.owned)) }

// hallEngines returns the engines of this hall, by address, from the directory
// and the host list. An engine that is only in the host list counts as down.
func (s *State) hallEngines() map[string]directory.Engine {
	hall := s.members.Self().Hall
	out := map[string]directory.Engine{}
	for _, e := range s.engines.All() {
		if e.Hall == hall {
			out[e.Addr] = e
		}
	}
	for _, h := range s.hosts {
		if _, ok := out[h.Addr]; !ok && h.Role == hosts.Engine && h.Hall == hall {
			out[h.Addr] = directory.Engine{Addr: h.Addr, Hall: h.Hall, Status: directory.Down}
		}
	}
	return out
}

// liveHallDaemons returns the daemons of this hall that are alive or suspected.
func (s *State) liveHallDaemons() []string {
	var as []string
	for _, m := range s.members.All() {
		if m.Hall == s.members.Self().Hall && (m.Status == member.Alive || m.Status == member.Suspect) {
			as = append(as, m.Addr)
		}
	}
	return as
}

// ApplyPoll applies the result of a poll to the engine's load tracker, prefix
// index and record. A result for an engine that is no longer owned is ignored.
func (s *State) ApplyPoll(p PollResult) {
	o, ok := s.owned[p.Addr]
	if !ok {
		return
	}
	o.polling = false
	if p.Err != nil {
		s.pollFailed(o)
		return
	}
	o.failedPolls, o.reported = 0, true
	r := p.Report
	o.load.ApplyReport(route.Load{
		Taken:       s.now().Add(-r.Age),
		Incarnation: r.Incarnation,
		Pending:     r.PendingTokens,
		Waiting:     r.Waiting,
		Used:        r.UsedTokens,
		Total:       r.TotalTokens,
	}, s.now())
	if p.Page != nil {
		applyEvents(o, p)
	}
	s.observe(o, s.recordOf(o, r))
}

// recordOf returns the record of an owned engine after a load report.
func (s *State) recordOf(o *ownedEngine, r engine.Report) directory.Engine {
	e := directory.Engine{
		Addr:        o.record.Addr,
		Hall:        o.record.Hall,
		Incarnation: r.Incarnation,
		Role:        string(r.Role),
		Status:      directory.Up,
		TotalTokens: r.TotalTokens,
	}
	for _, c := range r.Copies {
		e.Copies = append(e.Copies, directory.Copy{Model: c.Model, Version: c.Version})
	}
	if r.Leaving || s.leavingInHostList(e.Addr) {
		e.Status = directory.Leaving
	}
	return e
}

// leavingInHostList reports whether the host list gives an address as leaving.
func (s *State) leavingInHostList(addr string) bool {
	for _, h := range s.hosts {
		if h.Addr == addr {
			return h.Leaving
		}
	}
	return false
}

// applyEvents applies the cache events of a poll to the engine's prefix index.
func applyEvents(o *ownedEngine, p PollResult) {
	x := o.load.CacheIndex()
	if p.Resync {
		if x.LastEvent() > 0 {
			event.PrefixIndexResynced.Info("engine", p.Addr, "blocks", len(p.Page.Blocks))
		}
		x.Resync(p.Page.Blocks, p.Page.Number)
		return
	}
	for _, e := range p.Page.Events {
		if e.Evicted {
			x.Evict(e.Number, e.Block)
		} else {
			x.Add(e.Number, e.Block)
		}
	}
}

// pollFailed records a failed poll, and marks the engine as down after
// maxFailedPolls in a row.
func (s *State) pollFailed(o *ownedEngine) {
	o.failedPolls++
	if o.failedPolls >= maxFailedPolls {
		s.observe(o, o.record.WithStatus(directory.Down))
	}
}

// observe replaces the record of an owned engine and updates the directory.
func (s *State) observe(o *ownedEngine, e directory.Engine) {
	before := o.record.Status
	o.record = e
	if !s.engines.Observe(e) {
		return
	}
	s.dirty = true
	if before == e.Status {
		return
	}
	switch e.Status {
	case directory.Up:
		event.EngineUp.Info("engine", e.Addr, "copies", len(e.Copies))
	case directory.Leaving:
		event.EngineLeaving.Info("engine", e.Addr)
	case directory.Down:
		event.EngineDown.Warn("engine", e.Addr)
	}
}

// place records a placement if the engine's current offer is not much worse
// than the offered one. The placement of a group is recorded in any case, since
// its memory is already reserved.
func (s *State) place(attempt string, offered route.Offer, p route.Prompt) (route.Offer, bool) {
	o, ok := s.owned[offered.Addr]
	if !ok || o.record.Status != directory.Up || o.load.Load().Incarnation != offered.Incarnation {
		return route.Offer{}, false
	}
	current := s.offer(o, p)
	if !p.Reserved && float64(current.TimeToFirstToken()) > maxOfferFactor*float64(offered.TimeToFirstToken())+float64(maxOfferExcess) {
		return current, false
	}
	current.FairnessDelay = o.load.Place(attempt, p, s.now())
	return current, true
}

// offer returns the current offer of one owned engine.
func (s *State) offer(o *ownedEngine, p route.Prompt) route.Offer {
	x := o.load.Offer(p, s.now())
	x.Ejected = o.health.Ejected(s.now())
	x.BlockedByGroup = o.groups.MustWait(p.PriorityAgainstGroups(), p.Memory(), o.record.TotalTokens, s.now())
	return x
}

// AwaitGroup adds the group id to the queue for the memory of an owned engine,
// or removes it if leave is set. It returns whether a more urgent group waits
// too, and the engine's free and total memory. The status is empty for a group
// that leaves and for an engine that is not owned.
func (s *State) AwaitGroup(addr, id string, priority int64, leave bool) group.WaitStatus {
	o, ok := s.owned[addr]
	switch {
	case !ok:
		return group.WaitStatus{}
	case leave:
		o.groups.Leave(id)
		return group.WaitStatus{}
	}
	t := group.WaitStatus{Outranked: o.groups.Join(id, priority, s.now())}
	if o.reported && o.record.Status == directory.Up {
		t.Free, t.Total = max(0, o.load.FreeTokens()), o.record.TotalTokens
	}
	return t
}

// FinishAttempt records the end of an attempt on an owned engine. FirstToken is
// its time to first token; failed means that the engine aborted the attempt or
// could not be reached.
func (s *State) FinishAttempt(attempt, addr string, firstToken time.Duration, failed bool) {
	o, ok := s.owned[addr]
	if !ok {
		return
	}
	o.load.Finish(attempt, firstToken, s.now())
	if failed {
		o.health = o.health.Fail(s.now())
		return
	}
	o.health = o.health.Succeed()
}
