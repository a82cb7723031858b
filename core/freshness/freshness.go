// Package freshness determines the age of the latest proof that a piece of state was
// current.
//
// The platform's answers carry a reading of its own monotonic clock. The platform made
// an answer at some time between the sending of the question and the arrival of the
// answer, so each exchange gives an upper bound on the offset of that clock from the
// local one. The smallest bound over many exchanges is the most accurate. Wall clocks
// play no part on either side, since they may jump.
//
// # Usage
//
//	c := freshness.NewClock()
//	c.Observe(sent, stamp)
//	age, ok := c.Age(stamp, now)    // at least the true age
package freshness

import (
	"sync"
	"time"
)

// maxDrift is the maximum difference in rate between two monotonic clocks: 100 parts per
// million, twice the specified tolerance of crystal oscillators.
const maxDrift = 100e-6

// Clock maintains an upper bound on the offset of the platform's monotonic clock from
// the local one. All local times are durations since a fixed point of this process's
// monotonic clock. It is safe for concurrent use.
type Clock struct {
	mu       sync.Mutex
	offset   time.Duration // upper bound, valid at boundAt
	boundAt  time.Duration
	observed bool
}

// NewClock returns a clock without observations.
func NewClock() *Clock { return &Clock{} }

// Observe records one exchange: the local time at which the question was sent, and the
// platform's clock reading in the answer.
func (c *Clock) Observe(sent, stamp time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := stamp - sent
	if !c.observed || b < c.maxOffset(sent) {
		c.offset, c.boundAt, c.observed = b, sent, true
	}
}

// Age returns an upper bound on the age, at the local time now, of the platform's clock
// reading stamp. It is never less than the true age. It reports false before the first
// observation.
func (c *Clock) Age(stamp, now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.observed {
		return 0, false
	}
	return max(now+c.maxOffset(now)-stamp, 0), true
}

// maxOffset returns the upper bound on the offset at the local time now, which grows by
// the drift since the bound was observed.
func (c *Clock) maxOffset(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(max(now-c.boundAt, 0))*maxDrift)
}
