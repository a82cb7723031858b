package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // after which the server may close it, once it rests
}

// quiet reports whether the connection is open and nothing has arrived on it
// that no request asked for. It doesn't wait.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged, so that
// a connection to a host that has gone breaks instead of hanging.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, set)
}
