// Package grants asks the holder of a rate-limited backend server's bucket for each
// request that is to go there, and answers those that ask this host. Package
// [grant] says who holds it and why.
//
// A question is a datagram, and so is its answer. Without an answer in time nothing is
// granted: what is lost costs a request to one server, never more than a limit allows.
//
// # Usage
//
//	k := grants.New(host, hall, notices, send, clock.Now)
//	k.SetHosts(others)                                     // on each change
//	ok, wait := k.Take(ctx, server)
//	reply := k.Answer(number, question)                    // of another host
//	k.Answered(number, reply)
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
)

const (
	// askTime bounds the wait for an answer: hosts that get a fifth of a core answer
	// within some 10 ms, and the request may go to another server meanwhile.
	askTime = 100 * time.Millisecond
	// otherWait is after how long a host may ask again that asked one which isn't the
	// holder, or got no answer.
	otherWait = 200 * time.Millisecond
	// pingPause lies between two questions to a host that isn't asked for a request.
	pingPause = 200 * time.Millisecond
)

type (
	// Host is another host.
	Host struct {
		Name, Hall string
		Addr       netip.AddrPort
		// Number tells its starts apart.
		Number uint32
	}

	// Coordinator takes requests of limited servers, from its own ledger or another host's.
	// It is safe for use by many goroutines.
	Coordinator struct {
		self    grant.Host
		notices *notice.Registry
		send    func(to netip.AddrPort, q grant.Request)
		now     func() time.Duration
		ledger  *grant.Buckets

		mu      sync.Mutex
		hosts   []Host
		byName  map[string]Host
		orders  map[string][]string // by server, of these hosts
		reach   *grant.Reachability
		next    uint32
		waiting map[uint32]chan grant.Reply
	}
)

// New returns a keeper that knows no other hosts.
func New(name, hall string, b *notice.Registry, send func(to netip.AddrPort, q grant.Request), now func() time.Duration) *Coordinator {
	return &Coordinator{
		self: grant.Host{Name: name, Hall: hall}, notices: b, send: send, now: now,
		ledger:  grant.NewBuckets(),
		byName:  map[string]Host{},
		orders:  map[string][]string{},
		reach:   grant.NewReachability(),
		waiting: map[uint32]chan grant.Reply{},
	}
}

// SetHosts sets the other hosts, in an order that stays.
func (k *Coordinator) SetHosts(hosts []Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.Equal(hosts, k.hosts) {
		return
	}
	k.hosts = slices.Clone(hosts)
	clear(k.orders)
	clear(k.byName)
	for _, h := range hosts {
		k.byName[h.Name] = h
	}
	k.reach.Retain(func(name string) bool { _, ok := k.byName[name]; return ok })
}

// Take takes one request of a server. If it may not have one now, Take reports false
// and after how long it may.
func (k *Coordinator) Take(ctx context.Context, s backend.Server) (bool, time.Duration) {
	l := k.notices.Limit(s.ID)
	if !l.Limited {
		return true, 0
	}
	hosts := k.holders(s.ID, s.Hall)
	if len(hosts) == 0 {
		return k.ledger.Take(s.ID, l.Rate, k.now())
	}
	k.ledger.Drop(s.ID)
	// The next one knows whether the first has gone, sooner than hosts that ask seldom.
	for _, h := range hosts {
		if r, ok := k.ask(ctx, h, grant.Request{Server: s.ID, Hall: s.Hall, Limit: l}); ok {
			k.notices.MergeLimit(s.ID, r.Limit, k.now())
			return r.Granted, r.Wait
		}
	}
	return false, otherWait
}

