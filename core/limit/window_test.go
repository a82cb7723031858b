package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/core/site"
)

// TestRetriesAreSharedByTheHostsOfACell simulates fleets that retry a seventh of their
// requests, and all requests of one second at once, as after the loss of a hall. Hosts hear
// of each other's requests and retries after some milliseconds. The whole fleet may retry a
// fifth of its requests and a fixed number in any window, and hosts must get a retry as long
// as that allows it, however few requests each of them has.
func TestRetriesAreSharedByTheHostsOfACell(t *testing.T) {
	const (
		span, length     = 10 * time.Second, 60 * time.Second
		share, extra     = 0.2, 1000.0
		fraction         = 0.7
		perSecond        = 200 // requests of the whole fleet
		hostsPerCell     = 60
		failing          = 1.0 / 7
		outage           = 30 // the second in which all requests fail
		latency          = 20 * time.Millisecond
		minGrantedInCalm = 0.99
	)
	for _, hosts := range []int{6, 60, 960, 1920} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			inCell := min(hosts, hostsPerCell)
			windows := make([]*limit.RetryWindow, hosts)
			for n := range windows {
				windows[n] = limit.NewRetryWindow(span, share*fraction, func() float64 {
					return extra * fraction * float64(inCell) / float64(hosts)
				})
			}
			random := rand.New(rand.NewPCG(1, uint64(hosts)))
			begin := time.Now()
			var requests, retries []time.Duration
			wanted, granted := 0, 0
			type report struct {
				at    time.Duration
				host  int
				retry bool
			}
			var reports []report
			targets := []site.Target{{Service: "s", Weight: 1}}
			for now := time.Duration(0); now < length; now += time.Second / perSecond {
				for len(reports) > 0 && reports[0].at <= now {
					r := reports[0]
					for n := r.host / inCell * inCell; n < min((r.host/inCell+1)*inCell, hosts); n++ {
						if n != r.host {
							windows[n].AddReported("s", r.retry, begin.Add(now))
						}
					}
					reports = reports[1:]
				}
				host := random.IntN(hosts)
				windows[host].AddRequest(targets, begin.Add(now))
				requests = append(requests, now)
				reports = append(reports, report{now + latency, host, false})
				second := int(now / time.Second)
				if second != outage && random.Float64() >= failing {
					continue
				}
				_, ok := windows[host].Spend("s", begin.Add(now))
				if ok {
					retries = append(retries, now)
					reports = append(reports, report{now + latency, host, true})
				}
				if second != outage {
					wanted++
					if ok {
						granted++
					}
				}
			}
			for i, from := range retries {
				end, _ := slices.BinarySearch(retries, from+span)
				first, _ := slices.BinarySearch(requests, from)
				last, _ := slices.BinarySearch(requests, from+span)
				if n, allowed := end-i, share*float64(last-first)+extra; float64(n) > allowed {
					t.Fatalf("%d retries within %v, allowed %v", n, span, allowed)
				}
			}
			if float64(granted) < minGrantedInCalm*float64(wanted) {
				t.Errorf("%d of %d retries were granted", granted, wanted)
			}
		})
	}
}
