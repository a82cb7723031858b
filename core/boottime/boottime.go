// Package boottime is a steady clock that goes on while the machine is suspended.
//
// The standard library's differences of times stand still while a machine is
// suspended: whatever was proven, promised or placed before seems younger
// afterwards by as long as that took, and deadlines later. This clock adds what the
// system's CLOCK_BOOTTIME says it has missed, which neither stands still nor jumps.
// It asks when it is told to: by whoever is about to act on what was known before,
// and a few times a second. Where that clock can't be had, it takes the time of day:
// should that jump ahead, what is known counts as older than it is, never as
// younger.
//
// # Usage
//
//	c := boottime.New()
//	begun := c.Now()
//	c.Refresh()                             // was there a suspension?
//	... c.Now()-begun >= bound
//	until := boottime.Time().Add(length)    // where a time.Time is kept
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// least is the shortest suspension that counts: above what lies between two
// readings on a busy machine, and far below all bounds.
const least = 50 * time.Millisecond

type (
	// Clock tells the time since it was made. It is safe for use by many
	// goroutines.
	Clock struct {
		boot  func() (time.Duration, error)
		day   func() time.Time
		begun time.Duration // on the machine's clock
		begin time.Time
		// suspended is for how long in all, as far as was asked.
		suspended atomic.Int64
	}

	// Option changes a clock under construction.
	Option func(*Clock)
)

// WithBootTime sets where the time since the machine's start comes from.
func WithBootTime(f func() (time.Duration, error)) Option { return func(c *Clock) { c.boot = f } }

// WithTimeOfDay sets where the time of day comes from.
func WithTimeOfDay(f func() time.Time) Option { return func(c *Clock) { c.day = f } }

// New returns a clock that begins now.
func New(os ...Option) *Clock {
	c := &Clock{boot: sinceBoot, day: time.Now, begin: time.Now()}
	for _, o := range os {
		o(c)
	}
	t, err := c.boot()
	if err != nil {
		// Without its steady part a time is compared by the time of day.
		c.boot = func() (time.Duration, error) { return c.day().Round(0).Sub(c.begin.Round(0)), nil }
	}
	c.begun = t
	return c
}

// Now is the time since the clock was made.
func (c *Clock) Now() time.Duration { return time.Since(c.begin) + c.Suspended() }

// Refresh asks whether the machine was suspended, and returns for how long it was
// since it was asked last.
func (c *Clock) Refresh() time.Duration {
	boot, err := c.boot()
	if err != nil {
		return 0 // it worked before: the next time tells
	}
	all := boot - c.begun - time.Since(c.begin)
	before := c.suspended.Load()
	if all-time.Duration(before) < least || !c.suspended.CompareAndSwap(before, int64(all)) {
		return 0
	}
	return all - time.Duration(before)
}

// Suspended is for how long in all the machine was suspended, as far as was asked.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Time is the time of day as the clock was made, and what has passed on it since:
// it never jumps, and it is compared with nothing but itself.
func (c *Clock) Time() time.Time { return c.begin.Round(0).Add(c.Now()) }

// sinceBoot reads the system's clock.
func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

var process = New()

// Time is [Clock.Time] of a clock that was made as the process started, which is
// asked each time.
func Time() time.Time {
	process.Refresh()
	return process.Time()
}
