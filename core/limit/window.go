package limit

import (
	"sync"
	"time"

	"slipcrank.example/core/site"
)

// parts is how many parts a window is counted in.
const parts = 20

type (
	// RetryWindow bounds retries in any span of time by the requests in it: a
	// share of them, and a fixed number beside. It is safe for use by many
	// goroutines.
	RetryWindow struct {
		span  time.Duration
		share float64
		slack func() float64
		start time.Time

		mu       sync.Mutex
		services map[string]*counts
	}

	// counts are requests and retries by part of the window.
	counts struct {
		at       [parts]int64
		requests [parts]int
		retries  [parts]int
	}
)

// NewRetryWindow returns a budget: within any span, retries to a service stay below
// share of its requests and slack, this host's part of what all may add.
func NewRetryWindow(span time.Duration, share float64, slack func() float64) *RetryWindow {
	return &RetryWindow{span: span, share: share, slack: slack, start: time.Now(), services: map[string]*counts{}}
}

// AddRequest counts a request for the service that it most likely goes to.
func (w *RetryWindow) AddRequest(targets []site.Target, now time.Time) {
	if len(targets) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	heaviest := targets[0]
	for _, t := range targets {
		if t.Weight > heaviest.Weight {
			heaviest = t
		}
	}
	c, i := w.part(heaviest.Service, now)
	c.requests[i]++
}

// Spend takes one retry of a service's budget, and reports whether there was
// one left.
func (w *RetryWindow) Spend(service string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, i := w.part(service, now)
	var requests, retries int
	oldest := c.at[i] - parts + 1
	for j := range parts {
		if c.at[j] >= oldest {
			requests += c.requests[j]
			retries += c.retries[j]
		}
	}
	if float64(retries+1) > w.share*float64(requests)+w.slack() {
		return false
	}
	c.retries[i]++
	return true
}

func (w *RetryWindow) part(service string, now time.Time) (*counts, int) {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	at := int64(now.Sub(w.start)/(w.span/parts)) + parts
	i := int(at % parts)
	if c.at[i] != at {
		c.at[i], c.requests[i], c.retries[i] = at, 0, 0
	}
	return c, i
}
