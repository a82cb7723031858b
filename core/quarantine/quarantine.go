// Package quarantine remembers requests under which backend servers ended, so
// that one request can't end server after server.
//
// A server that ends takes some ten requests with it, and one of them may be the
// cause. A request under which a server ended is a suspect: from then on it runs
// only where no other suspect runs, and all of its copies on one server, so that
// the next end tells which one it was. One that is answered is cleared. One under
// which several servers ended, at least one of them while it was apart, is held:
// it is refused at once. A [Book] holds what is known of suspects, by this host's
// evidence and by that of others, who are told a [Record] of each. Records only
// grow by merging, so that they may be lost, told twice and in any order.
//
// The load that this answers: a request that ends each server which begins to run
// it comes again from several callers, at any host, many times a second, beside
// ordinary requests.
//
// # Usage
//
//	b := quarantine.NewBook()
//	if b.Knows(r.Mark()) && b.Stage(r.Print(), now) == quarantine.Held { ... refuse }
//	b.Ended(r.Identity(), server, apart, now)   // with the answer due
//	b.Answered(print, now)
//	for _, r := range b.Records(now) { ... tell others }
//	b.Hear(record, now)
package quarantine

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// What becomes of a request.
const (
	// Clear requests run anywhere.
	Clear Stage = iota
	// Suspect ones run where no other suspect runs.
	Suspect
	// Doubtful ones run like suspects, and one copy at a time.
	Doubtful
	// Held ones are refused.
	Held
)

const (
	// doubtfulEnds is under how many ended servers only one copy may run at a
	// time, and heldEnds under how many a request is held: the users allow three.
	doubtfulEnds = 2
	heldEnds     = 3
	// apartEnds is how many of them have to be while it ran apart from other
	// suspects. Many copies of a harmless request that run at once may see
	// several servers end together.
	apartEnds = 1
	// suspectTime forgets suspects that came again no more. Callers come back
	// within their deadlines, of which the longest used are 15 s; a request that
	// comes seldom and ends a server each time has to add up all the same.
	suspectTime = 10 * time.Minute
	// HeldTime forgets held requests, so that one is tried again at some time:
	// servers with other software may well run it. One that still ends servers
	// ends three more, an hour's share of which is little.
	HeldTime = time.Hour
	// listedTime is how long after its end a server may still be on the
	// platform's list, which it leaves after three heartbeats of 1.2 s, and again
	// how much longer it has to be there to count as living: after an outage of the
	// platform entries that lapsed are kept for 2.2 s.
	listedTime = 6 * time.Second
	// most bounds the suspects, mostOfOne those of one workspace: some 200 bytes
	// each. A server that ends makes some ten. The one that was heard of longest
	// ago falls out first, held ones last, and of one workspace's its own.
	most      = 1024
	mostOfOne = 128
	// mostEnds bounds what is kept of the servers that ended under a request.
	mostEnds = 8
	// confineAfter is how many servers have to end within confineTime under a
	// workspace's suspects that ran apart, before all that it sends runs on one
	// server. One may be chance; whoever sends one deadly request after the other
	// would end all servers though each request is held in the end.
	confineAfter = 3
	confineTime  = time.Minute
	// endPause lies between two ends under such a workspace: as servers are back
	// after some four seconds, it keeps four of them down at most.
	endPause = time.Second
	// maxName is the longest name of a workspace that others are believed.
	maxName = 256
)

type (
	// Stage is what becomes of a request.
	Stage int

	// End is a server that ended under a request.
	End struct {
		_ struct{} `cbor:",toarray"`
		// Server is a digest of its ID, by [ServerOf].
		Server uint32
		// Apart says that no other suspect was known to run there.
		Apart bool
	}

	// Record is what is known of a suspect: an immutable value.
	Record struct {
		_         struct{} `cbor:",toarray"`
		Mark      Mark
		Print     Print
		Workspace string
		Ends      []End // by server, each once
		// Pardons counts how often it was cleared, by an answer or an operator.
		// Ends that were known before the last time don't count.
		Pardons uint32
	}

	// Change is a suspect whose stage has changed.
	Change struct {
		Record Record
		Stage  Stage
		// Forgotten says that it was dropped, since it is old or there were too
		// many.
		Forgotten bool
	}

	// Book is what is known of suspects. It is safe for use by many goroutines.
	Book struct {
		mu       sync.Mutex
		suspects map[Print]*suspect
		marks    map[Mark]int // how many suspects have the mark
		// workspaces are those under whose suspects servers ended that ran apart.
		workspaces map[string]*offender
	}

	// offender is such a workspace: when servers ended under it that ran apart,
	// the last confineAfter times, and when any did last.
	offender struct {
		apart []time.Duration
		last  time.Duration
	}

	suspect struct {
		record Record
		latest time.Duration // when more was learnt of it
		own    bool          // whether this host has evidence of its own
		// checked says that its ends were compared with the list of servers, and
		// listed when one of these was found there first, 0 for none.
		checked bool
		listed  time.Duration
	}
)

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{suspects: map[Print]*suspect{}, marks: map[Mark]int{}, workspaces: map[string]*offender{}}
}

