// Package notice keeps what backend servers say of themselves in their answers.
//
// A server in need names a [Limit]: how many requests a second it takes from all
// hosts together, for as long as it says so. Hosts learn of it from answers to their
// own requests and from each other, in any order. What they know of one start of a
// server therefore has a version, which rises with each change: of two versions the
// higher one holds, and of equal ones the lower limit.
//
// A server that leaves says so too. To the host that got the answer that stands for as
// long as this start of the server lasts, whatever its entry in the platform's list says;
// another start has another ID.
//
// A server that turns a request away may ask the host that sent it for rest, which lasts
// until its end and binds nobody else.
//
// Answers overtake each other. A lower limit holds at once. A higher one, or none,
// holds only if the answer is to a request that left after this host knew of what it
// replaces: the server has made that answer later.
//
// # Usage
//
//	b := notice.NewBook()
//	l, err := notice.ReadLimit(header)
//	if now, changed := b.Answered(server, l, sent, clock.Now()); changed { ... tell others }
//	b.Hear(server, limit, clock.Now())
//	b.Leaves(server, clock.Now())
//	b.Rests(server, clock.Now()+rest, clock.Now())
//	open, wait := b.Open(servers, clock.Now())    // those that may get a request
package notice

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
)

const (
	// keepTime is how long what a server has said is kept after it was last listed:
	// entries lapse while the platform is away, and come back.
	keepTime = 10 * time.Minute
	// mostServers bounds the servers of which something is kept.
	mostServers = 8192
	// longestRest is the longest rest that a server can mean.
	longestRest = time.Hour
	// doubtTime is for how long another host's word holds that a server leaves: longer
	// than most servers serve on after that.
	doubtTime = 30 * time.Second
)

type (
	// Limit is how many requests a second a server takes from all hosts together.
	// The zero value is no limit.
	Limit struct {
		// Version orders what is known of one start of a server.
		Version uint64
		// Limited reports whether there is a limit, and Rate is it.
		Limited bool
		Rate    float64
	}

	// Registry is what servers have said. It is safe for use by many goroutines.
	Registry struct {
		mu      sync.Mutex
		servers map[string]*said // by ID of their start
	}

	// said is what is known of one start of a server.
	said struct {
		limit      Limit
		since      time.Duration // when this host came to know of limit
		closed     time.Duration // until then the server takes nothing more
		listed     time.Duration // when the server was listed last
		rest       time.Duration // until then it wants nothing from this host
		leaving    bool          // it has said so to this host
		doubted    time.Duration // until then another host's word holds that it leaves
		unreadable bool          // an answer could not be read, and that is logged
	}
)

// NewRegistry returns an empty book.
func NewRegistry() *Registry { return &Registry{servers: map[string]*said{}} }

// ParseLimit reads a limit as a server names it: a decimal number of requests a
// second, 0 or more. Without a text it names none.
func ParseLimit(text string) (Limit, error) {
	if text == "" {
		return Limit{}, nil
	}
	r, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return Limit{}, errors.Wrapf(err, "limit %q is no number of requests a second", text)
	}
	l := Limit{Limited: true, Rate: r}
	if err := l.Validate(); err != nil {
		return Limit{}, err
	}
	return l, nil
}

// Validate reports a rate that no server can mean.
func (l Limit) Validate() error {
	if math.IsNaN(l.Rate) || math.IsInf(l.Rate, 0) || l.Rate < 0 {
		return errors.Newf("a limit of %v requests a second; want 0 or more", l.Rate)
	}
	return nil
}

// UpdateLimit takes in the limit that an answer names to a request that left at the time
// sent. It returns what holds now, and whether that has changed.
func (b *Registry) UpdateLimit(server string, l Limit, sent, now time.Duration) (Limit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[server]
	if s == nil && !l.Limited {
		return Limit{}, false
	}
	s = b.of(server, now)
	switch {
	case s.limit.Limited == l.Limited && s.limit.Rate == l.Rate:
		return s.limit, false
	case !l.tighter(s.limit) && sent <= s.since:
		return s.limit, false
	}
	l.Version = s.limit.Version + 1
	s.set(l, now)
	return l, true
}

// ParseLeaving reads whether a server says that it leaves.
func ParseLeaving(text string) (bool, error) {
	if text == "" {
		return false, nil
	}
	leaves, err := strconv.ParseBool(text)
	return leaves, errors.Wrapf(err, "%q doesn't say whether the server leaves", text)
}

// ParseBackoff reads for how many seconds a server wants rest. Without a text it wants none.
func ParseBackoff(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "a rest of %q is no number of seconds", text)
	}
	if math.IsNaN(s) || s < 0 || s > longestRest.Seconds() {
		return 0, errors.Newf("a rest of %q seconds; want 0 to %v", text, longestRest.Seconds())
	}
	return time.Duration(s * float64(time.Second)), nil
}

// ExtendBackoff takes in that a server wants nothing from this host until a time. No answer that
// says something else ends that earlier.
func (b *Registry) ExtendBackoff(server string, until, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(server, now)
	s.rest = max(s.rest, until)
}

