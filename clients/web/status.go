package web

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrTooLate is returned for a request whose deadline passed before any of it was
// sent.
var ErrTooLate = errors.New("the deadline of the request passed before it was sent")

// ErrUnresponsive is returned if the peer sent no data for a while and the
// liveness check failed too.
var ErrUnresponsive = errors.New("the peer sent no data and failed the liveness check")

// StatusError is a response with a status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Body is the response body as text.
	Body string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	const maxLen = 200 // bytes
	b := e.Body
	if len(b) > maxLen {
		b = b[:maxLen]
	}
	return fmt.Sprintf("status %d: %s", e.Status, b)
}

// NotSent reports whether err shows that nothing of the request has left this
// process: no connection could be opened, or the deadline passed first.
func NotSent(err error) bool {
	if errors.IsAny(err, ErrTooLate, fasthttp.ErrNoFreeConns, fasthttp.ErrDialTimeout) {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
