package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
)

// errRestarted is a server that has started again: it knows nothing of what was
// sent to its earlier start.
var errRestarted = errors.New("the backend server has started again")

// errOverdue is a call whose time ran out while the machine was suspended: timers
// stood still meanwhile.
var errOverdue = errors.New("the machine was suspended past the call's deadline")

// exchanges are the calls that servers are at work on. It is safe for use by many
// goroutines.
type exchanges struct {
	mu   sync.Mutex
	open map[*exchange]bool
}

// exchange is one call at a server.
type exchange struct {
	server backend.Server
	due    time.Duration
	cancel context.CancelCauseFunc
}

func newExchanges() *exchanges { return &exchanges{open: map[*exchange]bool{}} }

// begin notes a call at a server. The returned function ends it.
func (x *exchanges) begin(s backend.Server, due time.Duration, cancel context.CancelCauseFunc) func() {
	e := &exchange{s, due, cancel}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open[e] = true
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.open, e)
	}
}

// giveUp ends the calls that are overdue, and those at starts of servers that are
// over, and returns these servers. Behind a cut no reset tells of a restart: such
// calls would be held until their deadlines, and those that may run only once for
// nothing.
func (x *exchanges) giveUp(over func(backend.Server) bool, now time.Duration) []backend.Server {
	x.mu.Lock()
	defer x.mu.Unlock()
	var servers []backend.Server
	for e := range x.open {
		if now >= e.due {
			e.cancel(errOverdue)
		}
		if over(e.server) {
			e.cancel(errRestarted)
			servers = append(servers, e.server)
		}
	}
	return servers
}
