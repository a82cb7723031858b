package limit

import (
	"sync"
	"time"

	"slipcrank.example/core/site"
)

const (
	// windowSlots is the number of slots in a span.
	windowSlots = 40
	// retainedSlots is the number of slots for which retries count: those that a span may
	// touch, and those that pass from the payment of a retry until it is sent.
	retainedSlots = windowSlots + 1 + windowSlots/10
	// minLoan is the smallest part of a retry that is lent, if it is less than what is asked for.
	minLoan = 0.25
	// borrowPause is how long a host that was lent nothing asks no other host again.
	borrowPause = 100 * time.Millisecond
)

type (
	// RetryWindow is this host's part of a budget that all hosts share: within any span, the
	// retries to a service stay below a fraction of the service's requests plus a fixed
	// number. The part of a host is that fraction of its own requests and its share of the
	// fixed number. The parts never exceed the budget together, whatever a host knows of
	// the others, since a host spends from its own part only. If that is used up, another host
	// may lend it some, which then counts as spent there.
	//
	// A host that starts doesn't know what it had spent before. It has its share of the fixed
	// number only after all of that has left the span; until then it borrows. It is safe for
	// concurrent use.
	RetryWindow struct {
		span  time.Duration
		share float64
		fixed func() float64
		start time.Time

		mu       sync.Mutex
		services map[string]*counts
	}

	// Balance is what a host knew when it was asked for a retry.
	Balance struct {
		Requests int     // of this host to the service within the span
		Spent    float64 // retries, without the one asked for
		Allowed  float64 // retries that the host's part allows
	}

	// counts holds the requests and retries in each slot, and the slot's number since the
	// start.
	counts struct {
		number      [retainedSlots]int64
		requests    [retainedSlots]int
		spent       [retainedSlots]float64
		borrowAfter time.Time
	}
)

// NewRetryWindow returns the part of a budget in which each request allows share retries. The
// function fixed returns the host's share of the retries that are allowed in addition. It must
// return 0 until [Retention] has passed since the host started, and whenever it returns more
// than before, that much must have been unused by all hosts for as long.
func NewRetryWindow(span time.Duration, share float64, fixed func() float64) *RetryWindow {
	return &RetryWindow{span: span, share: share, fixed: fixed, start: time.Now(), services: map[string]*counts{}}
}

// Retention returns how long a retry counts in a budget with a span.
func Retention(span time.Duration) time.Duration { return span / windowSlots * retainedSlots }

// MaxDelay returns how long after its payment a retry may be sent.
func (w *RetryWindow) MaxDelay() time.Duration { return w.span / 10 }

// AddRequest counts a request for the target with the highest weight.
func (w *RetryWindow) AddRequest(targets []site.Target, now time.Time) {
	if len(targets) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c, i := w.slot(site.HeaviestService(targets), now)
	c.requests[i]++
}

// Spend pays one retry to a service. What this host's part lacks it asks of borrow, which
// returns what other hosts have lent and how long it has waited for them; borrow may be nil.
// Spend returns what this host knew before, and whether the retry is paid.
func (w *RetryWindow) Spend(service string, now time.Time, borrow func(amount float64) (lent float64, waited time.Duration)) (Balance, bool) {
	b, ok := w.take(service, 1, now)
	if ok || borrow == nil || !w.mayBorrow(service, now) {
		return b, ok
	}
	own := min(max(b.Allowed-b.Spent, 0), 1)
	lent, waited := borrow(1 - own)
	now = now.Add(waited)
	if lent < 1-own {
		w.pauseBorrowing(service, now)
		return b, false
	}
	_, ok = w.take(service, own, now) // others may have used it meanwhile
	return b, ok
}

// Lend gives a part of a retry to another host, and returns how much: the amount or nothing. Only
// a host whose part never reaches one retry gives less than the amount, since what doesn't add up
// to a retry in the end is lost.
func (w *RetryWindow) Lend(service string, amount float64, now time.Time) float64 {
	b, ok := w.take(service, amount, now)
	if ok {
		return amount
	}
	if left := b.Allowed - b.Spent; b.Allowed < 1 && left >= minLoan {
		if _, ok = w.take(service, left, now); ok {
			return left
		}
	}
	return 0
}

// take takes an amount from this host's part, if it has that much.
func (w *RetryWindow) take(service string, amount float64, now time.Time) (Balance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, i := w.slot(service, now)
	var b Balance
	for j := range retainedSlots {
		age := c.number[i] - c.number[j]
		if age < retainedSlots {
			b.Spent += c.spent[j]
		}
		if age < windowSlots {
			b.Requests += c.requests[j]
		}
	}
	b.Allowed = w.share*float64(b.Requests) + w.fixed()
	if b.Spent+amount > b.Allowed {
		return b, false
	}
	c.spent[i] += amount
	return b, true
}

func (w *RetryWindow) mayBorrow(service string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, _ := w.slot(service, now)
	return !now.Before(c.borrowAfter)
}

func (w *RetryWindow) pauseBorrowing(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, _ := w.slot(service, now)
	c.borrowAfter = now.Add(borrowPause)
}

// slot returns the counts of a service and the index of the slot for now, which it
// clears if it holds older counts.
func (w *RetryWindow) slot(service string, now time.Time) (*counts, int) {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	n := int64(now.Sub(w.start)/(w.span/windowSlots)) + retainedSlots
	i := int(n % retainedSlots)
	if c.number[i] != n {
		c.number[i], c.requests[i], c.spent[i] = n, 0, 0
	}
	return c, i
}
