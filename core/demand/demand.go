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
//	if r, ok := l.Returning(identity, timeLeft, now); ok { ... r.Waited }
//	price, ok := l.Price(service, engines, now)
package demand

import (
	"cmp"
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
	// minRequests is the number of requests from which on the share of a priority is known.
	minRequests = 10
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

	// Return describes an earlier refusal of a request.
	Return struct {
		// Waited is the time since the first attempt that is known.
		Waited time.Duration
	}

	// Shares are the fractions of requests that are admitted.
	Shares struct {
		// Own is that of requests of the same priority, Urgent the lowest of any more
		// urgent one, and All that of all requests of the service. A fraction of few
		// requests counts as 1.
		Own, Urgent, All float64
	}

	// entry is a counted request. A request that returns is asked for only once.
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

	// Ledger counts demand by service. It is safe for concurrent use.
	Ledger struct {
		mu       sync.Mutex
		entries  map[string][]entry // by service, in order of time
		refusals map[uint64]refused // the latest, by identity
		since    time.Duration      // of the first count; zero without any
	}
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[string][]entry{}, refusals: map[uint64]refused{}}
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
	if r.Identity != 0 && len(l.refusals) < maxRefusals {
		l.refusals[r.Identity] = refused{r, now}
	}
}

// Returning reports whether a request was refused before, and returns how long its caller has
// waited.
func (l *Ledger) Returning(identity uint64, timeLeft, now time.Duration) (Return, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returning(identity, timeLeft, now)
}

func (l *Ledger) returning(identity uint64, timeLeft, now time.Duration) (Return, bool) {
	r, ok := l.refusals[identity]
	if !ok || now-r.at > refusalTTL {
		return Return{}, false
	}
	since := now - r.at
	if off := r.refusal.TimeLeft - since - timeLeft; off.Abs() > deadlineTolerance {
		return Return{}, false
	}
	return Return{Waited: r.refusal.Waited + since}, true
}

func (l *Ledger) add(service string, e entry) {
	if l.since == 0 {
		l.since = max(e.at, 1)
	}
	l.entries[service] = append(l.entries[service], e)
}

// Expire drops what is older than the window. It must be called regularly.
func (l *Ledger) Expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, es := range l.entries {
		n := slices.IndexFunc(es, func(e entry) bool { return now-e.at <= window })
		if n < 0 {
			delete(l.entries, service)
			continue
		}
		l.entries[service] = slices.Clone(es[n:])
	}
	for id, r := range l.refusals {
		if now-r.at > refusalTTL {
			delete(l.refusals, id)
		}
	}
}

// Shares returns the fractions of requests of a service that were admitted in the window, from
// the view of a priority.
func (l *Ledger) Shares(service string, priority int, now time.Duration) Shares {
	l.mu.Lock()
	defer l.mu.Unlock()
	type count struct{ asked, admitted int }
	var all count
	byPriority := map[int]count{}
	for _, e := range l.entries[service] {
		if now-e.at > window {
			continue
		}
		c := byPriority[e.priority]
		if e.asked {
			c.asked++
			all.asked++
		}
		if e.admitted {
			c.admitted++
			all.admitted++
		}
		byPriority[e.priority] = c
	}
	share := func(c count) float64 {
		if c.asked < minRequests {
			return 1
		}
		return min(float64(c.admitted)/float64(c.asked), 1)
	}
	s := Shares{Own: share(byPriority[priority]), Urgent: 1, All: share(all)}
	for p, c := range byPriority {
		if p < priority {
			s.Urgent = min(s.Urgent, share(c))
		}
	}
	return s
}

// Price returns what a second of an engine is worth: the value per engine time of the last
// work that fits into the engines' time, or 0 while all work fits. It reports false if demand
// was counted for too short a time.
func (l *Ledger) Price(service string, engines int, now time.Duration) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := min(now-l.since, window)
	if l.since == 0 || span < minSpan {
		return 0, false
	}
	var works []Work
	for _, e := range l.entries[service] {
		if e.asked && now-e.at <= window && e.work.EngineTime > 0 {
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
