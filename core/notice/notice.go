// Package notice tracks what backend servers report about themselves in the headers of
// their answers.
//
// An overloaded server reports a [Limit]: the number of requests per second that it
// accepts from all hosts together, valid until it reports otherwise. Hosts learn of a
// limit from the answers to their own requests and from each other, in any order. The
// limit of a server instance therefore carries a version, which increases with each
// change: the higher version wins, and for equal versions the lower limit.
//
// A server that has just started may be cold: until then it accepts fewer requests per
// second than usual. Its limit in effect is the lower one of the two.
//
// A server that is about to shut down reports that it is leaving. For the host that got
// the answer this is final for the server instance, whatever its entry in the platform's
// server list says. After a restart the server has another ID.
//
// A server that refuses a request may ask the host that sent it to back off for a given
// time. This applies to that host alone, and later answers don't shorten it.
//
// Answers may overtake each other. A lower limit takes effect at once. A higher limit,
// or the end of a limit, takes effect only if the request was sent after this host
// learned of the limit that is replaced, which guarantees that the answer is newer.
//
// # Usage
//
//	reg := notice.NewRegistry()
//	l, err := notice.ParseLimit(header)
//	if current, changed := reg.UpdateLimit(server, l, sent, clock.Now()); changed { ... send to other hosts }
//	reg.MergeLimit(server, limit, clock.Now())
//	reg.SetCold(server, rate, until, clock.Now())
//	l = reg.Limit(server, clock.Now())               // the limit in effect
//	reg.SetLeaving(server, clock.Now())
//	reg.ExtendBackoff(server, clock.Now()+backoff, clock.Now())
//	available, wait := reg.Available(servers, clock.Now())    // servers that may get a request
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
	// retention is how long the state of a server is kept after the server was last
	// listed: entries of the list expire while the platform is down, and return.
	retention = 10 * time.Minute
	// maxServers bounds the number of servers whose state is kept.
	maxServers = 8192
	// maxBackoff is the longest backoff that a server may ask for.
	maxBackoff = time.Hour
	// reportedLeavingTTL is how long another host's report that a server is leaving
	// stays valid: longer than most servers keep running after they start to leave.
	reportedLeavingTTL = 30 * time.Second
)

type (
	// Limit is the number of requests per second that a server accepts from all hosts
	// together. The zero value means that there is no limit.
	Limit struct {
		// Version orders the limits of one server instance.
		Version uint64
		// Limited reports whether there is a limit, and Rate is its value in requests
		// per second.
		Limited bool
		Rate    float64
	}

	// Registry stores the reported state of servers. It is safe for concurrent use.
	Registry struct {
		mu      sync.Mutex
		servers map[string]*serverState // by ID of the server instance
	}

	// serverState is the reported state of one server instance.
	serverState struct {
		limit                Limit
		limitSince           time.Duration // when this host learned of limit
		closedUntil          time.Duration // end of the time in which the limit is exhausted
		coldRate             float64       // requests per second that are accepted until coldUntil
		coldUntil            time.Duration
		lastListed           time.Duration // when the server was last listed
		backoffUntil         time.Duration // end of the backoff for this host
		leaving              bool          // the server reported to this host that it is leaving
		reportedLeavingUntil time.Duration // end of the time for which another host's report of that is valid
		unreadable           bool          // an unreadable answer has been logged
	}
)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{servers: map[string]*serverState{}} }

// ParseLimit parses a limit as reported by a server: a decimal number of requests per
// second, 0 or more. An empty text means that there is no limit.
func ParseLimit(text string) (Limit, error) {
	if text == "" {
		return Limit{}, nil
	}
	r, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return Limit{}, errors.Wrapf(err, "limit %q is not a number of requests per second", text)
	}
	l := Limit{Limited: true, Rate: r}
	if err := l.Validate(); err != nil {
		return Limit{}, err
	}
	return l, nil
}

// Validate returns an error if the rate is negative, infinite or not a number.
func (l Limit) Validate() error {
	if math.IsNaN(l.Rate) || math.IsInf(l.Rate, 0) || l.Rate < 0 {
		return errors.Newf("limit of %v requests per second; want 0 or more", l.Rate)
	}
	return nil
}

// UpdateLimit applies the limit reported in the answer to a request that was sent at
// the time sent. It returns the limit in effect, and whether it has changed.
func (reg *Registry) UpdateLimit(server string, l Limit, sent, now time.Duration) (Limit, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.servers[server]
	if s == nil && !l.Limited {
		return Limit{}, false
	}
	s = reg.getOrCreate(server, now)
	switch {
	case s.limit.Limited == l.Limited && s.limit.Rate == l.Rate:
		return s.limit, false
	case !l.lowerThan(s.limit) && sent <= s.limitSince:
		return s.limit, false
	}
	l.Version = s.limit.Version + 1
	s.setLimit(l, now)
	return l, true
}

