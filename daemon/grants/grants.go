// Package grants asks the holder of a rate-limited backend server's token bucket to
// grant each request to that server, and replies to other hosts where this host is
// the holder. Package [grant] describes how the holder is chosen.
//
// The requests that cold servers accept are granted in the same way.
//
// Requests for a grant and replies are datagrams. Without a reply in time nothing is
// granted. A lost datagram can thus prevent a request to a server, but never cause
// more requests than the limit allows.
//
// # Usage
//
//	c := grants.New(host, hall, notices, send, clock.Now)
//	c.SetHosts(others)                                     // on each change
//	ok, wait := c.Take(ctx, server)
//	reply := c.HandleRequest(number, request)              // of another host
//	c.HandleReply(number, reply)
package grants

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/grant"
	"slipcrank.example/core/notice"
	"slipcrank.example/daemon/replies"
)

const (
	// replyTimeout bounds the wait for a reply. Hosts with a fifth of a core reply
	// within some 10 ms, and a request that waits could be sent to another server.
	replyTimeout = 100 * time.Millisecond
	// retryWait is the wait after which a host may ask again if it got no reply, or
	// has asked a host that isn't the holder.
	retryWait = 200 * time.Millisecond
	// coldReportTTL is how long a host takes a server for cold because another host does.
	// The list of servers, which tells until when, comes within that time.
	coldReportTTL = time.Second
	// pingInterval is the minimum time between an unanswered request to a host and a
	// ping.
	pingInterval = 200 * time.Millisecond
)

type (
	// Host is another host.
	Host struct {
		Name, Hall string
		Addr       netip.AddrPort
		// Number identifies the start of the host's daemon.
		Number uint32
	}

	// Coordinator obtains grants for requests to rate-limited servers, from the buckets
	// of this host or from the holder. It is safe for concurrent use.
	Coordinator struct {
		self    grant.Host
		notices *notice.Registry
		send    func(to netip.AddrPort, q grant.Request)
		now     func() time.Duration
		buckets *grant.Buckets

		replies  *replies.Waiter[grant.Reply]
		mu       sync.Mutex
		hosts    []Host
		byName   map[string]Host
		rankings map[string][]string // host names by preference as the holder, by server
		reach    *grant.Reachability
	}
)

// New returns a Coordinator without other hosts.
func New(name, hall string, notices *notice.Registry, send func(to netip.AddrPort, q grant.Request), now func() time.Duration) *Coordinator {
	return &Coordinator{
		self: grant.Host{Name: name, Hall: hall}, notices: notices, send: send, now: now,
		buckets:  grant.NewBuckets(),
		byName:   map[string]Host{},
		rankings: map[string][]string{},
		reach:    grant.NewReachability(),
		replies:  replies.NewWaiter[grant.Reply](),
	}
}

// SetHosts sets the other hosts. They must be passed in a stable order.
func (c *Coordinator) SetHosts(hosts []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(hosts, c.hosts) {
		return
	}
	c.hosts = slices.Clone(hosts)
	clear(c.rankings)
	clear(c.byName)
	for _, h := range hosts {
		c.byName[h.Name] = h
	}
	c.reach.Retain(func(name string) bool { _, ok := c.byName[name]; return ok })
}

// Take obtains a grant for one request to a server. If there is none, it returns false
// and the time after which to ask again. Servers without a limit are always granted.
func (c *Coordinator) Take(ctx context.Context, s backend.Server) (bool, time.Duration) {
	if !c.notices.Limit(s.ID, c.now()).Limited {
		return true, 0
	}
	hosts, passed := c.holders(s.ID, s.Hall)
	if len(hosts) == 0 {
		return c.takeOwn(s.ID, passed)
	}
	c.buckets.Drop(s.ID)
	q := grant.Request{Server: s.ID, Hall: s.Hall, Limit: c.notices.ReportedLimit(s.ID)}
	q.ColdRate, _ = c.notices.ColdRate(s.ID, c.now())
	// If the first candidate doesn't reply, ask the next one. It notices sooner that
	// the first is gone than a host that seldom asks.
	for _, h := range hosts {
		if r, ok := c.ask(ctx, h, q); ok {
			c.notices.MergeLimit(s.ID, r.Limit, c.now())
			return r.Granted, r.Wait
		}
	}
	return false, retryWait
}

