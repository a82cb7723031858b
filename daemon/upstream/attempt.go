package upstream

import (
	"net"
	"slices"
)

// Attempt collects the connections on which one attempt of a caller was sent. A server may send the
// answer to a request twice, and an ID names the attempt: on one connection, a late copy of the
// answer to one send can't be told from the answer to the next. It isn't safe for concurrent use.
type Attempt struct{ conns []*conn }

func (a *Attempt) add(c *conn) {
	if a != nil {
		a.conns = append(a.conns, c)
	}
}

// usedConn reports whether the attempt was sent on a connection.
func (a *Attempt) usedConn(c *conn) bool { return a != nil && slices.Contains(a.conns, c) }

// Ports returns the local ports of the connections, in the order of the sends.
func (a *Attempt) Ports() []int {
	var ports []int
	for _, c := range a.conns {
		if addr, ok := c.LocalAddr().(*net.TCPAddr); ok {
			ports = append(ports, addr.Port)
		}
	}
	return ports
}