// ParseLeaving parses whether a server reports that it is leaving. An empty text means
// that it is not.
func ParseLeaving(text string) (bool, error) {
	if text == "" {
		return false, nil
	}
	leaving, err := strconv.ParseBool(text)
	return leaving, errors.Wrapf(err, "leaving notice %q is not a boolean", text)
}

// ParseBackoff parses the backoff that a server asks for, a decimal number of seconds
// from 0 to 3600. An empty text means that there is none.
func ParseBackoff(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "backoff %q is not a number of seconds", text)
	}
	if math.IsNaN(s) || s < 0 || s > maxBackoff.Seconds() {
		return 0, errors.Newf("backoff of %q seconds; want 0 to %v", text, maxBackoff.Seconds())
	}
	return time.Duration(s * float64(time.Second)), nil
}

// ExtendBackoff records that a server asks this host to send it no requests until a
// given time. It never shortens an earlier backoff.
func (reg *Registry) ExtendBackoff(server string, until, now time.Duration) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.getOrCreate(server, now)
	s.backoffUntil = max(s.backoffUntil, until)
}

// Backoff returns the remaining time for which this host must send a server no requests,
// 0 if there is none.
func (reg *Registry) Backoff(server string, now time.Duration) time.Duration {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.servers[server]
	if s == nil {
		return 0
	}
	return max(s.backoffUntil-now, 0)
}

// SetLeaving records that a server has reported to this host that it is leaving, and
// reports whether that is new. It can't be undone for this server instance.
func (reg *Registry) SetLeaving(server string, now time.Duration) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.getOrCreate(server, now)
	first := !s.leaving
	s.leaving = true
	return first
}

// SetReportedLeaving records that another host reports a server as leaving. Such reports
// are unverified. They are therefore valid for reportedLeavingTTL only, and ignored if
// all servers of a service are reported as leaving: this host then learns the truth from
// its own requests. It returns true unless an earlier report is still valid.
func (reg *Registry) SetReportedLeaving(server string, now time.Duration) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.getOrCreate(server, now)
	first := now >= s.reportedLeavingUntil
	s.reportedLeavingUntil = now + reportedLeavingTTL
	return first
}

// Leaving reports whether a server has reported to this host that it is leaving.
func (reg *Registry) Leaving(server string) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.servers[server]
	return s != nil && s.leaving
}

// LeavingServers returns the IDs of up to limit servers that have reported to this host that they
// are leaving, those listed last first.
func (reg *Registry) LeavingServers(limit int) []string {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var ids []string
	for id, s := range reg.servers {
		if s.leaving {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(reg.servers[b].lastListed, reg.servers[a].lastListed), cmp.Compare(a, b))
	})
	return ids[:min(limit, len(ids))]
}

// MergeLimit merges a server's limit received from another host, and reports whether
// that has changed the limit in effect.
func (reg *Registry) MergeLimit(server string, l Limit, now time.Duration) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.servers[server]
	if s == nil && l.Version == 0 {
		return false
	}
	s = reg.getOrCreate(server, now)
	if !l.supersedes(s.limit) {
		return false
	}
	s.setLimit(l, now)
	return true
}

// setLimit puts a limit into effect. The server is open again until CloseUntil is called
// for the new limit.
func (s *serverState) setLimit(l Limit, now time.Duration) {
	s.limit, s.limitSince, s.closedUntil = l, now, 0
}

// SetCold records that a server is cold until a given time, and how many requests per
// second it accepts from all hosts together until then. It never shortens that time.
func (reg *Registry) SetCold(server string, rate float64, until, now time.Duration) {
	if until <= now {
		return
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.getOrCreate(server, now)
	s.coldRate, s.coldUntil = rate, max(s.coldUntil, until)
}

// ColdRate returns the number of requests per second that a cold server accepts from all
// hosts together, and false if the server isn't cold.
func (reg *Registry) ColdRate(server string, now time.Duration) (float64, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if s := reg.servers[server]; s != nil && now < s.coldUntil {
		return s.coldRate, true
	}
	return 0, false
}

// CloseUntil records that the limit of a server is exhausted until a given time. It has
// no effect on a server without a limit.
func (reg *Registry) CloseUntil(server string, until, now time.Duration) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if s := reg.servers[server]; s != nil && s.effectiveLimit(now).Limited {
		s.closedUntil = max(s.closedUntil, until)
	}
}