// ServerOf digests a server's ID.
func ServerOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// Knows reports whether a suspect has the mark, and so whether the print of a
// request with that mark has to be looked up.
func (b *Book) Knows(m Mark) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.marks[m] > 0
}

// Stage returns what becomes of a request now.
func (b *Book) Stage(p Print) Stage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[p]; s != nil {
		return s.record.Stage()
	}
	return Clear
}

// Record returns what is known of a suspect, and how old that is.
func (b *Book) Record(p Print, now time.Duration) (Record, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[p]; s != nil {
		return s.record, now - s.latest
	}
	return Record{}, 0
}

// Ended notes that a server has ended with a request's answer due, and whether the
// request ran there apart from other suspects. It returns the stages that changed.
func (b *Book) Ended(id Identity, server string, apart bool, now time.Duration) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Record{Mark: id.Mark, Print: id.Print, Workspace: id.Workspace, Ends: []End{{Server: ServerOf(server), Apart: apart}}}
	return b.merge(r, true, now)
}

// Hear takes in what another host knows of a suspect.
func (b *Book) Hear(r Record, now time.Duration) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(r, false, now)
}

// merge adds what a record says, and returns the stages that changed.
func (b *Book) merge(r Record, own bool, now time.Duration) []Change {
	var changes []Change
	s := b.suspects[r.Print]
	if s == nil {
		changes = b.makeRoom(r.Workspace)
		s = &suspect{record: Record{Mark: r.Mark, Print: r.Print, Workspace: r.Workspace}}
		b.suspects[r.Print] = s
		b.marks[r.Mark]++
	}
	before := s.record.Stage()
	if own {
		r.Pardons = s.record.Pardons
	}
	merged := s.record.with(r)
	if own || merged.Pardons != s.record.Pardons || !slices.Equal(merged.Ends, s.record.Ends) {
		s.latest, s.checked, s.listed = now, false, 0
	}
	b.blame(s.record.Workspace, len(merged.Ends)-len(s.record.Ends), merged.apart()-s.record.apart(), now)
	s.record, s.own = merged, s.own || own
	if after := s.record.Stage(); after != before {
		changes = append(changes, Change{Record: s.record, Stage: after})
	}
	return changes
}

// blame notes that more servers ended under a workspace, some of them while its
// request ran apart.
func (b *Book) blame(workspace string, ended, apart int, now time.Duration) {
	o := b.workspaces[workspace]
	if o == nil && apart > 0 {
		o = &offender{}
		b.workspaces[workspace] = o
	}
	if o == nil || ended <= 0 {
		return
	}
	o.last = now
	for range apart {
		o.apart = append(o.apart, now)
	}
	o.apart = o.apart[max(len(o.apart)-confineAfter, 0):]
}

// Confined reports whether all that a workspace sends has to run on one server now,
// and whether it has to wait since one has just ended under it. Callers without a
// workspace are many: one of them doesn't confine the others.
func (b *Book) Confined(workspace string, now time.Duration) (confined, waits bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.workspaces[workspace]
	if workspace == "" || o == nil || len(o.apart) < confineAfter || now-o.apart[0] >= confineTime {
		return false, false
	}
	return true, now-o.last < endPause
}

// with returns the record with what another one says of the same request.
func (r Record) with(o Record) Record {
	switch {
	case o.Pardons > r.Pardons:
		r.Pardons, r.Ends = o.Pardons, nil
	case o.Pardons < r.Pardons:
		return r
	}
	all := slices.Clone(r.Ends)
	for _, e := range o.Ends {
		i, known := slices.BinarySearchFunc(all, e.Server, func(o End, s uint32) int { return cmp.Compare(o.Server, s) })
		switch {
		case known:
			all[i].Apart = all[i].Apart || e.Apart
		case len(all) < mostEnds:
			all = slices.Insert(all, i, e)
		}
	}
	r.Ends = all
	return r
}

// String returns the stage as it stands in logs.
func (s Stage) String() string {
	return [...]string{Clear: "clear", Suspect: "suspect", Doubtful: "doubtful", Held: "held"}[s]
}

// Stage returns what becomes of the request.
func (r Record) Stage() Stage {
	switch n := len(r.Ends); {
	case n >= heldEnds && r.apart() >= apartEnds:
		return Held
	case n >= doubtfulEnds:
		return Doubtful
	case n > 0:
		return Suspect
	}
	return Clear
}

// Validate reports what is wrong with a record that somebody else has made.
func (r Record) Validate() error {
	switch {
	case r.Print == Print{}:
		return errors.New("a suspect without a print")
	case len(r.Workspace) > maxName:
		return errors.Newf("a suspect's workspace has a name of %d bytes", len(r.Workspace))
	case len(r.Ends) == 0 && r.Pardons == 0, len(r.Ends) > mostEnds:
		return errors.Newf("a suspect with %d servers", len(r.Ends))
	case !slices.IsSortedFunc(r.Ends, byServer):
		return errors.New("a suspect's servers are out of order")
	}
	return nil
}