// HandleRequest answers a question of another host. One that isn't known yet is granted
// nothing, but sees that this host is there.
func (k *Coordinator) HandleRequest(host uint32, q grant.Request) grant.Reply {
	r := grant.Reply{ID: q.ID, Server: q.Server, Wait: otherWait}
	if !k.heard(host) {
		r.Limit = k.notices.Limit(q.Server)
		return r
	}
	k.notices.MergeLimit(q.Server, q.Limit, k.now())
	if r.Limit = k.notices.Limit(q.Server); q.Ping {
		return r
	}
	hosts := k.holders(q.Server, q.Hall)
	switch {
	case len(hosts) > 0:
		k.ledger.Drop(q.Server)
		k.ping(hosts[0]) // it may be gone, and this host the next
	case !r.Limit.Limited:
		r.Granted = true
	default:
		r.Granted, r.Wait = k.ledger.Take(q.Server, r.Limit.Rate, k.now())
	}
	return r
}

// Retain drops what is kept of servers that aren't listed any more.
func (k *Coordinator) Retain(listed func(server string) bool) {
	k.ledger.Retain(listed)
	k.mu.Lock()
	defer k.mu.Unlock()
	for server := range k.orders {
		if !listed(server) {
			delete(k.orders, server)
		}
	}
}

// HandleReply takes in an answer of another host.
func (k *Coordinator) HandleReply(host uint32, r grant.Reply) {
	if !k.heard(host) {
		return
	}
	k.mu.Lock()
	c := k.waiting[r.ID]
	delete(k.waiting, r.ID)
	k.mu.Unlock()
	if c != nil {
		c <- r
	}
}

// heard notes that a host has said something, and reports whether it is known.
func (k *Coordinator) heard(number uint32) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := slices.IndexFunc(k.hosts, func(h Host) bool { return h.Number == number })
	if i < 0 {
		return false
	}
	k.reach.ReplyReceived(k.hosts[i].Name)
	return true
}

// holders returns the host that holds a server's bucket and the next one, of those
// before this host; none if this one holds it. Hosts that are silent are asked whether
// they are back.
func (k *Coordinator) holders(server, hall string) []Host {
	now := k.now()
	var holders, silent []Host
	k.mu.Lock()
	for _, name := range k.order(server, hall) {
		if name == k.self.Name || len(holders) == 2 {
			break
		}
		if k.reach.Unresponsive(name, now) {
			silent = append(silent, k.byName[name])
		} else {
			holders = append(holders, k.byName[name])
		}
	}
	k.mu.Unlock()
	for _, h := range silent {
		k.ping(h)
	}
	return holders
}

// order returns the names of all hosts in the order in which they hold a server's bucket.
// The keeper is locked.
func (k *Coordinator) order(server, hall string) []string {
	if order, known := k.orders[server]; known {
		return order
	}
	hosts := []grant.Host{k.self}
	for _, h := range k.hosts {
		hosts = append(hosts, grant.Host{Name: h.Name, Hall: h.Hall})
	}
	k.orders[server] = grant.RankHolders(server, hall, hosts)
	return k.orders[server]
}

// ask asks a host, and reports whether it has answered.
func (k *Coordinator) ask(ctx context.Context, h Host, q grant.Request) (grant.Reply, bool) {
	c := make(chan grant.Reply, 1)
	k.mu.Lock()
	k.next++
	q.ID = k.next
	k.waiting[q.ID] = c
	k.reach.RequestSent(h.Name, k.now())
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.waiting, q.ID)
	}()
	k.send(h.Addr, q)
	timeout := time.NewTimer(askTime)
	defer timeout.Stop()
	select {
	case r := <-c:
		return r, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return grant.Reply{}, false
}

// ping asks whether a host is there, unless it was asked a moment ago.
func (k *Coordinator) ping(h Host) {
	now := k.now()
	k.mu.Lock()
	ago, open := k.reach.SinceUnanswered(h.Name, now)
	again := !open || ago >= pingPause
	if again {
		k.reach.RequestSent(h.Name, now)
	}
	k.mu.Unlock()
	if again {
		k.send(h.Addr, grant.Request{Ping: true})
	}
}