// Backoff is for how long a server wants nothing from this host; 0 if it takes requests.
func (b *Registry) Backoff(server string, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[server]
	if s == nil {
		return 0
	}
	return max(s.rest-now, 0)
}

// SetLeaving takes in that a server has said to this host that it leaves, and reports
// whether that is new. It stands until this start of the server has ended.
func (b *Registry) SetLeaving(server string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(server, now)
	first := !s.leaving
	s.leaving = true
	return first
}

// SetReportedLeaving takes in that a server has said so to another host. Nobody vouches for
// that word, so it holds for a while, and not where all servers of a service are said to
// leave: then this host asks them itself. It reports whether it didn't hold before.
func (b *Registry) SetReportedLeaving(server string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(server, now)
	first := now >= s.doubted
	s.doubted = now + doubtTime
	return first
}

// Leaving reports whether a server has said to this host that it leaves.
func (b *Registry) Leaving(server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[server]
	return s != nil && s.leaving
}

// MergeLimit takes in what another host knows of a server, and reports whether that
// changed what is known here.
func (b *Registry) MergeLimit(server string, l Limit, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[server]
	if s == nil && l.Version == 0 {
		return false
	}
	s = b.of(server, now)
	if !l.newer(s.limit) {
		return false
	}
	s.set(l, now)
	return true
}

// set brings a limit into force. What is granted of it is not known yet.
func (s *said) set(l Limit, now time.Duration) { s.limit, s.since, s.closed = l, now, 0 }

// CloseUntil notes that a limited server takes nothing more until a time.
func (b *Registry) CloseUntil(server string, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[server]; s != nil && s.limit.Limited {
		s.closed = max(s.closed, until)
	}
}

// Available returns those of some servers that may get a request now. Where there is none
// since all are closed, it tells how long it takes until one isn't.
func (b *Registry) Available(servers []backend.Server, now time.Duration) ([]backend.Server, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.ContainsFunc(servers, func(s backend.Server) bool { return b.spared(s.ID, now) }) {
		return servers, 0
	}
	open, doubted, wait := servers[:0:0], servers[:0:0], time.Duration(0)
	for _, server := range servers {
		s := b.servers[server.ID]
		switch {
		case !b.spared(server.ID, now):
			open = append(open, server)
		case s.open(now):
			doubted = append(doubted, server)
		case !s.leaving && (wait == 0 || s.until()-now < wait):
			wait = s.until() - now
		}
	}
	switch {
	case len(open) > 0:
		return open, 0
	case len(doubted) > 0:
		return doubted, 0
	}
	return nil, wait
}

// spared reports whether a server had better get no request now, by what it has said to
// this host or another.
func (b *Registry) spared(server string, now time.Duration) bool {
	s := b.servers[server]
	return s != nil && (!s.open(now) || now < s.doubted)
}

// open reports whether a server may get a request now, by what it has said to this host.
func (s *said) open(now time.Duration) bool { return !s.leaving && now >= s.until() }

// until is when a server that doesn't leave may get a request.
func (s *said) until() time.Duration { return max(s.closed, s.rest) }

// LimitedServers returns those of some servers that name a limit, by ID; nil for none.
func (b *Registry) LimitedServers(servers []backend.Server) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var limited map[string]bool
	for _, server := range servers {
		if s := b.servers[server.ID]; s == nil || !s.limit.Limited {
			continue
		}
		if limited == nil {
			limited = map[string]bool{}
		}
		limited[server.ID] = true
	}
	return limited
}

// Limit returns what is known of a server.
func (b *Registry) Limit(server string) Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[server]; s != nil {
		return s.limit
	}
	return Limit{}
}

// SetUnreadable notes that an answer of a server can't be read, and reports whether
// that is the first one.
func (b *Registry) SetUnreadable(server string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(server, now)
	first := !s.unreadable
	s.unreadable = true
	return first
}

// Prune drops what servers have said that are not listed any more.
func (b *Registry) Prune(listed func(server string) bool, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		switch {
		case listed(id):
			s.listed = now
		case now-s.listed > keepTime:
			delete(b.servers, id)
		}
	}
}

// of returns what is known of a server. A new one takes the place of the one that was
// listed longest ago, if there are too many.
func (b *Registry) of(server string, now time.Duration) *said {
	if s := b.servers[server]; s != nil {
		return s
	}
	if len(b.servers) >= mostServers {
		var oldest string
		for id, s := range b.servers {
			if oldest == "" || s.listed < b.servers[oldest].listed {
				oldest = id
			}
		}
		delete(b.servers, oldest)
	}
	s := &said{listed: now}
	b.servers[server] = s
	return s
}

// tighter reports whether a limit lets fewer requests through than another.
func (l Limit) tighter(other Limit) bool {
	return l.Limited && (!other.Limited || l.Rate < other.Rate)
}

// newer reports whether a limit takes the place of another one.
func (l Limit) newer(other Limit) bool {
	if c := cmp.Compare(l.Version, other.Version); c != 0 {
		return c > 0
	}
	return l.tighter(other)
}
