package grant

import (
	"fmt"
	"testing"
	"time"
)

// TestGrantsStayWithinLimit takes requests a thousand times per second from one holder,
// or from two of which the second replaces the first, and checks the number granted in
// any 4 s.
func TestGrantsStayWithinLimit(t *testing.T) {
	const span, step, total = 4 * time.Second, time.Millisecond, 20 * time.Second
	for name, tc := range map[string]struct {
		limit    float64
		overlap  time.Duration // time during which both grant
		takeover time.Duration // when the second starts to grant; 0 for never
	}{
		"one holder":       {limit: 1},
		"fractional rate":  {limit: 1.7},
		"high rate":        {limit: 40},
		"replaced":         {limit: 1, takeover: 6 * time.Second},
		"overlap of 2 s":   {limit: 1, takeover: 6 * time.Second, overlap: 2 * time.Second},
		"overlap, 40/s":    {limit: 40, takeover: 6 * time.Second, overlap: 2 * time.Second},
		"limit 0":          {limit: 0},
		"limit 0, overlap": {limit: 0, takeover: 6 * time.Second, overlap: 2 * time.Second},
	} {
		holders := []*Buckets{NewBuckets(), NewBuckets()}
		var granted []time.Duration
		for now := time.Duration(0); now < total; now += step {
			for n, b := range holders {
				switch {
				case n == 0 && tc.takeover > 0 && now >= tc.takeover+tc.overlap, n == 1 && (tc.takeover == 0 || now < tc.takeover):
					continue
				}
				if ok, _ := b.Take("i-1", tc.limit, now); ok {
					granted = append(granted, now)
				}
			}
		}
		maxInSpan := 0
		for i, start := range granted {
			n := i
			for n < len(granted) && granted[n] < start+span {
				n++
			}
			maxInSpan = max(maxInSpan, n-i)
		}
		if allowed := int(1.5*tc.limit*span.Seconds()) + 5; maxInSpan > allowed {
			t.Errorf("%s: %d granted in %v, allowed %d", name, maxInSpan, span, allowed)
		}
		if minGranted := int(tc.limit * total.Seconds() * 0.9); len(granted) < minGranted {
			t.Errorf("%s: %d granted, want at least %d", name, len(granted), minGranted)
		}
		if len(granted) == 0 {
			t.Errorf("%s: never granted, so no host finds out that the limit has ended", name)
		}
	}
}

func TestTakeReturnsTimeToWait(t *testing.T) {
	b := NewBuckets()
	if ok, wait := b.Take("i-1", 2, 0); ok || wait != 500*time.Millisecond {
		t.Errorf("a new bucket: granted %v, wait %v", ok, wait)
	}
	if ok, _ := b.Take("i-1", 2, 500*time.Millisecond); !ok {
		t.Error("not granted after the wait")
	}
	if ok, wait := b.Take("i-1", 10, 500*time.Millisecond); ok || wait != 100*time.Millisecond {
		t.Errorf("after the limit was raised: granted %v, wait %v", ok, wait)
	}
}

// TestRankHolders checks that hosts in the server's hall rank first, and that a host's
// removal changes the holder of only the servers that it held.
func TestRankHolders(t *testing.T) {
	var hosts []Host
	for n := range 30 {
		hosts = append(hosts, Host{fmt.Sprintf("host-%d", n), fmt.Sprintf("hall-%d", n%3)})
	}
	byHolder := map[string]int{}
	for n := range 300 {
		server := fmt.Sprintf("i-%d", n)
		order := RankHolders(server, "hall-1", hosts)
		if len(order) != len(hosts) {
			t.Fatalf("%d hosts are ranked", len(order))
		}
		var number int
		if _, err := fmt.Sscanf(order[0], "host-%d", &number); err != nil || number%3 != 1 {
			t.Fatalf("%s ranks first for a server in hall-1", order[0])
		}
		byHolder[order[0]]++
		remaining := RankHolders(server, "hall-1", hosts[2:])
		if order[0] != "host-1" && remaining[0] != order[0] {
			t.Errorf("%s: held by %s, but by %s after the removal of host-0 and host-1", server, order[0], remaining[0])
		}
	}
	if len(byHolder) != 10 {
		t.Errorf("%d of the hall's ten hosts hold servers, want all", len(byHolder))
	}
}
