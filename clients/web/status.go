package web

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrTooLate is a request of which nothing was sent, since the time for it was
// over first.
var ErrTooLate = errors.New("the time for the request was over before it was sent")

// ErrUnresponsive is a peer that said nothing for a while, and did not answer when it
// was asked whether it lives.
var ErrUnresponsive = errors.New("the peer has fallen silent")

// StatusError is an answer with a status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Body is the answer's body as text.
	Body string
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	const most = 200
	b := e.Body
	if len(b) > most {
		b = b[:most]
	}
	return fmt.Sprintf("status %d: %s", e.Status, b)
}

// NotSent reports whether err says that no connection could be opened, or that
// the request's time was over first, so that nothing of the request has left
// this process.
func NotSent(err error) bool {
	if errors.IsAny(err, ErrTooLate, fasthttp.ErrNoFreeConns, fasthttp.ErrDialTimeout) {
		return true
	}
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
