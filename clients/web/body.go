package web

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrTruncated is an answer whose body ended before its stated length.
var ErrTruncated = errors.New("the answer's body was cut off")

// ReadBody reads a whole body and closes its stream. The library's own Body
// method puts a read error's text in the place of the body; here it is an
// error, so that a cut answer is never taken for a whole one.
func ReadBody(a *fasthttp.Response) ([]byte, error) {
	s := a.BodyStream()
	if s == nil {
		return a.Body(), nil
	}
	b, err := io.ReadAll(s)
	if c := a.CloseBodyStream(); err == nil {
		err = c
	}
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if n := a.Header.ContentLength(); n >= 0 && len(b) != n {
		return nil, ErrTruncated
	}
	return b, nil
}
