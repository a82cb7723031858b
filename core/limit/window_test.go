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

const (
	span         = 10 * time.Second
	share, extra = 0.2, 1000.0
	fraction     = 0.95
	maxAsked     = 8 // hosts that a host asks to lend
)

// fleet simulates hosts that share a retry budget. Its clock advances with each request.
type fleet struct {
	hosts    []host
	cell     int // the number of hosts that lend to each other
	random   *rand.Rand
	begin    time.Time
	now      time.Duration
	requests []time.Duration
	retries  []time.Duration
	// reachable reports whether a host answers another one.
	reachable func(from, to int) bool
}

// host is one host, by the time of its last start.
type host struct {
	window  *limit.RetryWindow
	started time.Duration
}

func newFleet(hosts, cell int) *fleet {
	f := &fleet{
		hosts: make([]host, hosts), cell: min(hosts, cell), random: rand.New(rand.NewPCG(1, uint64(hosts))),
		begin: time.Now(), reachable: func(int, int) bool { return true },
	}
	for n := range f.hosts {
		f.start(n)
		f.hosts[n].started = -time.Minute
	}
	return f
}

// start starts a host, which forgets its window.
func (f *fleet) start(n int) {
	f.hosts[n].started = f.now
	f.hosts[n].window = limit.NewRetryWindow(span, share*fraction, func() float64 {
		if f.now-f.hosts[n].started < limit.Retention(span) {
			return 0
		}
		return extra * fraction / float64(len(f.hosts))
	})
}

// request counts a request at a random host, and retries it if wanted. It reports whether the
// budget allowed the retry.
func (f *fleet) request(retry bool) bool {
	n := f.random.IntN(len(f.hosts))
	f.hosts[n].window.AddRequest([]site.Target{{Service: "s", Weight: 1}}, f.begin.Add(f.now))
	f.requests = append(f.requests, f.now)
	if !retry {
		return false
	}
	first := n / f.cell * f.cell
	_, ok := f.hosts[n].window.Spend("s", f.begin.Add(f.now), func(amount float64) (float64, time.Duration) {
		lent, asked := 0.0, 0
		for _, i := range f.random.Perm(min(f.cell, len(f.hosts)-first)) {
			if lender := first + i; lender != n && lent < amount && asked < maxAsked {
				asked++
				if f.reachable(n, lender) {
					lent += f.hosts[lender].window.Lend("s", amount-lent, f.begin.Add(f.now))
				}
			}
		}
		return lent, 0
	})
	if ok {
		f.retries = append(f.retries, f.now)
	}
	return ok
}

// worst returns the largest number of retries within a span, compared with those that are
// allowed in it, and their allowed number.
func (f *fleet) worst() (retries int, allowed float64) {
	worst := 0.0
	in := func(ts []time.Duration, from time.Duration) int {
		first, _ := slices.BinarySearch(ts, from)
		end, _ := slices.BinarySearch(ts, from+span)
		return end - first
	}
	for _, from := range f.retries {
		n, a := in(f.retries, from), share*float64(max(in(f.requests, from), in(f.requests, from-span), in(f.requests, from-span/2)))+extra
		if float64(n)/a > worst {
			worst, retries, allowed = float64(n)/a, n, a
		}
	}
	return retries, allowed
}

// TestRetriesAreSharedByTheHostsOfACell simulates fleets that retry a seventh of their
// requests, and all requests of one second at once, as after the loss of a hall. The whole
// fleet may retry a fifth of its requests and a fixed number in any window, and hosts must get
// a retry as long as that allows it, however few requests each of them has.
func TestRetriesAreSharedByTheHostsOfACell(t *testing.T) {
	const (
		length           = 60 * time.Second
		perSecond        = 200 // requests of the whole fleet
		hostsPerCell     = 60
		failing          = 1.0 / 7
		outage           = 30 // the second in which all requests fail
		minGrantedInCalm = 0.99
	)
	for _, hosts := range []int{6, 60, 960, 1920} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			f := newFleet(hosts, hostsPerCell)
			wanted, granted := 0, 0
			for ; f.now < length; f.now += time.Second / perSecond {
				second := int(f.now / time.Second)
				retry := second == outage || f.random.Float64() < failing
				ok := f.request(retry)
				if second != outage && retry {
					wanted++
					if ok {
						granted++
					}
				}
			}
			if n, allowed := f.worst(); float64(n) > allowed {
				t.Fatalf("%d retries within %v, allowed %v", n, span, allowed)
			}
			if float64(granted) < minGrantedInCalm*float64(wanted) {
				t.Errorf("%d of %d retries were granted", granted, wanted)
			}
		})
	}
}

// TestRetriesStayInTheBudgetThroughRestarts has all requests fail while hosts restart or lose each other.
func TestRetriesStayInTheBudgetThroughRestarts(t *testing.T) {
	const length, perSecond, minUsable = 60 * time.Second, 400, 0.8
	for name, disturb := range map[string]func(f *fleet, step int){
		"calm": func(*fleet, int) {},
		"restarts": func(f *fleet, step int) {
			if step%100 == 0 {
				f.start(step / 100 % len(f.hosts))
			}
		},
		"six restarts of each host in six seconds": func(f *fleet, step int) {
			if step%perSecond == 0 && f.now > 12*time.Second && f.now < 18*time.Second {
				for n := range f.hosts {
					f.start(n)
				}
			}
		},
		"no host answers another": func(f *fleet, _ int) { f.reachable = func(int, int) bool { return false } },
		"halves, and restarts": func(f *fleet, step int) {
			f.reachable = func(from, to int) bool { return from%2 == to%2 || f.now%(8*time.Second) < 3*time.Second }
			if step%250 == 0 {
				f.start(f.random.IntN(len(f.hosts)))
			}
		},
	} {
		for _, hosts := range []int{9, 72, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				t.Parallel()
				f := newFleet(hosts, 100)
				for step := 0; f.now < length; step++ {
					disturb(f, step)
					f.request(true)
					f.now += time.Second / perSecond
				}
				n, allowed := f.worst()
				t.Logf("%d retries within %v, allowed %v", n, span, allowed)
				if float64(n) > allowed {
					t.Errorf("%d retries within %v, allowed %v", n, span, allowed)
				}
				if name == "calm" && float64(n) < minUsable*allowed {
					t.Errorf("%d retries within %v, want %v of the %v that are allowed", n, span, minUsable, allowed)
				}
			})
		}
	}
}

// TestBurstsASpanApart pays all retries at one moment, and again as soon as that is allowed.
func TestBurstsASpanApart(t *testing.T) {
	f := newFleet(1, 1)
	for ; f.now < 5*span; f.now += 5 * time.Millisecond {
		for f.request(true) {
		}
	}
	if n, allowed := f.worst(); float64(n) > allowed {
		t.Errorf("%d retries within %v, allowed %v", n, span, allowed)
	}
}
