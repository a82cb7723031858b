// Package grant hands out the requests that a rate-limited backend server takes from
// all hosts together.
//
// Each host with a bucket of its own can't keep the sum: with a rate of 1 a second and
// room for one request each, 295 hosts may send 299 requests in 4 s. So one host, the
// holder, has the only bucket of a server, and others ask it before each request.
// Who holds is no role and not agreed: each host works it out from the list of hosts
// that the platform has, by [RankHolders], leaving out those that don't answer it. Nobody
// is asked by whom a server can't be reached: hosts of the server's own data hall come
// first, so a hall that is cut off goes on using its servers within their limits.
//
// Hosts may disagree for a while on who holds, and each of two holders grants the
// whole rate. A [Buckets] begins empty, so whoever takes over adds nothing at once.
//
// # Usage
//
//	for _, h := range grant.Order(server, hall, hosts) { ... the first that answers holds }
//	l := grant.NewLedger()
//	ok, wait := l.Take(server, rate, clock.Now())
//	l.Drop(server)     // another host holds it
package grant

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"slipcrank.example/core/route"
)

// leastRate is the least number of requests a second that is granted: one now and then
// goes to a server that takes none, since only an answer tells that it takes some
// again.
const leastRate = 0.25

// burstTime is how long requests that nobody asked for are kept: of a server that takes
// many a second, hosts can't ask for each as soon as there is one.
const burstTime = 100 * time.Millisecond

type (
	// Host may hold a server's bucket.
	Host struct {
		Name, Hall string
	}

	// Buckets has the buckets of the servers that this host holds. It is safe for use
	// by many goroutines.
	Buckets struct {
		mu      sync.Mutex
		buckets map[string]*rate.Limiter
	}
)

// NewBuckets returns a ledger without buckets.
func NewBuckets() *Buckets { return &Buckets{buckets: map[string]*rate.Limiter{}} }

// RankHolders returns the names of the hosts in the order in which they are to hold a
// server's bucket: those of its hall first.
func RankHolders(server, hall string, hosts []Host) []string {
	var near, far []string
	for _, h := range hosts {
		if h.Hall == hall {
			near = append(near, h.Name)
		} else {
			far = append(far, h.Name)
		}
	}
	return append(route.Rank(server, near), route.Rank(server, far)...)
}

// GrantRate is what is granted of a limit, in requests a second.
func GrantRate(limit float64) float64 { return max(limit, leastRate) }

// RequestInterval is for how long a server takes nothing more once it has got a request; 0 where
// requests that nobody asked for may be left.
func RequestInterval(limit float64) time.Duration {
	p := time.Duration(float64(time.Second) / GrantRate(limit))
	if p < burstTime {
		return 0
	}
	return p
}

// Take takes one request of a server that names a limit, in requests a second. If there
// is none, it reports false and how long it takes until there is.
func (l *Buckets) Take(server string, limit float64, now time.Duration) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, at := rate.Limit(GrantRate(limit)), time.Unix(0, int64(now))
	burst := max(int(float64(r)*burstTime.Seconds()), 1)
	b := l.buckets[server]
	if b == nil {
		b = rate.NewLimiter(r, burst)
		b.AllowN(at, burst)
		l.buckets[server] = b
	}
	if b.Limit() != r {
		b.SetLimitAt(at, r)
		b.SetBurstAt(at, burst)
	}
	if b.AllowN(at, 1) {
		return true, 0
	}
	return false, time.Duration((1 - b.TokensAt(at)) / float64(r) * float64(time.Second))
}

// Retain drops the buckets of servers that aren't listed any more.
func (l *Buckets) Retain(listed func(server string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server := range l.buckets {
		if !listed(server) {
			delete(l.buckets, server)
		}
	}
}

// Drop forgets the bucket of a server that another host holds.
func (l *Buckets) Drop(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.buckets, server)
}
