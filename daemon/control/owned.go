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
	// downAfter is how many polls in a row may fail before an engine counts
	// as down.
	downAfter = 2
	// worse is the factor, and slack the time, by which an offer may have
	// become worse before a placement is refused.
	worse = 1.5
	slack = 50 * time.Millisecond
)

// ownedEngine is what this daemon, as its owner, knows of one engine.
type ownedEngine struct {
	record  directory.Engine
	load    *route.LoadTracker
	health  route.Health
	groups  *group.Queue
	known   bool // a report has been seen
	missed  int  // polls in a row without an answer
	polling bool
}

// PollTarget names an engine to be polled, and the cache events known of it.
type PollTarget struct {
	Addr   string
	After  uint64
	Resync bool
}

// PollResult is the outcome of polling an engine.
type PollResult struct {
	Addr   string
	Err    error
	Report engine.Report
	Page   *engine.EventPage // nil if no events were asked for
	Resync bool
}

// DuePolls brings the list of engines that this daemon owns up to date, and
// returns those that are not being polled already.
func (s *State) DuePolls() []PollTarget {
	live := s.liveInHall()
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

// OwnedAddrs returns the addresses of the engines that this daemon owns.
func (s *State) OwnedAddrs() []string { return slices.Sorted(maps.Keys(s.owned)) }

// hallEngines returns the engines of this hall, from the host list and from
// what others have told.
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

func (s *State) liveInHall() []string {
	var as []string
	for _, m := range s.members.All() {
		if m.Hall == s.members.Self().Hall && (m.Status == member.Alive || m.Status == member.Suspect) {
			as = append(as, m.Addr)
		}
	}
	return as
}

// ApplyPoll takes the outcome of a poll.
func (s *State) ApplyPoll(p PollResult) {
	o, ok := s.owned[p.Addr]
	if !ok {
		return
	}
	o.polling = false
	if p.Err != nil {
		s.missed(o)
		return
	}
	o.missed, o.known = 0, true
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
		takeEvents(o, p)
	}
	s.observe(o, s.recordOf(o, r))
}

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
	if r.Leaving || s.listedLeaving(e.Addr) {
		e.Status = directory.Leaving
	}
	return e
}

func (s *State) listedLeaving(addr string) bool {
	for _, h := range s.hosts {
		if h.Addr == addr {
			return h.Leaving
		}
	}
	return false
}

func takeEvents(o *ownedEngine, p PollResult) {
	x := o.load.CacheIndex()
	if p.Resync {
		if x.LastEvent() > 0 {
			event.CacheResync.Info("engine", p.Addr, "blocks", len(p.Page.Blocks))
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

// missed notes that an engine did not answer.
func (s *State) missed(o *ownedEngine) {
	o.missed++
	if o.missed >= downAfter {
		s.observe(o, o.record.WithStatus(directory.Down))
	}
}

// observe writes what is known of an owned engine into the directory.
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

// place records a placement if the offer still holds. That of a group is always
// recorded: its memory is reserved already.
func (s *State) place(attempt string, offered route.Offer, p route.Prompt) (route.Offer, bool) {
	o, ok := s.owned[offered.Addr]
	if !ok || o.record.Status != directory.Up || o.load.Load().Incarnation != offered.Incarnation {
		return route.Offer{}, false
	}
	now := s.offer(o, p)
	if !p.Reserved && float64(now.TimeToFirstToken()) > worse*float64(offered.TimeToFirstToken())+float64(slack) {
		return now, false
	}
	now.FairnessDelay = o.load.Place(attempt, p, s.now())
	return now, true
}

// offer returns the prediction of one owned engine.
func (s *State) offer(o *ownedEngine, p route.Prompt) route.Offer {
	x := o.load.Offer(p, s.now())
	x.Ejected = o.health.Ejected(s.now())
	x.BlockedByGroup = o.groups.MustWait(p.PriorityAgainstGroups(), p.Memory(), o.record.TotalTokens, s.now())
	return x
}

// AwaitGroup notes that a group waits for the memory of an owned engine, or
// that it waits no longer, and returns whether it is its turn and what is free.
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
	if o.known && o.record.Status == directory.Up {
		t.Free, t.Total = max(0, o.load.FreeTokens()), o.record.TotalTokens
	}
	return t
}

// FinishAttempt takes the end of an attempt on an owned engine; failed says that the
// engine broke it off or could not be reached.
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
