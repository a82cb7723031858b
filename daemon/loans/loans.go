// Package loans lets a host pay retries from the unused parts of the retry budget that other
// hosts have. Package [limit] describes the parts.
//
// Requests and replies are datagrams. What a host has lent counts as spent there, also if the
// reply is lost: a lost datagram can make the hosts retry less than they may, but never more.
//
// # Usage
//
//	b := loans.New(window, peers, send)
//	balance, ok := b.Spend(ctx, service, time.Now())       // before each retry
//	reply := b.HandleRequest(request)                      // of another host
//	b.HandleReply(reply)
package loans

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"slipcrank.example/core/limit"
	"slipcrank.example/daemon/replies"
)

const (
	// replyTimeout bounds the wait for a reply. Hosts with a fifth of a core reply within
	// some 10 ms.
	replyTimeout = 50 * time.Millisecond
	// maxAsked is the number of hosts that are asked for a retry.
	maxAsked = 8
)

// Borrower pays retries. It is safe for concurrent use.
type Borrower struct {
	window  *limit.RetryWindow
	peers   func() []netip.AddrPort
	send    func(to netip.AddrPort, q limit.LoanRequest)
	replies *replies.Waiter[limit.LoanReply]
}

// New returns a Borrower that spends from a window, and asks the hosts that peers returns for
// what the window lacks.
func New(w *limit.RetryWindow, peers func() []netip.AddrPort, send func(to netip.AddrPort, q limit.LoanRequest)) *Borrower {
	return &Borrower{window: w, peers: peers, send: send, replies: replies.NewWaiter[limit.LoanReply]()}
}

// Spend pays one retry to a service. It returns what this host knew before, and whether the
// retry is paid.
func (b *Borrower) Spend(ctx context.Context, service string, now time.Time) (limit.Balance, bool) {
	return b.window.Spend(service, now, func(amount float64) (float64, time.Duration) {
		asked := time.Now()
		return b.borrow(ctx, service, amount), time.Since(asked)
	})
}

// borrow asks hosts in random order, until they have lent the amount together, and returns what
// they have lent.
func (b *Borrower) borrow(ctx context.Context, service string, amount float64) float64 {
	peers, lent := b.peers(), 0.0
	for n, i := range rand.Perm(len(peers)) {
		if n == maxAsked || lent >= amount {
			break
		}
		q := limit.LoanRequest{Service: service, Amount: amount - lent}
		r, ok := b.replies.Ask(ctx, replyTimeout, func(id uint32) {
			q.ID = id
			b.send(peers[i], q)
		})
		if ok {
			lent += r.Lent
		}
	}
	return lent
}

// HandleRequest returns the reply to a request of another host.
func (b *Borrower) HandleRequest(q limit.LoanRequest) limit.LoanReply {
	return limit.LoanReply{ID: q.ID, Lent: b.window.Lend(q.Service, q.Amount, time.Now())}
}

// HandleReply passes a reply of another host to the goroutine that waits for it.
func (b *Borrower) HandleReply(r limit.LoanReply) { b.replies.Deliver(r.ID, r) }
