// Package demand records what callers ask of each service and what of it is admitted, over
// all hosts of a cell.
//
// A host knows the admitted requests of the others from their placements; refused requests
// are reported by messages of their own. From both, each host derives for itself which
// priorities are served less often than others, what a second of an engine is worth to the
// work that competes for it, and whether a request has been refused before. Nothing is agreed
// on: hosts that have missed messages decide by slightly different figures.
//
// # Usage
//
//	l := demand.NewLedger()
//	l.Admit(service, priority, demand.Work{Value: 1, EngineTime: 30 * time.Millisecond}, now)
//	l.Refuse(refusal, now)
//	if waited, ok := l.Returning(identity, timeLeft, now); ok { ... }
//	price, ok := l.Price(service, engines, now)
package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// window is the time over which demand is counted: about as long as a slot is taken by
	// a stream, so that it holds what competes for the slots that are taken now.
	window = 2 * time.Second
	// minSpan is the time of counts from which on a price is known.
	minSpan = time.Second
	// refusalTTL is how long a refused request is remembered: callers return within a third
	// of the time that they have, and none has more than half a minute.
	refusalTTL = 10 * time.Second
	// maxRefusals bounds the remembered refusals, which then take 1 MB.
	maxRefusals = 10_000
	// deadlineTolerance is by how much the time left of a returning request may differ from
	// what its refusal predicts: the network delays of both attempts, and the time until a
	// busy host reads a request. Other requests with the same content have other deadlines.
	deadlineTolerance = 200 * time.Millisecond
	// shareWindow is the time constant by which the counts of admitted requests decay. Operators
	// judge over seconds whether a kind of request is starved.
	shareWindow = 8 * time.Second
	// minRequests is the decayed number of requests from which on the share of a priority is
	// known: with fewer, one refusal changes it by more than a tenth.
	minRequests = 10
	// minCount is the decayed number of requests below which a priority is forgotten.
	minCount = 0.01
)

type (
	// Work is the size of a request.
	Work struct {
		// Value is what serving the request is worth, relative to one of usual size.
		Value float64
		// EngineTime is how long the request keeps one engine busy.
		EngineTime time.Duration
	}

	// Refusal describes a refused request.
	Refusal struct {
		Service  string
		Priority int // 0 is the most urgent
		Work     Work
		// Identity is equal for all attempts at a request.
		Identity uint64
		// TimeLeft is the time until the caller's deadline, Waited the time since the first
		// attempt that is known.
		TimeLeft, Waited time.Duration
	}

	// Shares are the fractions of requests that are admitted.
	Shares struct {
		// Own is that of requests of the same priority, Urgent the lowest of any more
		// urgent one, and All that of all requests of the service.
		Own, Urgent, All float64
	}

	// entry is a counted request. A request that returns is asked for only once. Its work counts
	// again when it is admitted, since it returns after the window in which it was refused.
	entry struct {
		at              time.Duration
		priority        int
		work            Work
		asked, admitted bool
	}

	refused struct {
		refusal Refusal
		at      time.Duration
	}

	// counts are exponentially decayed numbers of requests.
	counts struct {
		asked, admitted float64
		at              time.Duration // of the last change
	}

	// Ledger counts demand by service. It is safe for concurrent use.
	Ledger struct {
		mu       sync.Mutex
		entries  map[string][]entry        // by service, in order of time
		counts   map[string]map[int]counts // by service and priority
		refusals map[uint64]refused        // the latest, by identity
		since    map[string]time.Duration  // of the first count, by service
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[string][]entry{}, counts: map[string]map[int]counts{}, refusals: map[uint64]refused{}, since: map[string]time.Duration{}}
}

// Admit counts an admitted request.
func (l *Ledger) Admit(service string, priority int, w Work, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(service, entry{at: now, priority: priority, work: w, asked: true, admitted: true})
}

// AdmitReturning counts an admitted request that was counted as asked for when it was refused.
func (l *Ledger) AdmitReturning(service string, priority int, w Work, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(service, entry{at: now, priority: priority, work: w, admitted: true})
}

// Refuse counts a refused request and remembers it.
func (l *Ledger) Refuse(r Refusal, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, again := l.returning(r.Identity, r.TimeLeft, now); !again {
		l.add(r.Service, entry{at: now, priority: r.Priority, work: r.Work, asked: true})
	}
	if _, known := l.refusals[r.Identity]; r.Identity != 0 && (known || len(l.refusals) < maxRefusals) {
		l.refusals[r.Identity] = refused{r, now}
	}
}

