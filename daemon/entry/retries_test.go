package entry

import (
	"testing"
	"time"
)

// TestHostCountShrinksLate checks that the number of hosts grows at once, and shrinks only after
// hosts that are no longer counted have had a period to notice.
func TestHostCountShrinksLate(t *testing.T) {
	const period = 10 * time.Second
	for name, tc := range map[string]struct {
		at   time.Duration // of the observation of two hosts, after nine at 1 s
		want int
	}{
		"at once":                 {2 * time.Second, 9},
		"within the period":       {10 * time.Second, 9},
		"in the next one":         {15 * time.Second, 9},
		"after both":              {31 * time.Second, 2},
		"after a long time alone": {time.Hour, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var c hostCount
			c.observe(3, period, 0)
			if n := c.observe(9, period, time.Second); n != 9 {
				t.Errorf("%d hosts after the growth, want 9", n)
			}
			got := 0
			for at := 2 * time.Second; at <= min(tc.at, time.Minute); at += time.Second {
				got = c.observe(2, period, at)
			}
			if got != tc.want {
				t.Errorf("%d hosts, want %d", got, tc.want)
			}
		})
	}
}
