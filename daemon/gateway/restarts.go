package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/limit"
)

// errServerRestarted cancels a call whose server has restarted, or at whose address another
// one has started: the new instance doesn't have the request.
var errServerRestarted = errors.New("backend server has restarted")

// errPathLost cancels a call that waits for a server to which this host has no path.
var errPathLost = errors.New("no path to the backend servers")

// errPastDeadline cancels a call whose deadline passed while the host was suspended.
// Timers don't advance during a suspension, so the call's context doesn't expire in
// time.
var errPastDeadline = errors.New("host was suspended past the call's deadline")

type (
	// exchanges tracks the calls that are in progress at servers. It is safe for concurrent
	// use.
	exchanges struct {
		mu   sync.Mutex
		open map[*exchange]bool
	}

	// exchange is one call in progress at a server. It is safe for concurrent use.
	exchange struct {
		server       backend.Server
		bootDeadline time.Duration
		movable      bool // the call may be sent to another server after it was sent to this one
		cancel       context.CancelCauseFunc
		mayResume    func() bool // reports whether a stream that has begun may be resumed elsewhere; it may wait

		mu       sync.Mutex
		sent     bool          // the request may have begun to leave this host
		canceled bool          // before the request was sent
		begun    bool          // the server has begun to answer
		headSent bool          // the caller has the head of the answer
		heard    time.Duration // when the server last sent something, or the exchange began
		leaving  bool          // mayResume is being called
		payment  payment       // for sending the call to another server, zero for none
	}

	// payment is a payment from the retry budget for one send to a service.
	payment struct {
		service string
		at      time.Duration // by the gateway's clock
		balance limit.Balance // when it was asked for
	}
)

func newExchanges() *exchanges { return &exchanges{open: map[*exchange]bool{}} }

// newExchange returns the exchange of a call that is about to be sent to a server.
func newExchange(s backend.Server, bootDeadline time.Duration, movable bool, now time.Duration, cancel context.CancelCauseFunc) *exchange {
	return &exchange{server: s, bootDeadline: bootDeadline, movable: movable, cancel: cancel, heard: now}
}

// add registers an exchange.
func (x *exchanges) add(e *exchange) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open[e] = true
}

func (x *exchanges) remove(e *exchange) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, e)
}

// beginSending records that the request is about to be sent. It returns an error if the
// exchange was canceled: then nothing may be sent.
func (e *exchange) beginSending() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.canceled {
		return errPathLost
	}
	e.sent = true
	return nil
}

// setHeard records that the server has sent something.
func (e *exchange) setHeard(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begun, e.heard = true, now
}

// lastHeard returns when the server last sent something, or the exchange began.
func (e *exchange) lastHeard() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard
}

// setHeadSent records that the caller has the head of the answer.
func (e *exchange) setHeadSent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headSent = true
}

// isHeadSent reports whether the caller has the head of the answer.
func (e *exchange) isHeadSent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.headSent
}

// setPayment records a payment for sending the call to another server.
func (e *exchange) setPayment(p payment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.payment = p
}

// paid returns the payment for sending the call to another server, if there is one.
func (e *exchange) paid() (payment, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.payment, e.payment.service != ""
}

// cancelIfMovable cancels an exchange whose server has sent nothing since a time, unless
// the call may have been sent and may run only once. A stream that has begun is canceled
// later, and only if it may be resumed.
func (e *exchange) cancelIfMovable(since time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heard > since || e.sent && !e.movable || e.leaving {
		return
	}
	if e.sent && e.headSent {
		e.leaving = true
		go e.cancelIfResumable(since)
		return
	}
	e.canceled = !e.sent
	e.cancel(errPathLost)
}

// cancelIfResumable cancels an exchange whose server has sent nothing since a time if it
// may be resumed.
func (e *exchange) cancelIfResumable(since time.Duration) {
	resumable := e.mayResume()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = false
	if resumable && e.heard <= since {
		e.cancel(errPathLost)
	}
}

// begunServices returns the services whose servers have begun to answer calls.
func (x *exchanges) begunServices() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var names []string
	for e := range x.open {
		e.mu.Lock()
		if e.begun && !slices.Contains(names, e.server.Service) {
			names = append(names, e.server.Service)
		}
		e.mu.Unlock()
	}
	return names
}

// cancelUnheard cancels the calls of a service that other hosts may serve, and whose
// servers have sent nothing since a time.
func (x *exchanges) cancelUnheard(service string, since time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for e := range x.open {
		if e.server.Service == service {
			e.cancelIfMovable(since)
		}
	}
}

// cancelStale cancels the calls that are past their deadlines and those at server
// instances that have ended, and returns the latter servers. During a network
// partition no TCP reset reports the restart of a server, so without this such calls
// would wait until their deadlines, in vain if they may run only once.
func (x *exchanges) cancelStale(ended func(backend.Server) bool, now time.Duration) []backend.Server {
	x.mu.Lock()
	defer x.mu.Unlock()
	var servers []backend.Server
	for e := range x.open {
		if now >= e.bootDeadline {
			e.cancel(errPastDeadline)
		}
		if ended(e.server) {
			e.cancel(errServerRestarted)
			servers = append(servers, e.server)
		}
	}
	return servers
}
