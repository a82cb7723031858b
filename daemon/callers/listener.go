package callers

import (
	"net"
	"time"
)

// writeTimeout bounds each write to a caller's connection. After that the connection
// is closed, so that a caller that has stopped reading can't occupy resources
// forever.
const writeTimeout = 30 * time.Second

type (
	// timeoutListener accepts connections with a time limit on each write.
	timeoutListener struct{ net.Listener }

	timeoutConn struct{ net.Conn }
)

// Accept implements net.Listener.
func (l timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return timeoutConn{c}, nil
}

// Write implements net.Conn. It fails after writeTimeout.
func (c timeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
