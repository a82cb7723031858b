package upstream

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of reading more than a limit allows.
var (
	errTooLong = errors.New("the server sends more bytes than are allowed")
	errTooSlow = errors.New("the server sends bytes too slowly")
)

// limiter reads from a connection. While it has a limit, a server that sends bytes without end,
// at any rate, is given up.
type limiter struct {
	conn    net.Conn
	limited bool
	left    int64 // bytes that may still be read
	timeout time.Duration
	begun   bool // some were read under the limit
	timed   bool // the connection has a read deadline
}

// limit bounds the bytes that are read from now on, and the time from the first of them.
func (l *limiter) limit(bytes int64, timeout time.Duration) {
	l.lift()
	l.limited, l.left, l.timeout, l.begun = true, bytes, timeout, false
}

// lift ends the limit.
func (l *limiter) lift() {
	if l.timed {
		_ = l.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	l.limited, l.timed = false, false
}

// Read implements [io.Reader].
func (l *limiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errTooLong
	}
	// What arrives at once, as most heads do, needs no deadline.
	if l.begun && !l.timed {
		if err := l.conn.SetReadDeadline(time.Now().Add(l.timeout)); err != nil {
			return 0, err
		}
		l.timed = true
	}
	n, err := l.conn.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	l.begun = l.begun || n > 0
	if l.timed && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errTooSlow
	}
	return n, err
}
