package entry

import (
	"net"
	"net/http"
	"sync"
)

// answering is the set of connections on which a request is in progress: from when its head
// has been read until its answer has been written, which is after the handler has returned.
type answering struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newAnswering() *answering { return &answering{conns: map[net.Conn]struct{}{}} }

// track records the state of a connection. It is the ConnState of an [http.Server].
func (a *answering) track(c net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s == http.StateActive {
		a.conns[c] = struct{}{}
		return
	}
	delete(a.conns, c)
}

// count returns the number of connections.
func (a *answering) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
