package gateway

import (
	"testing"
	"time"
)

func TestRetryAfterIsNeverZero(t *testing.T) {
	for name, tc := range map[string]struct {
		after  time.Duration
		jitter float64
		want   string
	}{
		"under half a millisecond": {100 * time.Microsecond, 0, "0.001"},
		"whole milliseconds":       {150 * time.Millisecond, 0, "0.150"},
		"with all of the jitter":   {time.Second, 1, "1.500"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := formatRetryAfter(tc.after, tc.jitter); got != tc.want {
				t.Errorf("Retry-After %s, want %s", got, tc.want)
			}
		})
	}
}