// HandleRequest returns the reply to a request of another host. A host that isn't known
// yet is granted nothing, but learns from the reply that this host is reachable.
func (c *Coordinator) HandleRequest(host uint32, q grant.Request) grant.Reply {
	r := grant.Reply{ID: q.ID, Server: q.Server, Wait: retryWait}
	if !c.messageReceived(host) {
		r.Limit = c.notices.ReportedLimit(q.Server)
		return r
	}
	c.notices.MergeLimit(q.Server, q.Limit, c.now())
	if r.Limit = c.notices.ReportedLimit(q.Server); q.Ping {
		return r
	}
	if _, cold := c.notices.ColdRate(q.Server, c.now()); q.ColdRate > 0 && !cold {
		c.notices.SetCold(q.Server, q.ColdRate, c.now()+coldReportTTL, c.now())
	}
	hosts, passed := c.holders(q.Server, q.Hall)
	if len(hosts) > 0 {
		c.buckets.Drop(q.Server)
		c.ping(hosts[0]) // if it is gone, this host may be the next holder
		return r
	}
	r.Granted, r.Wait = c.takeOwn(q.Server, passed)
	return r
}

// takeOwn takes one request from a bucket that this host holds, since all hosts that rank
// before it are unresponsive; passed is their number.
func (c *Coordinator) takeOwn(server string, passed int) (bool, time.Duration) {
	now := c.now()
	l := c.notices.Limit(server, now)
	if rate, cold := c.notices.ColdRate(server, now); cold {
		rate, ok := grant.ColdRate(rate, passed)
		if !ok {
			return false, retryWait
		}
		l = l.CappedAt(rate)
	}
	if !l.Limited {
		return true, 0
	}
	return c.buckets.Take(server, l.Rate, now)
}

// Retain drops the state of servers that are no longer listed.
func (c *Coordinator) Retain(listed func(server string) bool) {
	c.buckets.Retain(listed)
	c.mu.Lock()
	defer c.mu.Unlock()
	for server := range c.rankings {
		if !listed(server) {
			delete(c.rankings, server)
		}
	}
}

// HandleReply passes the reply of another host to the goroutine that waits for it.
func (c *Coordinator) HandleReply(host uint32, r grant.Reply) {
	if !c.messageReceived(host) {
		return
	}
	c.replies.Deliver(r.ID, r)
}

// messageReceived records that a host has sent a message, and reports whether the host
// is known.
func (c *Coordinator) messageReceived(number uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.hosts, func(h Host) bool { return h.Number == number })
	if i < 0 {
		return false
	}
	c.reach.ReplyReceived(c.hosts[i].Name)
	return true
}

// holders returns the first two responsive hosts that rank before this host as the
// holder of a server's bucket: the holder and the next one. It returns none if this
// host is the holder. It pings the unresponsive hosts among those that rank before
// this host, to learn whether they are back, and returns their number.
func (c *Coordinator) holders(server, hall string) (holders []Host, passed int) {
	now := c.now()
	var unresponsive []Host
	c.mu.Lock()
	for _, name := range c.ranking(server, hall) {
		if name == c.self.Name || len(holders) == 2 {
			break
		}
		if c.reach.Unresponsive(name, now) {
			unresponsive = append(unresponsive, c.byName[name])
		} else {
			holders = append(holders, c.byName[name])
		}
	}
	c.mu.Unlock()
	for _, h := range unresponsive {
		c.ping(h)
	}
	return holders, len(unresponsive)
}

// ranking returns the names of all hosts in the order of preference as the holder of a
// server's bucket. The Coordinator must be locked.
func (c *Coordinator) ranking(server, hall string) []string {
	if ranking, known := c.rankings[server]; known {
		return ranking
	}
	hosts := []grant.Host{c.self}
	for _, h := range c.hosts {
		hosts = append(hosts, grant.Host{Name: h.Name, Hall: h.Hall})
	}
	c.rankings[server] = grant.RankHolders(server, hall, hosts)
	return c.rankings[server]
}

// ask sends a request to a host and returns the reply, or false if there is none in time.
func (c *Coordinator) ask(ctx context.Context, h Host, q grant.Request) (grant.Reply, bool) {
	c.mu.Lock()
	c.reach.RequestSent(h.Name, c.now())
	c.mu.Unlock()
	return c.replies.Ask(ctx, replyTimeout, func(id uint32) {
		q.ID = id
		c.send(h.Addr, q)
	})
}

// ping sends a host a request that asks for a reply only, unless another request has
// been unanswered for less than pingInterval.
func (c *Coordinator) ping(h Host) {
	now := c.now()
	c.mu.Lock()
	since, unanswered := c.reach.SinceUnanswered(h.Name, now)
	due := !unanswered || since >= pingInterval
	if due {
		c.reach.RequestSent(h.Name, now)
	}
	c.mu.Unlock()
	if due {
		c.send(h.Addr, grant.Request{Ping: true})
	}
}
