package web

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrTruncated is returned for a response whose body is shorter than its
// Content-Length.
var ErrTruncated = errors.New("response body truncated: shorter than its Content-Length")

// ReadBody reads the whole body of a response and closes its stream. It returns
// read errors, whereas fasthttp's own Body method returns the text of a read
// error as the body, so that a truncated response would look complete.
func ReadBody(a *fasthttp.Response) ([]byte, error) {
	s := a.BodyStream()
	if s == nil {
		return a.Body(), nil
	}
	b, err := io.ReadAll(s)
	if closeErr := a.CloseBodyStream(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if n := a.Header.ContentLength(); n >= 0 && len(b) != n {
		return nil, ErrTruncated
	}
	return b, nil
}
