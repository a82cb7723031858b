package relay

import (
	"io"
	"testing"
	"time"

	"slipcrank.example/daemon/decision"
)

// TestLongBoundsBreakNoStreams guards against signs of life that come after the stream was given up, where changes may take long.
func TestLongBoundsBreakNoStreams(t *testing.T) {
	l := decision.New(io.Discard)
	t.Cleanup(l.Close)
	for _, bound := range []time.Duration{800 * time.Millisecond, 2 * time.Second, 5 * time.Second, 12 * time.Second, 10 * time.Minute} {
		s, c := NewServer(nil, WithKeepalive(bound/4)), NewClient(nil, l, WithLateAfter(bound/2))
		if 2*s.keepalive > c.lateAfter || c.lateAfter > silenceTimeout {
			t.Errorf("bound %v: a sign of life each %v, late after %v, given up after %v", bound, s.keepalive, c.lateAfter, silenceTimeout)
		}
	}
}
