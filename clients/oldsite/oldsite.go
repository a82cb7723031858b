// Package oldsite is the client of the old site, an HTTP server that has the same
// interface as slipcrank has for its callers.
//
// # Usage
//
//	c := oldsite.New(web.New())
//	err := c.Stream(ctx, addr, "/v1/completions", body, func(event []byte) error { ... })
package oldsite

import (
	"bufio"
	"bytes"
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/web"
)

// maxLineBytes is the maximum length of one line of a stream.
const maxLineBytes = 64 << 10

var (
	doneLine = []byte("data: [DONE]")

	// ErrTruncated is returned for a stream that ended without its end marker.
	ErrTruncated = errors.New("the old site's stream ended without its end marker")
	// ErrNotSent is returned if nothing of a request was sent to the old site.
	ErrNotSent = errors.New("no connection to the old site could be opened")
)

type (
	// Client sends requests to the old site.
	Client struct {
		web *web.Client
	}

	// Answer is a response that is not streamed.
	Answer struct {
		Status      int
		ContentType string
		Body        []byte
	}
)

// New returns a client.
func New(w *web.Client) *Client { return &Client{web: w} }

// Send sends a request once and returns its whole response.
func (c *Client) Send(ctx context.Context, addr, path string, body []byte) (Answer, error) {
	a, err := c.do(ctx, addr, path, body)
	if err != nil {
		return Answer{}, err
	}
	b, err := web.ReadBody(a)
	return Answer{Status: a.StatusCode(), ContentType: string(a.Header.ContentType()), Body: b}, err
}

// Stream sends a request once and calls event for each event of the response, with the
// empty line that ends it. It returns nil only if the stream had its end marker. What a
// stream that breaks off holds of its next event is dropped. A status other than 200 is
// returned as a [*web.StatusError].
func (c *Client) Stream(ctx context.Context, addr, path string, body []byte, event func([]byte) error) error {
	a, err := c.do(ctx, addr, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = a.CloseBodyStream() }()
	if a.StatusCode() != fasthttp.StatusOK {
		b, err := web.ReadBody(a)
		if err != nil {
			return err
		}
		return &web.StatusError{Status: a.StatusCode(), Body: string(b)}
	}
	stop := context.AfterFunc(ctx, func() { _ = a.CloseBodyStream() })
	defer stop()
	return copyEvents(bufio.NewReader(a.BodyStream()), event)
}

// copyEvents calls event for each event of r, and returns [ErrTruncated] if none of them has
// the end marker.
func copyEvents(r *bufio.Reader, event func([]byte) error) error {
	for complete := false; ; {
		e, err := web.ReadEvent(r, maxLineBytes)
		switch {
		case err != nil && complete:
			return nil
		case errors.Is(err, io.EOF):
			return ErrTruncated
		case err != nil:
			return errors.Wrap(err, "read the old site's stream")
		}
		complete = complete || hasEndMarker(e)
		if err := event(e); err != nil {
			return err
		}
	}
}

// hasEndMarker reports whether an event is the end marker.
func hasEndMarker(e []byte) bool {
	for l := range bytes.Lines(e) {
		if bytes.Equal(bytes.TrimSpace(l), doneLine) {
			return true
		}
	}
	return false
}

// do sends a request once. The response is not returned to the pool of fasthttp,
// since its stream may be closed while it is still being read.
func (c *Client) do(ctx context.Context, addr, path string, body []byte) (*fasthttp.Response, error) {
	r, a := fasthttp.AcquireRequest(), &fasthttp.Response{}
	defer fasthttp.ReleaseRequest(r)
	r.Header.SetMethod(fasthttp.MethodPost)
	r.SetRequestURI("http://" + addr + path)
	r.Header.SetContentType("application/json")
	r.SetBodyRaw(body)
	err := c.web.Do(ctx, r, a)
	if web.NotSent(err) {
		err = errors.Mark(err, ErrNotSent)
	}
	return a, errors.Wrap(err, "send request to the old site")
}
