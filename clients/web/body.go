package web

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrTruncated is returned for a response whose body is shorter than its
// Content-Length.
var ErrTruncated = errors.New("response body truncated: shorter than its Content-Length")

// ErrBodyTooLarge is returned for a response whose body is larger than allowed.
var ErrBodyTooLarge = errors.New("response body larger than allowed")

// MaxBodyBytes bounds the body of a response that is read completely.
const MaxBodyBytes = 32 << 20

// ReadBody reads the whole body of a response, of at most [MaxBodyBytes], and closes its
// stream. It returns read errors, whereas fasthttp's own Body method returns the text of
// a read error as the body, so that a truncated response would look complete.
func ReadBody(a *fasthttp.Response) ([]byte, error) { return readBody(a, MaxBodyBytes) }

// readBody reads a body of at most limit bytes. If there are more, the connection is closed
// with the stream.
func readBody(a *fasthttp.Response, limit int64) ([]byte, error) {
	s := a.BodyStream()
	if s == nil {
		return a.Body(), nil
	}
	b, err := io.ReadAll(io.LimitReader(s, limit+1))
	if closeErr := a.CloseBodyStream(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if int64(len(b)) > limit {
		return nil, ErrBodyTooLarge
	}
	if n := a.Header.ContentLength(); n >= 0 && len(b) != n {
		return nil, ErrTruncated
	}
	return b, nil
}
