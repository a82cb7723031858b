package entry

import (
	"net/netip"
	"sync"
	"time"

	"slipcrank.example/core/limit"
)

// hostCount holds the largest number of hosts in at least one period and at most two. The zero
// value is ready to use. It is safe for concurrent use.
type hostCount struct {
	mu                sync.Mutex
	previous, current int
	since             time.Duration // begin of the current period
}

// observe adds a number of hosts, and returns the largest.
func (c *hostCount) observe(hosts int, period, now time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.since >= period {
		c.previous, c.current, c.since = c.current, 0, now
	}
	c.current = max(c.current, hosts)
	return max(c.previous, c.current)
}

// extraRetries returns this host's share of the retries that are allowed in addition to a
// fraction of the requests. Until the retries that an earlier start of this host may have paid
// have left the span, and while the other hosts don't count this one, that is nothing. A host that
// is no longer listed may still spend its share for as long, until it learns of that.
func (e *Entry) extraRetries() float64 {
	r := e.settings.Load().Bounds.Retries
	now, announced := e.clock.Now(), time.Duration(e.announcedAt.Load())
	period := limit.Retention(r.Span)
	hosts := e.hostCount.observe(e.neighbors.Load().otherHosts+1, period, now)
	if announced == 0 || now-announced < period {
		return 0
	}
	if _, listed := e.listedHost(); !listed {
		return 0
	}
	return r.Extra * retryFraction / float64(hosts)
}

// lenders returns the addresses of the other hosts that may lend retries.
func (e *Entry) lenders() []netip.AddrPort {
	alive := e.hostAlive()
	var out []netip.AddrPort
	for _, h := range e.neighbors.Load().listed {
		if addr, err := netip.ParseAddrPort(h.Addr); err == nil && h.Number != e.startNumber && alive(h.Number) {
			out = append(out, addr)
		}
	}
	return out
}
