// Package limit bounds what one workspace may take: how many retries its
// requests may cause, and how much of a site they may occupy.
//
// # Usage
//
//	b := limit.NewBudgets(0.1)
//	b.Earn("till")            // for each request
//	if b.Spend("till") { ... } // before each retry
package limit

import "sync"

const (
	// reserve is the number of retries that a workspace can save up, and
	// has at its first request.
	reserve = 10
	// maxWorkspaces bounds the memory of budgets: with more, all start anew.
	maxWorkspaces = 50_000
)

// RetryBudgets hold one retry budget a workspace. Each request earns a part of a
// retry, so that retries stay a fixed part of the traffic, and a third of the
// engines dying at once can't cause a storm. It is safe for use by many
// goroutines.
type RetryBudgets struct {
	part float64

	mu   sync.Mutex
	left map[string]float64
}

// NewRetryBudgets returns budgets in which a request earns part of a retry.
func NewRetryBudgets(part float64) *RetryBudgets {
	return &RetryBudgets{part: part, left: map[string]float64{}}
}

// Earn adds the part that one request earns.
func (b *RetryBudgets) Earn(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, ok := b.left[workspace]
	if !ok {
		if len(b.left) >= maxWorkspaces {
			clear(b.left)
		}
		n = reserve
	}
	b.left[workspace] = min(n+b.part, reserve)
}

// Spend takes one retry, and reports whether there was one.
func (b *RetryBudgets) Spend(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[workspace] < 1 {
		return false
	}
	b.left[workspace]--
	return true
}
