package upstream

import (
	"bufio"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/clients/web"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	limiter *limiter
	reader  *bufio.Reader // of limiter
	// idleUntil is when the idle connection expires, as the server may close it
	// from then on.
	idleUntil time.Time
	// awaitingHead is set from the writing of a request until the head of its
	// answer has arrived.
	awaitingHead atomic.Bool
	used         bool // an answer has arrived on it
}

func newConn(n net.Conn) *conn {
	l := &limiter{conn: n}
	return &conn{Conn: n, limiter: l, reader: bufio.NewReaderSize(l, readBufferBytes)}
}

// abort closes the connection. If the head of an answer is outstanding, it resets
// the connection instead, so that a delayed request doesn't reach the server after
// it has been abandoned, when the server may be leaving.
func (c *conn) abort() {
	if c.awaitingHead.Load() {
		web.ResetOnClose(c.Conn)
	}
	_ = c.Close()
}

// reusable reports whether the idle connection is open and has received no
// unsolicited bytes. It doesn't block.
func (c *conn) reusable() bool {
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

// checkStaysOpen waits for proxyCloseTimeout and returns an error if the peer closes
// the connection by then, as does a proxy in front of a server that is down.
func (c *conn) checkStaysOpen() error {
	if err := c.SetReadDeadline(time.Now().Add(proxyCloseTimeout)); err != nil {
		return errors.Mark(err, errClosedAtOnce)
	}
	if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Mark(err, errClosedAtOnce)
	}
	return c.SetReadDeadline(time.Time{})
}

// proxyCloseTimeout is the time within which a proxy closes a connection if it can't
// reach the server: several times the latency between halls.
const proxyCloseTimeout = 20 * time.Millisecond

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay
// unacknowledged, so that a connection to an unreachable host fails instead of
// hanging.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, setErr)
}