func byServer(x, y End) int { return cmp.Compare(x.Server, y.Server) }

// apart counts the servers that ended while the request ran apart.
func (r Record) apart() int {
	n := 0
	for _, e := range r.Ends {
		if e.Apart {
			n++
		}
	}
	return n
}

// makeRoom drops a suspect if there are as many as there may be.
func (b *Book) makeRoom(workspace string) []Change {
	ofOne := 0
	for _, s := range b.suspects {
		if s.record.Workspace == workspace {
			ofOne++
		}
	}
	if ofOne < mostOfOne && len(b.suspects) < most {
		return nil
	}
	var oldest *suspect
	for _, s := range b.suspects {
		if ofOne >= mostOfOne && s.record.Workspace != workspace {
			continue
		}
		if oldest == nil || s.before(oldest) {
			oldest = s
		}
	}
	return []Change{b.drop(oldest)}
}

// before reports whether a suspect falls out before another one.
func (s *suspect) before(o *suspect) bool {
	held, other := s.record.Stage() == Held, o.record.Stage() == Held
	if held != other {
		return other
	}
	return s.latest < o.latest
}

// drop forgets a suspect.
func (b *Book) drop(s *suspect) Change {
	delete(b.suspects, s.record.Print)
	if b.marks[s.record.Mark]--; b.marks[s.record.Mark] == 0 {
		delete(b.marks, s.record.Mark)
	}
	return Change{Record: s.record, Forgotten: true}
}

// Answered notes that a request was answered whole: it ends no servers. It
// reports whether the request was a suspect. What is held stays held.
func (b *Book) Answered(p Print, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	return s != nil && s.record.Stage() != Held && s.pardon(now)
}

// Pardon clears a suspect, also one that is held, and reports whether there was
// one.
func (b *Book) Pardon(p Print, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[p]
	return s != nil && s.pardon(now)
}

// pardon clears a suspect, unless it is clear. It is kept for a while, so that
// others who know less don't bring it back.
func (s *suspect) pardon(now time.Duration) bool {
	if s.record.Stage() == Clear {
		return false
	}
	s.record.Ends = nil
	s.record.Pardons++
	s.latest, s.own = now, true
	return true
}

// Expire drops what is too old, and returns it.
func (b *Book) Expire(now time.Duration) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	for w, o := range b.workspaces {
		if now-o.last >= confineTime {
			delete(b.workspaces, w)
		}
	}
	var changes []Change
	for _, s := range b.suspects {
		life := suspectTime
		if s.record.Stage() == Held {
			life = HeldTime
		}
		if now-s.latest > life {
			changes = append(changes, b.drop(s))
		}
	}
	return changes
}

// Check drops ends of servers that stay on the platform's list long after: these
// have not ended. It is called again and again while the list is new. A way that is cut may refuse connections, and whoever
// forges news can't take servers off the list. It returns the changes.
func (b *Book) Check(listed func(server uint32) bool, now time.Duration) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	for _, s := range b.suspects {
		if s.checked || now-s.latest < listedTime {
			continue
		}
		if !slices.ContainsFunc(s.record.Ends, func(e End) bool { return listed(e.Server) }) {
			s.checked = true
			continue
		}
		if s.listed == 0 {
			s.listed = now
		}
		if now-s.listed < listedTime {
			continue
		}
		s.checked = true
		before := s.record.Stage()
		s.record.Ends = slices.DeleteFunc(slices.Clone(s.record.Ends), func(e End) bool { return listed(e.Server) })
		after := s.record.Stage()
		switch {
		case after == Clear:
			changes = append(changes, b.drop(s))
		case after != before:
			changes = append(changes, Change{Record: s.record, Stage: after})
		}
	}
	return changes
}

// Told is a suspect of which this host has evidence of its own, with the time
// since that last changed.
type Told struct {
	Record Record
	Age    time.Duration
}

// Own returns the suspects of which this host has evidence of its own, the last
// to change first: others are told of these.
func (b *Book) Own(now time.Duration) []Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Told
	for _, s := range b.suspects {
		if s.own {
			out = append(out, Told{s.record, now - s.latest})
		}
	}
	slices.SortFunc(out, func(x, y Told) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Record.Mark, y.Record.Mark))
	})
	return out
}

// All returns what is known of all suspects, those that are held first.
func (b *Book) All() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Record, 0, len(b.suspects))
	for _, s := range b.suspects {
		out = append(out, s.record)
	}
	slices.SortFunc(out, func(x, y Record) int {
		return cmp.Or(cmp.Compare(y.Stage(), x.Stage()), cmp.Compare(x.Mark, y.Mark))
	})
	return out
}
