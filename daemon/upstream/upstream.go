// Package upstream is an HTTP/1.1 client for backend servers with a pool of
// persistent connections.
//
// It writes requests itself and parses answers with net/http. Existing clients
// don't fit: they decide by themselves when to retry a request, and they hide
// that a connection holds bytes which belong to no request. This package sends
// each request at most once, and its errors tell whether any byte of the request
// can have left the host.
//
// # Usage
//
//	p := upstream.New()
//	a, err := p.Send(ctx, addr, upstream.Request{...})
//	if upstream.NotSent(err) { ... nothing has left this host }
//	defer a.Close()
package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/deadline"
)

const (
	// DialTimeout is short enough that a request for which a person waits at
	// a counter can still be sent to another server, and 100 times the highest
	// latency between halls.
	DialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel breaks the connection. It exceeds the two seconds or so for which a
	// sound server may be silent. It also decides when keep-alive probes give up,
	// whatever their count: at the first probe that is due after it, counted from
	// the last byte received.
	userTimeout = 2500 * time.Millisecond
	// keepAliveInterval is the time from the last byte received to the first probe,
	// and between probes. A silence that begins right before a probe may last until
	// userTimeout, rounded up to whole intervals, less one interval.
	keepAliveInterval = time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of linux/tcp.h,
	// which package syscall lacks.
	tcpUserTimeout = 0x12
	// defaultIdleTimeout is how long an idle connection may be reused if the
	// server reports no timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the server reports,
	// which is in whole seconds.
	idleTimeoutMargin = 500 * time.Millisecond
	// defaultMaxIdle bounds the idle connections to one server unless
	// WithMaxIdle is used.
	defaultMaxIdle = 32
	// maxSkippedAnswers is how many interim answers, and answers to other
	// requests, are skipped before the connection is given up.
	maxSkippedAnswers = 2
	readBufferBytes   = 4 << 10
	// maxStatus is the highest status that HTTP defines a class for.
	maxStatus = 599
	// maxHeadBytes bounds the head of an answer, and maxSkippedBodyBytes the body of an
	// answer to another request.
	maxHeadBytes        = 32 << 10
	maxSkippedBodyBytes = 256 << 10
	// slowHeadTimeout bounds the time from the first bytes of a head, or of a body that is
	// skipped, to the last. Servers send a head at once.
	slowHeadTimeout = 2 * time.Second
)

// Framings of answers.
const (
	// FramedByLength and FramedByChunks tell a body that was broken off from a whole one:
	// reading it fails.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose has the body end with its connection. Unless the connection is reset,
	// reading a body that was broken off doesn't fail.
	FramedByClose Framing = "close"
)

var (
	// ErrNotSent marks errors after which no byte of the request has left this host.
	ErrNotSent = errors.New("nothing was sent to the backend server")
	// ErrNoOpenConnection marks errors of requests with OpenOnly.
	ErrNoOpenConnection = errors.New("no connection to the backend server is open")
	// ErrInvalidAnswer marks errors after which the server has sent something, but no valid
	// answer to the request. The request may have run.
	ErrInvalidAnswer = errors.New("the server has sent no valid answer")
	// ErrIDMismatch reports an answer with the ID of another request. It is also marked with
	// ErrInvalidAnswer.
	ErrIDMismatch = errors.New("the answer belongs to another request")

	errStatus       = errors.New("no status of an answer")
	errClosedAtOnce = errors.New("closed right after it was opened")
)

type (
	// Request is a request to a backend server.
	Request struct {
		Method string
		// Target is the path and query exactly as the caller sent them.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// IDHeader names the header with the request's ID, if ID is set. Answers
		// with another ID are skipped.
		IDHeader, ID string
		// Attempt is the caller's attempt that the request is sent for. Each of its sends uses
		// another connection. It may be nil.
		Attempt *Attempt
		// Check returns an error if an answer, by its status and header, is not a valid one
		// to the request. The connection is then closed, and the error of Send is marked
		// with ErrInvalidAnswer. It may be nil: all answers are valid.
		Check func(status int, h http.Header) error
		// NewConnection requires that a new connection is opened.
		NewConnection bool
		// OpenOnly requires that an idle connection is used. If there is none, nothing is
		// sent, and the error is marked with ErrNoOpenConnection.
		OpenOnly bool
		// BeforeSend is called immediately before the first byte is written. If
		// it returns an error, nothing is sent. It may be nil.
		BeforeSend func() error
	}

	// Framing is how the end of an answer's body is marked.
	Framing string

	// Answer is the answer of a backend server. Its body is streamed. It must be
	// closed.
	Answer struct {
		Status int
		Header http.Header
		// Length is the length of the body in bytes, or -1 if it is unknown.
		Length  int64
		Framing Framing
		Body    io.Reader
		// NewConnection reports that a connection was opened for the request.
		NewConnection bool

		pool     *Pool
		addr     string
		conn     *conn
		resp     *http.Response
		stop     func() bool
		complete bool // the body was read to its end
	}

	// Pool is a pool of connections to backend servers, by address. It is safe
	// for concurrent use.
	Pool struct {
		dial    func(ctx context.Context, addr string) (net.Conn, error)
		now     func() time.Time
		maxIdle func(addr string) int // per server

		mu     sync.Mutex
		idle   map[string][]*conn
		opened int64
	}

	// Option configures a Pool.
	Option func(*Pool)
)

// WithDial sets the function that opens connections.
func WithDial(f func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = f }
}

// WithMaxIdle sets the function that returns the maximum number of idle connections
// to a server.
func WithMaxIdle(f func(addr string) int) Option { return func(p *Pool) { p.maxIdle = f } }