// Available returns those of the given servers that may get a request now. Servers that
// only other hosts report as leaving are returned if there are no others. If no server
// is available, it returns the time until the first becomes available, 0 if all are
// leaving.
func (reg *Registry) Available(servers []backend.Server, now time.Duration) ([]backend.Server, time.Duration) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if !slices.ContainsFunc(servers, func(s backend.Server) bool { return reg.avoided(s.ID, now) }) {
		return servers, 0
	}
	available, reportedLeaving, wait := servers[:0:0], servers[:0:0], time.Duration(0)
	for _, server := range servers {
		s := reg.servers[server.ID]
		switch {
		case !reg.avoided(server.ID, now):
			available = append(available, server)
		case s.available(now):
			reportedLeaving = append(reportedLeaving, server)
		case !s.leaving && (wait == 0 || s.availableAt()-now < wait):
			wait = s.availableAt() - now
		}
	}
	switch {
	case len(available) > 0:
		return available, 0
	case len(reportedLeaving) > 0:
		return reportedLeaving, 0
	}
	return nil, wait
}

// avoided reports whether a server should get no request now, according to its own
// answers or to reports of other hosts.
func (reg *Registry) avoided(server string, now time.Duration) bool {
	s := reg.servers[server]
	return s != nil && (!s.available(now) || now < s.reportedLeavingUntil)
}

// available reports whether a server may get a request now. It ignores other hosts'
// reports that the server is leaving.
func (s *serverState) available(now time.Duration) bool { return !s.leaving && now >= s.availableAt() }

// availableAt returns the time from which a server that isn't leaving may get a request.
func (s *serverState) availableAt() time.Duration { return max(s.closedUntil, s.backoffUntil) }

// LimitedServers returns the IDs of those of the given servers that have a limit, nil if
// there are none.
func (reg *Registry) LimitedServers(servers []backend.Server, now time.Duration) map[string]bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var limited map[string]bool
	for _, server := range servers {
		if s := reg.servers[server.ID]; s == nil || !s.effectiveLimit(now).Limited {
			continue
		}
		if limited == nil {
			limited = map[string]bool{}
		}
		limited[server.ID] = true
	}
	return limited
}

// ReportedLimit returns the limit that a server has reported, the zero value if none is
// known.
func (reg *Registry) ReportedLimit(server string) Limit {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if s := reg.servers[server]; s != nil {
		return s.limit
	}
	return Limit{}
}

// Limit returns the limit of a server that is in effect: the reported one, or a lower one
// while the server is cold.
func (reg *Registry) Limit(server string, now time.Duration) Limit {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if s := reg.servers[server]; s != nil {
		return s.effectiveLimit(now)
	}
	return Limit{}
}

// effectiveLimit returns the limit that is in effect.
func (s *serverState) effectiveLimit(now time.Duration) Limit {
	if now >= s.coldUntil {
		return s.limit
	}
	return s.limit.CappedAt(s.coldRate)
}

// CappedAt returns the limit, or a lower one of the given number of requests per second.
func (l Limit) CappedAt(rate float64) Limit {
	if c := (Limit{Version: l.Version, Limited: true, Rate: rate}); c.lowerThan(l) {
		return c
	}
	return l
}

// SetUnreadable records that an answer of a server contained an unreadable notice, and
// reports whether it is the first one.
func (reg *Registry) SetUnreadable(server string, now time.Duration) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	s := reg.getOrCreate(server, now)
	first := !s.unreadable
	s.unreadable = true
	return first
}

// Prune removes the state of servers that have not been listed for the retention time.
func (reg *Registry) Prune(listed func(server string) bool, now time.Duration) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for id, s := range reg.servers {
		switch {
		case listed(id):
			s.lastListed = now
		case now-s.lastListed > retention:
			delete(reg.servers, id)
		}
	}
}

// getOrCreate returns the state of a server. If the registry is full, a new server evicts
// the one that was listed longest ago.
func (reg *Registry) getOrCreate(server string, now time.Duration) *serverState {
	if s := reg.servers[server]; s != nil {
		return s
	}
	if len(reg.servers) >= maxServers {
		var oldest string
		for id, s := range reg.servers {
			if oldest == "" || s.lastListed < reg.servers[oldest].lastListed {
				oldest = id
			}
		}
		delete(reg.servers, oldest)
	}
	s := &serverState{lastListed: now}
	reg.servers[server] = s
	return s
}

// lowerThan reports whether the limit allows fewer requests than another one.
func (l Limit) lowerThan(other Limit) bool {
	return l.Limited && (!other.Limited || l.Rate < other.Rate)
}

// supersedes reports whether the limit replaces another one of the same server instance.
func (l Limit) supersedes(other Limit) bool {
	if c := cmp.Compare(l.Version, other.Version); c != 0 {
		return c > 0
	}
	return l.lowerThan(other)
}