// Returning reports whether a request was refused before, and returns the time since its first
// attempt that is known.
func (l *Ledger) Returning(identity uint64, timeLeft, now time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returning(identity, timeLeft, now)
}

func (l *Ledger) returning(identity uint64, timeLeft, now time.Duration) (time.Duration, bool) {
	r, ok := l.refusals[identity]
	if !ok || now-r.at > refusalTTL {
		return 0, false
	}
	since := now - r.at
	if off := r.refusal.TimeLeft - since - timeLeft; off.Abs() > deadlineTolerance {
		return 0, false
	}
	return r.refusal.Waited + since, true
}

func (l *Ledger) add(service string, e entry) {
	if len(l.entries[service]) == 0 {
		l.since[service] = e.at
	}
	l.entries[service] = append(l.entries[service], e)
	if e.priority < 0 {
		return // not known
	}
	if l.counts[service] == nil {
		l.counts[service] = map[int]counts{}
	}
	c := l.counts[service][e.priority].decayed(e.at)
	if e.asked {
		c.asked++
	}
	if e.admitted {
		c.admitted++
	}
	l.counts[service][e.priority] = c
}

// Expire drops what is older than the window. It must be called regularly.
func (l *Ledger) Expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, es := range l.entries {
		n := slices.IndexFunc(es, func(e entry) bool { return now-e.at <= window })
		if n < 0 {
			delete(l.entries, service)
			delete(l.since, service)
			continue
		}
		l.entries[service] = slices.Clone(es[n:])
	}
	for service, byPriority := range l.counts {
		maps.DeleteFunc(byPriority, func(_ int, c counts) bool { return c.decayed(now).asked < minCount })
		if len(byPriority) == 0 {
			delete(l.counts, service)
		}
	}
	for id, r := range l.refusals {
		if now-r.at > refusalTTL {
			delete(l.refusals, id)
		}
	}
}

// Shares returns the fractions of requests of a service that are admitted, from the view of a
// priority. It reports false if too few requests of that priority, or of more urgent ones, were
// counted to compare them.
func (l *Ledger) Shares(service string, priority int, now time.Duration) (Shares, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all counts
	byPriority := l.counts[service]
	for _, c := range byPriority {
		c = c.decayed(now)
		all.asked += c.asked
		all.admitted += c.admitted
	}
	s, compared := Shares{Urgent: 1, All: all.share()}, false
	for p, c := range byPriority {
		if c = c.decayed(now); p < priority && c.asked >= minRequests {
			s.Urgent, compared = min(s.Urgent, c.share()), true
		}
	}
	own := byPriority[priority].decayed(now)
	s.Own = own.share()
	return s, compared && own.asked >= minRequests
}

// decayed returns the counts with the weight that they have at a time.
func (c counts) decayed(now time.Duration) counts {
	f := math.Exp(-float64(max(now-c.at, 0)) / float64(shareWindow))
	return counts{asked: c.asked * f, admitted: c.admitted * f, at: now}
}

// share returns the fraction of the requests asked for that were admitted, or 1 without any.
func (c counts) share() float64 {
	if c.asked == 0 {
		return 1
	}
	return min(c.admitted/c.asked, 1)
}

// Price returns what a second of an engine is worth: the value per engine time of the last
// work that fits into the engines' time, or 0 while all work fits. It reports false if demand
// was counted for too short a time.
func (l *Ledger) Price(service string, engines int, now time.Duration) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, counted := l.since[service]
	span := min(now-since, window)
	if !counted || span < minSpan {
		return 0, false
	}
	var works []Work
	for _, e := range l.entries[service] {
		if now-e.at <= window && e.work.EngineTime > 0 {
			works = append(works, e.work)
		}
	}
	slices.SortFunc(works, func(a, b Work) int { return cmp.Compare(b.density(), a.density()) })
	room := time.Duration(engines) * span
	for _, w := range works {
		if room -= w.EngineTime; room < 0 {
			return w.density(), true
		}
	}
	return 0, true
}

// density returns the value per second of an engine.
func (w Work) density() float64 { return w.Value / w.EngineTime.Seconds() }
