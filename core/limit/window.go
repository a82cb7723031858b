package limit

import (
	"sync"
	"time"

	"slipcrank.example/core/site"
)

// windowSlots is the number of slots of a sliding window.
const windowSlots = 20

type (
	// RetryWindow limits the retries to each service in a sliding window to a
	// fraction of the service's requests in it, plus a fixed number. The requests and
	// retries are those of this host and of the hosts that report theirs to it, so that
	// a host uses what the others don't: in a large fleet its own part is less than one
	// retry. It is safe for concurrent use.
	RetryWindow struct {
		span  time.Duration
		share float64
		slack func() float64
		start time.Time

		mu       sync.Mutex
		services map[string]*counts
	}

	// Balance is what a budget knew when it was asked for a retry.
	Balance struct {
		Requests int     // to the service within the span
		Retries  int     // to the service within the span, without the one asked for
		Allowed  float64 // of these
		// Age is the time since the budget was created: it knows of nothing earlier.
		Age time.Duration
	}

	// counts holds the requests and retries in each slot of the window, and the
	// slot's number since the start.
	counts struct {
		number   [windowSlots]int64
		requests [windowSlots]int
		retries  [windowSlots]int
	}
)

// NewRetryWindow returns a budget: within any span, retries to a service stay below
// share of its requests plus slack, which returns the part of this host and the hosts that
// report to it of the retries that all hosts together may add. Hosts that retry at the
// same moment don't know of each other yet, so share and slack need a margin for them.
func NewRetryWindow(span time.Duration, share float64, slack func() float64) *RetryWindow {
	return &RetryWindow{span: span, share: share, slack: slack, start: time.Now(), services: map[string]*counts{}}
}

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

// AddReported counts a request or a retry of another host.
func (w *RetryWindow) AddReported(service string, retry bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, i := w.slot(service, now)
	if retry {
		c.retries[i]++
		return
	}
	c.requests[i]++
}

// Spend takes one retry from a service's budget. It returns what the budget knew before, and
// whether there was one left.
func (w *RetryWindow) Spend(service string, now time.Time) (Balance, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, i := w.slot(service, now)
	b := Balance{Age: now.Sub(w.start)}
	oldest := c.number[i] - windowSlots + 1
	for j := range windowSlots {
		if c.number[j] >= oldest {
			b.Requests += c.requests[j]
			b.Retries += c.retries[j]
		}
	}
	b.Allowed = w.share*float64(b.Requests) + w.slack()
	if float64(b.Retries+1) > b.Allowed {
		return b, false
	}
	c.retries[i]++
	return b, true
}

// slot returns the counts of a service and the index of the slot for now, which it
// clears if it holds older counts.
func (w *RetryWindow) slot(service string, now time.Time) (*counts, int) {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	n := int64(now.Sub(w.start)/(w.span/windowSlots)) + windowSlots
	i := int(n % windowSlots)
	if c.number[i] != n {
		c.number[i], c.requests[i], c.retries[i] = n, 0, 0
	}
	return c, i
}
