// Package web is the HTTP client that daemons use for everything outside
// slipcrank: the platform, engines, plain services and the old site.
//
// It wraps a fasthttp client and changes the following:
//
//   - It never retries. By default fasthttp sends a request again if a kept-alive
//     connection closes before the first byte of the response, which would run a
//     call that is not repeatable twice.
//   - A read that receives no data for the stall timeout fails, so that a dead
//     peer can't block a stream forever.
//   - With [WithLivenessCheck], a read fails sooner if the peer is dead, and waits
//     for the whole stall timeout only if the peer is alive, such as an engine that
//     sends nothing while it processes a long prompt.
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
	// keepAlivePeriod and keepAliveProbes have the kernel break a dead connection to a
	// peer that is alive after the default stall timeout.
	keepAlivePeriod = 5 * time.Second
	keepAliveProbes = 3
)

type (
	// Client sends requests; it is safe for use by many goroutines.
	Client struct {
		http  *fasthttp.Client
		stall time.Duration
		// maxBody bounds the bodies of the responses to JSON requests, in bytes.
		maxBody int64
		now     func() time.Time
		// checkAfter is how long a read waits for data before it calls alive.
		checkAfter time.Duration
		alive      func(addr string) bool // nil for no liveness checks
		bytes      atomic.Int64
	}

	// Option configures a [Client].
	Option func(*Client)

	// stallConn fails a read that receives no data within the stall timeout, or from a
	// peer that fails a liveness check, or before the deadline that fasthttp set,
	// whichever is earliest. It starts to
	// write a request only before the deadline of the request, by its own clock.
	stallConn struct {
		net.Conn
		addr          string
		stall         time.Duration
		now           func() time.Time
		checkAfter    time.Duration
		alive         func(addr string) bool
		readDeadline  atomic.Pointer[time.Time]
		writeDeadline time.Time // of the next request; zero for none
		// waiting is true from the write of a request until the first byte of its
		// response.
		waiting atomic.Bool
		status  statusCheck // of the response
		bytes   *atomic.Int64
	}

	// HeaderCarrier propagates trace contexts in the headers of a request.
	HeaderCarrier struct{ Header *fasthttp.RequestHeader }
)

// WithStallTimeout sets how long a read may receive no data before it fails. It has no effect
// with liveness checks.
func WithStallTimeout(d time.Duration) Option { return func(c *Client) { c.stall = d } }

// WithMaxBody bounds the bodies of the responses to JSON requests, in bytes, instead of
// [MaxBodyBytes].
func WithMaxBody(bytes int64) Option { return func(c *Client) { c.maxBody = bytes } }

// WithNow sets the clock against which the deadline of a request is checked before
// it is sent.
func WithNow(f func() time.Time) Option { return func(c *Client) { c.now = f } }

// WithLivenessCheck sets a function that reports whether a peer is alive. It is
// called each time that a read has received no data for the duration after, and
// the read fails with [ErrUnresponsive] if it returns false.
func WithLivenessCheck(after time.Duration, f func(addr string) bool) Option {
	return func(c *Client) { c.checkAfter, c.alive = after, f }
}

// New returns a client.
func New(os ...Option) *Client {
	c := &Client{stall: defaultStall, maxBody: MaxBodyBytes, now: time.Now}
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
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
	}}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: conn, addr: addr, stall: c.stall, now: c.now, checkAfter: c.checkAfter, alive: c.alive, bytes: &c.bytes}, nil
}

// CloseIdle closes the idle connections of the pool. All connections to a peer may
// stop working at once and without a reset, while new ones work; each request on
// such a connection would run into its timeout.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Bytes returns the number of bytes sent and received.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// SetReadDeadline stores the deadline that fasthttp sets, for the reads that
// follow.
func (s *stallConn) SetReadDeadline(t time.Time) error {
	s.readDeadline.Store(&t)
	return nil
}