// WithDialTimeout sets how long opening a connection may take, instead of [DialTimeout].
func WithDialTimeout(d time.Duration) Option {
	return func(p *Pool) { p.dial = dialer(d, nil) }
}

// WithSource sets the IP address from which connections are opened.
func WithSource(ip net.IP) Option {
	return func(p *Pool) { p.dial = dialer(DialTimeout, &net.TCPAddr{IP: ip}) }
}

// dialer returns a function that opens TCP connections, from any address if source is nil.
func dialer(timeout time.Duration, source *net.TCPAddr) func(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    3,
		},
	}
	if source != nil {
		d.LocalAddr = source
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
}

// New returns an empty pool.
func New(os ...Option) *Pool {
	p := &Pool{
		now:     time.Now,
		maxIdle: func(string) int { return defaultMaxIdle },
		idle:    map[string][]*conn{},
		dial:    dialer(DialTimeout, nil),
	}
	for _, o := range os {
		o(p)
	}
	return p
}

// NotSent reports whether err is marked with ErrNotSent: no byte of the request has
// left this host.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// Opened returns the total number of connections that were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Send writes a request and waits for the head of its answer. When ctx ends, the
// connection is closed, and reading the body fails. If the head hasn't arrived by
// then, the connection is reset instead, so that a request that is still delayed in
// the network never reaches the server. If ctx has ended before the request is written,
// nothing is sent. Send doesn't retry; the error satisfies [NotSent] if nothing was sent.
func (p *Pool) Send(ctx context.Context, addr string, r Request) (*Answer, error) {
	c, err := p.connection(ctx, addr, r)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", addr), ErrNotSent)
	}
	r.Attempt.add(c)
	stop := context.AfterFunc(ctx, c.abort)
	if err := deadline.Err(ctx); err != nil { // abort may come too late
		p.discard(c, stop)
		return nil, errors.Mark(err, ErrNotSent)
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.discard(c, stop)
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	c.awaitingHead.Store(true)
	if n, err := c.Write(encode(r)); err != nil {
		p.discard(c, stop)
		err = errors.Wrap(err, "write request")
		if n == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	a, err := p.readHead(c, r)
	if err != nil {
		p.discard(c, stop)
		return nil, err
	}
	c.awaitingHead.Store(false)
	a.NewConnection, c.used = !c.used, true
	a.pool, a.addr, a.conn, a.stop = p, addr, c, stop
	return a, nil
}

// connection returns an idle connection that is reusable and on which the attempt of the
// request was not sent, or a new one. It doesn't open one if the request is OpenOnly, and
// always does if it needs a NewConnection.
func (p *Pool) connection(ctx context.Context, addr string, r Request) (*conn, error) {
	for !r.NewConnection {
		c := p.takeIdle(addr, r.Attempt)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	if r.OpenOnly {
		return nil, ErrNoOpenConnection
	}
	n, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(n), nil
}

// takeIdle removes and returns the most recently used idle connection on which an attempt
// was not sent, or nil if there is none. If that connection has expired, so have those used
// before it, and all are closed.
func (p *Pool) takeIdle(addr string, a *Attempt) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	i := len(cs) - 1
	for i >= 0 && a.usedConn(cs[i]) {
		i--
	}
	if i < 0 {
		return nil
	}
	c := cs[i]
	p.idle[addr] = slices.Delete(cs, i, i+1)
	now := p.now()
	if now.After(c.idleUntil) {
		p.closeIdleLocked(addr)
		_ = c.Close()
		return nil
	}
	return c
}

// putIdle adds an idle connection, and closes the oldest ones above the limit.
func (p *Pool) putIdle(addr string, c *conn, timeout time.Duration) {
	now := p.now()
	c.idleUntil = now.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	for len(cs) > 0 && len(cs) >= p.maxIdle(addr) {
		_ = cs[0].Close()
		cs = cs[1:]
	}
	p.idle[addr] = append(cs, c)
}

// discard closes a connection on which a request failed.
func (p *Pool) discard(c *conn, stop func() bool) {
	stop()
	c.abort()
}

// Probe opens a connection to a server, and returns an error if that fails or if the
// connection is closed again at once. The connection is added to the pool. If
// [PortClosed] is true of the error, the server isn't running; other errors are
// inconclusive.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	c, err := p.connection(ctx, addr, Request{NewConnection: true})
	if err != nil {
		return errors.Wrapf(err, "connect to %s", addr)
	}
	if err := c.checkStaysOpen(); err != nil {
		_ = c.Close()
		return errors.Wrapf(err, "connection to %s", addr)
	}
	p.putIdle(addr, c, defaultIdleTimeout)
	return nil
}

// PortClosed reports whether err shows that the host is reachable but the server isn't
// running: the host refused the connection, or a proxy in front of the server accepted
// and closed it.
func PortClosed(err error) bool { return errors.IsAny(err, syscall.ECONNREFUSED, errClosedAtOnce) }

// LocalError reports whether err shows that this host can't open connections at all, since it
// is short of descriptors, ports or memory. It says nothing about the server.
func LocalError(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL)
}

// CloseIdle closes the idle connections to a server. It is used after one of them has
// failed: connections may stop working all at once and without a reset while new ones
// work, and each one that is tried delays a request.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(addr)
}

// closeIdleLocked closes the idle connections to a server. The pool must be locked.
func (p *Pool) closeIdleLocked(addr string) {
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// Sweep closes idle connections that have expired, and all idle connections to
// addresses for which listed is false.
func (p *Pool) Sweep(listed func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for addr, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.After(c.idleUntil) || !listed(addr) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// encode returns a request's head and body in one buffer, so that a single write
// sends both.
func encode(r Request) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			b.WriteString(k)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return []byte(b.String())
}
