// Package grant shares the request rate of a rate-limited backend server among all
// hosts.
//
// Token buckets on every host can't bound the sum: with a rate of 1 request/s and a
// burst of one request each, 295 hosts may send 299 requests in 4 s. So each server
// has a single bucket, on one host, the holder, and the other hosts ask the holder
// before each request. There is no election: each host computes the holder with
// [RankHolders] from the platform's list of hosts, skipping hosts that don't answer
// it. Hosts in the server's own data hall rank first, so the holder can reach the
// server, and a hall that is cut off from the others keeps using its servers within
// their limits.
//
// Cold servers accept few requests until they are warm. Every host that is cut off from
// all others would hold their buckets, and each would grant the full rate; with [ColdRate]
// all of them together grant a bounded one.
//
// Hosts may disagree for a while about the holder, and then each of two holders
// grants the full rate. New [Buckets] start empty, so a new holder grants no burst.
//
// # Usage
//
//	for _, h := range grant.RankHolders(server, hall, hosts) { ... the first that answers is the holder }
//	b := grant.NewBuckets()
//	ok, wait := b.Take(server, rate, clock.Now())
//	b.Drop(server)     // another host is the holder
package grant

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"slipcrank.example/core/route"
)

// minRate is the lowest granted rate, in requests per second. A server with a limit of
// 0 still gets a request now and then, since only an answer shows that the limit has
// ended.
const minRate = 0.25

// burstTime is the capacity of a bucket, in time: at high rates, hosts can't ask for
// each request at the moment it becomes available.
const burstTime = 100 * time.Millisecond

const (
	// coldDivisor divides the rate of a cold server for each unresponsive host that the
	// holder of its bucket has passed over. If all candidates grant at once, they grant a
	// third more than the rate.
	coldDivisor = 4
	// maxColdPassed is the largest number of unresponsive hosts that a holder of a cold
	// server's bucket may have passed over. Each further holder might send one request in
	// the same second, however low its rate.
	maxColdPassed = 2
)

type (
	// Host is a candidate holder of a server's bucket.
	Host struct {
		Name, Hall string
	}

	// Buckets has the token buckets of the servers that this host holds. It is safe
	// for concurrent use.
	Buckets struct {
		mu       sync.Mutex
		byServer map[string]*rate.Limiter
	}
)

// NewBuckets returns an empty set of buckets.
func NewBuckets() *Buckets { return &Buckets{byServer: map[string]*rate.Limiter{}} }

// RankHolders returns the names of the hosts in the order of preference as the holder
// of a server's bucket: those of the server's hall first.
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

// GrantRate returns the rate that is granted under a limit, in requests per second.
func GrantRate(limit float64) float64 { return max(limit, minRate) }

// ColdRate returns the rate that the holder of a cold server's bucket grants, in requests
// per second, given the rate of the server and the number of unresponsive hosts that rank
// before the holder. Each of them may in fact be a holder that this host can't reach, so
// each lowers the rate, which is 0 and false after maxColdPassed.
func ColdRate(rate float64, passed int) (float64, bool) {
	if passed > maxColdPassed {
		return 0, false
	}
	return rate / math.Pow(coldDivisor, float64(passed)), true
}

// RequestInterval returns the interval between two requests to a server under a limit,
// or 0 if its bucket may hold several.
func RequestInterval(limit float64) time.Duration {
	p := time.Duration(float64(time.Second) / GrantRate(limit))
	if p < burstTime {
		return 0
	}
	return p
}

// Take takes one request from the bucket of a server with a limit, in requests per
// second. If the bucket is empty, it returns false and the time until the next request.
func (b *Buckets) Take(server string, limit float64, now time.Duration) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, t := rate.Limit(GrantRate(limit)), time.Unix(0, int64(now))
	burst := max(int(float64(r)*burstTime.Seconds()), 1)
	l := b.byServer[server]
	if l == nil {
		l = rate.NewLimiter(r, burst)
		l.AllowN(t, burst)
		b.byServer[server] = l
	}
	if l.Limit() != r {
		l.SetLimitAt(t, r)
		l.SetBurstAt(t, burst)
	}
	if l.AllowN(t, 1) {
		return true, 0
	}
	return false, time.Duration((1 - l.TokensAt(t)) / float64(r) * float64(time.Second))
}

// Retain drops the buckets of servers that are no longer listed.
func (b *Buckets) Retain(listed func(server string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server := range b.byServer {
		if !listed(server) {
			delete(b.byServer, server)
		}
	}
}

// Drop drops the bucket of a server that another host holds.
func (b *Buckets) Drop(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byServer, server)
}