// Read waits for data until the read deadline. It fails earlier if a liveness check fails
// or, without checks, after the stall timeout.
func (s *stallConn) Read(b []byte) (int, error) {
	var deadline time.Time // zero for none
	if s.alive == nil {
		deadline = time.Now().Add(s.stall)
	}
	if d := s.readDeadline.Load(); d != nil && !d.IsZero() && (deadline.IsZero() || d.Before(deadline)) {
		deadline = *d
	}
	for {
		next := deadline
		if check := time.Now().Add(s.checkAfter); s.alive != nil && (deadline.IsZero() || check.Before(deadline)) {
			next = check
		}
		if err := s.Conn.SetReadDeadline(next); err != nil {
			return 0, err
		}
		n, err := s.Conn.Read(b)
		s.bytes.Add(int64(n))
		if n > 0 {
			s.waiting.Store(false)
			if !s.status.allows(b[:n]) {
				return 0, ErrNoStatus
			}
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !deadline.IsZero() && !time.Now().Before(deadline) {
			return n, err
		}
		if !s.alive(s.addr) {
			return 0, ErrUnresponsive
		}
	}
}

// SetWriteDeadline sets the deadline for sending the next request. fasthttp calls
// it once for each request, after it has a connection.
func (s *stallConn) SetWriteDeadline(t time.Time) error {
	s.writeDeadline = t
	return s.Conn.SetWriteDeadline(t)
}

// Write sends the next bytes of a request. Before the first of them it compares
// the deadline with the clock: in a process that was paused, the timer behind the
// deadline of the connection may not have fired yet.
func (s *stallConn) Write(b []byte) (int, error) {
	if !s.writeDeadline.IsZero() && !s.now().Before(s.writeDeadline) {
		return 0, ErrTooLate
	}
	s.writeDeadline = time.Time{}
	s.waiting.Store(true)
	s.status = statusCheck{}
	n, err := s.Conn.Write(b)
	s.bytes.Add(int64(n))
	return n, err
}

// Close closes the connection. It resets a connection that waits for a response, so
// that a request is not executed after its sender gave up.
func (s *stallConn) Close() error {
	if s.waiting.Load() {
		ResetOnClose(s.Conn)
	}
	return s.Conn.Close()
}

// Do sends r once and reads the response into a. The caller owns both and closes
// the body stream of a. ctx carries the trace, and its deadline covers the request
// and the whole response. If the deadline passes before the request is written, Do
// fails with [ErrTooLate].
func (c *Client) Do(ctx context.Context, r *fasthttp.Request, a *fasthttp.Response) error {
	otel.GetTextMapPropagator().Inject(ctx, HeaderCarrier{&r.Header})
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.http.Do(r, a)
	}
	if !c.now().Before(deadline) {
		return ErrTooLate
	}
	return c.http.DoDeadline(r, a, deadline)
}

// JSON sends in as JSON to path at addr, or an empty body if in is nil, and decodes
// the response into out unless that is nil. A status other than 200 is returned as
// a [*StatusError]. A ctx without a deadline gets a timeout of 5 s.
func (c *Client) JSON(ctx context.Context, method, addr, path string, in, out any) error {
	_, err := c.JSONHeader(ctx, method, addr, path, in, out, "")
	return err
}

// JSONHeader does what [Client.JSON] does, and also returns the value of a header of the
// response, empty if it has none.
func (c *Client) JSONHeader(ctx context.Context, method, addr, path string, in, out any, header string) (string, error) {
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
			return "", errors.Wrap(err, "encode request")
		}
		r.Header.SetContentType("application/json")
		r.SetBodyRaw(b)
	}
	if err := c.Do(ctx, r, a); err != nil {
		return "", errors.Wrapf(err, "%s %s", method, path)
	}
	value := string(a.Header.Peek(header))
	b, err := readBody(a, c.maxBody)
	if err != nil {
		return value, err
	}
	if a.StatusCode() != fasthttp.StatusOK {
		return value, &StatusError{Status: a.StatusCode(), Body: string(b)}
	}
	if out == nil {
		return value, nil
	}
	return value, errors.Wrapf(json.Unmarshal(b, out), "decode response to %s %s", method, path)
}

// Get implements [propagation.TextMapCarrier].
func (h HeaderCarrier) Get(k string) string { return string(h.Header.Peek(k)) }

// Set implements [propagation.TextMapCarrier].
func (h HeaderCarrier) Set(k, v string) { h.Header.Set(k, v) }

// Keys implements [propagation.TextMapCarrier]. It returns nil, since the
// propagators in use never call it.
func (h HeaderCarrier) Keys() []string { return nil }

var _ propagation.TextMapCarrier = HeaderCarrier{}
