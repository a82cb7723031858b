// Package web is the HTTP client with which daemons reach everything outside:
// the platform, engines, plain services and the old site.
//
// It wraps a fasthttp client and changes what does not fit the promises of
// slipcrank. The library re-sends a request by itself when a kept connection
// closes before a byte of the answer came; that would run an unrepeatable
// call twice, so it is switched off here. A read that brings nothing for the
// stall time fails, so that a dead peer can't hold a stream for good. With
// [WithLivenessCheck] it fails sooner if the peer does not answer another question
// either, and one that works silently on a long prompt is left in peace.
//
// # Usage
//
//	c := web.New(web.WithStallTimeout(10 * time.Second))
//	var reply myReply
//	err := c.JSON(ctx, "POST", "127.0.0.1:8100", "/table/commit", request, &reply)
package web

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

const (
	defaultStall   = 20 * time.Second
	defaultTimeout = 5 * time.Second
	dialTimeout    = time.Second
	maxConns       = 4096
)

type (
	// Client sends requests; it is safe for use by many goroutines.
	Client struct {
		http  *fasthttp.Client
		stall time.Duration
		now   func() time.Time
		quiet time.Duration          // after which alive is asked
		alive func(addr string) bool // nil if nobody can be asked
		bytes atomic.Int64
	}

	// Option changes a client under construction.
	Option func(*Client)

	// stallConn fails a read that brings nothing for the stall time, or
	// until the deadline that the library set, whichever is sooner. It starts
	// to write a request only if the time for it is not over by the clock.
	stallConn struct {
		net.Conn
		addr     string
		stall    time.Duration
		now      func() time.Time
		quiet    time.Duration
		alive    func(addr string) bool
		deadline atomic.Pointer[time.Time]
		writeBy  time.Time // of the request that is written next; zero for none
		// waiting says that a request was written and no answer to it has begun.
		waiting atomic.Bool
		bytes   *atomic.Int64
	}

	// HeaderCarrier makes the headers of a request carry a trace.
	HeaderCarrier struct{ Header *fasthttp.RequestHeader }
)

// WithStallTimeout sets the time after which a silent peer counts as gone.
func WithStallTimeout(d time.Duration) Option { return func(c *Client) { c.stall = d } }

// WithNow sets the clock by which a request is too late to be sent.
func WithNow(f func() time.Time) Option { return func(c *Client) { c.now = f } }

// WithLivenessCheck sets what is asked whether a peer lives that has said nothing for
// the time quiet while an answer is awaited.
func WithLivenessCheck(quiet time.Duration, f func(addr string) bool) Option {
	return func(c *Client) { c.quiet, c.alive = quiet, f }
}

// New returns a client.
func New(os ...Option) *Client {
	c := &Client{stall: defaultStall, now: time.Now}
	for _, o := range os {
		o(c)
	}
	c.http = &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           maxConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		StreamResponseBody: true,
		Dial:               c.dial,
	}
	return c
}

func (c *Client) dial(addr string) (net.Conn, error) {
	n, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: n, addr: addr, stall: c.stall, now: c.now, quiet: c.quiet, alive: c.alive, bytes: &c.bytes}, nil
}

// CloseIdle closes the kept connections that rest. Connections may fall silent all at
// once and without a reset, while new ones work: each that is tried would cost its
// caller the time of an answer.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Bytes returns how many bytes were sent and received.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// SetReadDeadline notes the library's deadline for the reads that follow.
func (s *stallConn) SetReadDeadline(t time.Time) error {
	s.deadline.Store(&t)
	return nil
}

// Read waits at most the stall time for the next bytes, and less for those of
// a peer that has gone.
func (s *stallConn) Read(b []byte) (int, error) {
	by := time.Now().Add(s.stall)
	if d := s.deadline.Load(); d != nil && !d.IsZero() && d.Before(by) {
		by = *d
	}
	for {
		look := by
		if ask := time.Now().Add(s.quiet); s.alive != nil && ask.Before(by) {
			look = ask
		}
		if err := s.Conn.SetReadDeadline(look); err != nil {
			return 0, err
		}
		n, err := s.Conn.Read(b)
		s.bytes.Add(int64(n))
		if n > 0 {
			s.waiting.Store(false)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(by) {
			return n, err
		}
		if !s.alive(s.addr) {
			return 0, ErrUnresponsive
		}
	}
}

// SetWriteDeadline notes until when the next request may be sent. The library
// calls it once for each request, after the connection is there.
func (s *stallConn) SetWriteDeadline(t time.Time) error {
	s.writeBy = t
	return s.Conn.SetWriteDeadline(t)
}

// Write sends the next part of a request and counts it. The first part is not
// sent once the time is over by the clock: in a process that was paused, the
// timer of the connection may not have run yet.
func (s *stallConn) Write(b []byte) (int, error) {
	if !s.writeBy.IsZero() && !s.now().Before(s.writeBy) {
		return 0, ErrTooLate
	}
	s.writeBy = time.Time{}
	s.waiting.Store(true)
	n, err := s.Conn.Write(b)
	s.bytes.Add(int64(n))
	return n, err
}

// Close closes the connection. If it waits for an answer it is reset, so that an order
// isn't carried out after its caller gave it up.
func (s *stallConn) Close() error {
	if s.waiting.Load() {
		ResetOnClose(s.Conn)
	}
	return s.Conn.Close()
}

// Do sends r once and fills a. The caller owns both and closes a's body
// stream. ctx carries the trace; its deadline bounds the whole answer. A
// request whose time is over before it is written fails with [ErrTooLate].
func (c *Client) Do(ctx context.Context, r *fasthttp.Request, a *fasthttp.Response) error {
	otel.GetTextMapPropagator().Inject(ctx, HeaderCarrier{&r.Header})
	d, ok := ctx.Deadline()
	if !ok {
		return c.http.Do(r, a)
	}
	if !c.now().Before(d) {
		return ErrTooLate
	}
	return c.http.DoDeadline(r, a, d)
}

// JSON sends in as JSON (nothing, if nil) to path at addr and reads the
// answer into out (if not nil). A status other than 200 is a [*StatusError].
// A ctx without a deadline gets the default one.
func (c *Client) JSON(ctx context.Context, method, addr, path string, in, out any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	r, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	defer fasthttp.ReleaseResponse(a)
	r.Header.SetMethod(method)
	r.SetRequestURI("http://" + addr + path)
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		r.Header.SetContentType("application/json")
		r.SetBodyRaw(b)
	}
	if err := c.Do(ctx, r, a); err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	b, err := ReadBody(a)
	if err != nil {
		return err
	}
	if a.StatusCode() != fasthttp.StatusOK {
		return &StatusError{Status: a.StatusCode(), Body: string(b)}
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(b, out), "decode answer to %s %s", method, path)
}

// Get implements the propagation carrier.
func (h HeaderCarrier) Get(k string) string { return string(h.Header.Peek(k)) }

// Set implements the propagation carrier.
func (h HeaderCarrier) Set(k, v string) { h.Header.Set(k, v) }

// Keys implements the propagation carrier; the propagators in use never ask.
func (h HeaderCarrier) Keys() []string { return nil }

var _ propagation.TextMapCarrier = HeaderCarrier{}
