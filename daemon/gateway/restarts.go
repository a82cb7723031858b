package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/limit"
)

// errServerRestarted cancels a call whose server has restarted, or at whose address another
// one has started: the new instance doesn't have the request.
var errServerRestarted = errors.New("backend server has restarted")

// errPathLost cancels a call that waits for a server which this host can't reach.
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
		handOver     handoverFunc // for a stream that has begun
		pending      *handover    // in which the call was sent to this server, nil for none

		// work is held while this host works on the call, rather than waits for the server. It
		// protects the call and the fields below it. Reading ended needs no lock.
		work     sync.Mutex
		ended    atomic.Bool
		handover *handover // the last one; nil if there was none

		mu       sync.Mutex
		sent     bool          // the request may have begun to leave this host
		canceled bool          // before the request was sent
		begun    bool          // the server has begun to answer
		headSent bool          // the caller has the head of the answer
		heard    time.Duration // when the server last sent something, or this host began to wait for it
		blamed   bool          // the server has failed, and sent nothing since
	}

	// unreachedFunc reports whether a server is known to be out of reach since a time.
	unreachedFunc func(s backend.Server, since time.Duration) bool

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

// isBegun reports whether the server has begun to answer.
func (e *exchange) isBegun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

// blame records that the server has failed, and reports whether that is new.
func (e *exchange) blame() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	isNew := !e.blamed
	e.blamed = true
	return isNew
}

// absolve records that the server goes on, and reports whether it had failed.
func (e *exchange) absolve() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	had := e.blamed
	e.blamed = false
	return had
}

// goOn records that the server has sent a part of the stream, which ends its handover.
func (e *exchange) goOn() {
	if e != nil {
		e.handover.revoke()
	}
}

// await waits for the server by f, during which other servers may get the stream. It reports
// whether the exchange still has it. The exchange may be nil: nobody else gets the stream.
func (e *exchange) await(f func()) bool {
	if e == nil {
		f()
		return true
	}
	func() {
		e.work.Unlock()
		defer e.work.Lock() // also if f panics, since the call's work then ends by its lock
		f()
	}()
	return e.handover == nil || !e.handover.claimed.Load()
}

// finish ends the work on the call. No handover begins from then on: the call may change without
// the lock.
func (e *exchange) finish() {
	e.ended.Store(true)
	e.work.Unlock()
}

// setWaiting records that this host waits for the server from now on. The exchange may be nil.
func (e *exchange) setWaiting(now time.Duration) {
	if e != nil {
		e.setHeard(now)
	}
}

// lastHeard returns when the server last sent something, or this host began to wait for it.
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

// leaveIfUnreached cancels an exchange whose server has sent nothing since a time, unless the
// call may have been sent and may run only once. A stream that has begun is handed over instead.
// It reports false, and does nothing, if the call was sent and its server is not known to be out
// of reach since it was last heard.
func (e *exchange) leaveIfUnreached(since time.Duration, unreached unreachedFunc) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.heard > since, e.sent && !e.movable:
	case e.sent && !unreached(e.server, e.heard):
		return false
	case e.sent && e.headSent && !e.pending.isPending():
		go e.handOver(outcome{result: failed, reason: reasonPathLost})
	default:
		e.canceled = !e.sent
		e.cancel(errPathLost)
	}
	return true
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

// leaveUnreached moves the calls of a service that have waited in vain since a time to other
// servers. It returns the servers whose calls stay since it isn't known whether they can be
// reached: a server that works on a call may send nothing for long, also while others fail.
func (x *exchanges) leaveUnreached(service string, since time.Duration, unreached unreachedFunc) []backend.Server {
	x.mu.Lock()
	defer x.mu.Unlock()
	unknown := map[string]backend.Server{}
	for e := range x.open {
		if e.server.Service == service && !e.leaveIfUnreached(since, unreached) {
			unknown[e.server.ID] = e.server
		}
	}
	return slices.Collect(maps.Values(unknown))
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
