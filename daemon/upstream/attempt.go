package upstream

import "net"

// Attempt collects the connections on which one attempt of a caller was sent. It isn't safe for
// concurrent use.
type Attempt struct{ conns []*conn }

func (a *Attempt) add(c *conn) {
	if a != nil {
		a.conns = append(a.conns, c)
	}
}

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
