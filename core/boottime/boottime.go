// Package boottime implements a monotonic clock that includes the time during which
// the host was suspended.
//
// The monotonic clock of package time stops while the host is suspended. Afterwards
// proofs, leases and placements would seem younger than they are by the length of the
// suspension, and deadlines would pass later. A [Clock] adds the missing time, which
// it derives from the system's CLOCK_BOOTTIME: that clock neither stops nor jumps. It
// is read by [Clock.Refresh] only, which has to be called before acting on stored
// times, and a few times per second. Where CLOCK_BOOTTIME is unavailable, the wall
// clock takes its place. If that jumps forward, stored times count as older than they
// are; a jump backward never makes them younger.
//
// # Usage
//
//	c := boottime.New()
//	begun := c.Now()
//	c.Refresh()                             // detects suspensions
//	... c.Now()-begun >= bound
//	until := boottime.Time().Add(length)    // where a time.Time is stored
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is detected: longer than the time
// between the readings of the two clocks on a busy host, and far shorter than all
// timeouts.
const minSuspension = 50 * time.Millisecond

type (
	// Clock measures the time since its creation, including suspensions of the host.
	// It is safe for concurrent use.
	Clock struct {
		bootTime  func() (time.Duration, error)
		timeOfDay func() time.Time
		startBoot time.Duration // reading of bootTime at creation
		start     time.Time
		// suspended is the total duration of the detected suspensions.
		suspended atomic.Int64
	}

	// Option changes a clock under construction.
	Option func(*Clock)
)

// WithBootTime sets the source of the time since the host booted.
func WithBootTime(f func() (time.Duration, error)) Option { return func(c *Clock) { c.bootTime = f } }

// WithTimeOfDay sets the source of the wall clock time.
func WithTimeOfDay(f func() time.Time) Option { return func(c *Clock) { c.timeOfDay = f } }

// New returns a clock that starts now.
func New(os ...Option) *Clock {
	c := &Clock{bootTime: readBootTime, timeOfDay: time.Now, start: time.Now()}
	for _, o := range os {
		o(c)
	}
	t, err := c.bootTime()
	if err != nil {
		// Round(0) strips the monotonic reading, so that Sub compares wall clock times.
		c.bootTime = func() (time.Duration, error) { return c.timeOfDay().Round(0).Sub(c.start.Round(0)), nil }
	}
	c.startBoot = t
	return c
}

// Now returns the time since the clock was created.
func (c *Clock) Now() time.Duration { return time.Since(c.start) + c.Suspended() }

// Refresh detects whether the host was suspended since the last call, and returns the
// duration of the suspension, or 0.
func (c *Clock) Refresh() time.Duration {
	boot, err := c.bootTime()
	if err != nil {
		return 0 // it succeeded in New, so the next call detects the suspension
	}
	total := boot - c.startBoot - time.Since(c.start)
	before := c.suspended.Load()
	if total-time.Duration(before) < minSuspension || !c.suspended.CompareAndSwap(before, int64(total)) {
		return 0
	}
	return total - time.Duration(before)
}

// Suspended returns the total duration of the suspensions detected by [Clock.Refresh].
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Time returns the wall clock time of the clock's creation plus the time since then. It
// never jumps, and may only be compared with other times of the same clock.
func (c *Clock) Time() time.Time { return c.start.Round(0).Add(c.Now()) }

// readBootTime reads CLOCK_BOOTTIME.
func readBootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

var processClock = New()

// Time refreshes a clock that was created at the start of the process, and returns its
// [Clock.Time].
func Time() time.Time {
	processClock.Refresh()
	return processClock.Time()
}
