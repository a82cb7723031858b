package grant

import (
	"fmt"
	"testing"
	"time"
)

// TestHolderKeepsTheSum asks one ledger, or two of which one takes over, a thousand
// times a second, and counts what is granted in any 4 s.
func TestHolderKeepsTheSum(t *testing.T) {
	const span, step, play = 4 * time.Second, time.Millisecond, 20 * time.Second
	for name, tc := range map[string]struct {
		limit   float64
		overlap time.Duration // for which two grant
		first   time.Duration // until when the first grants; 0 for ever
	}{
		"one holder":         {limit: 1},
		"a fraction":         {limit: 1.7},
		"many a second":      {limit: 40},
		"a second one":       {limit: 1, first: 6 * time.Second},
		"both for two s":     {limit: 1, first: 6 * time.Second, overlap: 2 * time.Second},
		"both, at 40 a s":    {limit: 40, first: 6 * time.Second, overlap: 2 * time.Second},
		"none":               {limit: 0},
		"none, a second one": {limit: 0, first: 6 * time.Second, overlap: 2 * time.Second},
	} {
		ledgers := []*Buckets{NewBuckets(), NewBuckets()}
		var granted []time.Duration
		for now := time.Duration(0); now < play; now += step {
			for n, l := range ledgers {
				switch {
				case n == 0 && tc.first > 0 && now >= tc.first+tc.overlap, n == 1 && (tc.first == 0 || now < tc.first):
					continue
				}
				if ok, _ := l.Take("i-1", tc.limit, now); ok {
					granted = append(granted, now)
				}
			}
		}
		most := 0
		for i, begin := range granted {
			n := i
			for n < len(granted) && granted[n] < begin+span {
				n++
			}
			most = max(most, n-i)
		}
		if allowed := int(1.5*tc.limit*span.Seconds()) + 5; most > allowed {
			t.Errorf("%s: %d granted in %v, allowed %d", name, most, span, allowed)
		}
		if least := int(tc.limit * play.Seconds() * 0.9); len(granted) < least {
			t.Errorf("%s: %d granted, want %d at least", name, len(granted), least)
		}
		if len(granted) == 0 {
			t.Errorf("%s: never granted, so nobody learns that the limit has ended", name)
		}
	}
}

func TestTakeTellsHowLongToWait(t *testing.T) {
	l := NewBuckets()
	if ok, wait := l.Take("i-1", 2, 0); ok || wait != 500*time.Millisecond {
		t.Errorf("a new ledger: %v, %v", ok, wait)
	}
	if ok, _ := l.Take("i-1", 2, 500*time.Millisecond); !ok {
		t.Error("not granted after the wait")
	}
	if ok, wait := l.Take("i-1", 10, 500*time.Millisecond); ok || wait != 100*time.Millisecond {
		t.Errorf("a higher limit: %v, %v", ok, wait)
	}
}

// TestOrder has the hosts of the server's hall come first, and only the servers of a
// host that goes change their holder.
func TestOrder(t *testing.T) {
	var hosts []Host
	for n := range 30 {
		hosts = append(hosts, Host{fmt.Sprintf("host-%d", n), fmt.Sprintf("hall-%d", n%3)})
	}
	held := map[string]int{}
	for n := range 300 {
		server := fmt.Sprintf("i-%d", n)
		order := RankHolders(server, "hall-1", hosts)
		if len(order) != len(hosts) {
			t.Fatalf("%d hosts in the order", len(order))
		}
		var number int
		if _, err := fmt.Sscanf(order[0], "host-%d", &number); err != nil || number%3 != 1 {
			t.Fatalf("%s holds a server of hall-1 first", order[0])
		}
		held[order[0]]++
		rest := RankHolders(server, "hall-1", hosts[2:])
		if order[0] != "host-1" && rest[0] != order[0] {
			t.Errorf("%s: held by %s, and by %s after host-1 has gone", server, order[0], rest[0])
		}
	}
	if len(held) != 10 {
		t.Errorf("%d of the hall's ten hosts hold servers", len(held))
	}
}
