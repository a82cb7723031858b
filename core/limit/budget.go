// Package limit bounds how many retries the requests of a workspace or service may
// cause, and how much of an engine a workspace may use.
//
// # Usage
//
//	b := limit.NewRetryBudgets(0.1)
//	b.Earn("till")            // for each request
//	if b.Spend("till") { ... } // before each retry
//
// A [RetryWindow] is one host's part of a budget that all hosts share:
//
//	w := limit.NewRetryWindow(10*time.Second, 0.2, fixedRetries)
//	w.AddRequest(route.Targets, now)                              // for each request
//	if _, ok := w.Spend("plain", now, askOtherHosts); ok { ... }  // before each retry
//	lent := w.Lend("plain", 1, now)                               // if another host asks
package limit

import "sync"

const (
	// maxSavedRetries is the number of retries that a workspace can save up, and
	// has at its first request.
	maxSavedRetries = 10
	// maxWorkspaces bounds the memory of the budgets: beyond it all are reset.
	maxWorkspaces = 50_000
)

// RetryBudgets holds a retry budget for each workspace. Each request earns a
// fraction of a retry, so that retries stay a fixed fraction of the traffic and
// the simultaneous failure of a third of the engines can't cause a retry storm. It
// is safe for concurrent use.
type RetryBudgets struct {
	perRequest float64

	mu        sync.Mutex
	remaining map[string]float64
}

// NewRetryBudgets returns budgets in which each request earns perRequest retries.
func NewRetryBudgets(perRequest float64) *RetryBudgets {
	return &RetryBudgets{perRequest: perRequest, remaining: map[string]float64{}}
}

// Earn credits a workspace for one request.
func (b *RetryBudgets) Earn(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, ok := b.remaining[workspace]
	if !ok {
		if len(b.remaining) >= maxWorkspaces {
			clear(b.remaining)
		}
		n = maxSavedRetries
	}
	b.remaining[workspace] = min(n+b.perRequest, maxSavedRetries)
}

// Spend takes one retry from a workspace's budget, and reports whether there was
// one left.
func (b *RetryBudgets) Spend(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining[workspace] < 1 {
		return false
	}
	b.remaining[workspace]--
	return true
}
