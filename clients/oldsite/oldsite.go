// Package oldsite is the project's side of the old site: one more HTTP
// backend that speaks the callers' own protocol.
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

const lineBuffer = 64 << 10

var (
	doneLine = []byte("data: [DONE]")

	// ErrTruncated is a stream that ended without its end marker.
	ErrTruncated = errors.New("the old site's stream ended without its end marker")
	// ErrNotSent marks a request that never reached the old site.
	ErrNotSent = errors.New("no connection to the old site could be opened")
)

type (
	// Client sends requests to the old site.
	Client struct {
		web *web.Client
	}

	// Answer is an answer that is not streamed.
	Answer struct {
		Status      int
		ContentType string
		Body        []byte
	}
)

// New returns a client.
func New(w *web.Client) *Client { return &Client{web: w} }

// Send sends a request and returns its whole answer.
func (c *Client) Send(ctx context.Context, addr, path string, body []byte) (Answer, error) {
	a, err := c.do(ctx, addr, path, body)
	if err != nil {
		return Answer{}, err
	}
	b, err := web.ReadBody(a)
	return Answer{Status: a.StatusCode(), ContentType: string(a.Header.ContentType()), Body: b}, err
}

// Stream sends a request whose answer is streamed, and passes each line on,
// with its line feed. A nil error means that the end marker came. An answer
// with another status than 200 is a [*web.StatusError].
func (c *Client) Stream(ctx context.Context, addr, path string, body []byte, line func([]byte) error) error {
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
	return pass(bufio.NewReaderSize(a.BodyStream(), lineBuffer), line)
}

func pass(r *bufio.Reader, line func([]byte) error) error {
	whole := false
	for {
		l, err := r.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			if !whole {
				return ErrTruncated
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the old site's stream")
		}
		whole = whole || bytes.Equal(bytes.TrimSpace(l), doneLine)
		if err := line(l); err != nil {
			return err
		}
	}
}

// do sends a request once. The answer is left to the garbage collector, since
// its stream may still be read when it is closed.
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
	return a, errors.Wrap(err, "ask the old site")
}
