// Package freshness tells how old the newest proof is that a piece of state
// was current.
//
// The platform's answers carry a reading of its own steady clock. An answer
// was made at some moment between its question and its arrival, so each pair
// of readings bounds how far that clock is ahead of ours; the smallest upper
// bound over many answers is the one to trust. Neither side's time of day
// takes part, since that jumps.
//
// # Usage
//
//	c := freshness.NewClock()
//	c.Observe(sent, stamp)
//	age := c.Age(stamp, now)    // at least the true age
package freshness

import (
	"sync"
	"time"
)

// drift is how much two steady clocks may differ in rate: 100 parts in a
// million, twice what crystal oscillators are specified for.
const drift = 100e-6

// Clock bounds how far the platform's steady clock is ahead of ours. All our
// times are durations since one moment of this process's steady clock. It is
// safe for use by many goroutines.
type Clock struct {
	mu    sync.Mutex
	ahead time.Duration // an upper bound, true at the time at
	at    time.Duration
	known bool
}

// NewClock returns a clock that knows nothing yet.
func NewClock() *Clock { return &Clock{} }

// Observe takes in one answer: when its question was sent, on our clock, and
// the platform's reading in it.
func (c *Clock) Observe(sent, stamp time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := stamp - sent
	if !c.known || b < c.bound(sent) {
		c.ahead, c.at, c.known = b, sent, true
	}
}

// Age returns how old the reading stamp is at the time now: never less than
// the truth. It reports false if no answer was seen yet.
func (c *Clock) Age(stamp, now time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0, false
	}
	return max(now+c.bound(now)-stamp, 0), true
}

// bound is the upper bound grown by the drift since it was found.
func (c *Clock) bound(now time.Duration) time.Duration {
	return c.ahead + time.Duration(float64(max(now-c.at, 0))*drift)
}
