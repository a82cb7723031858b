// Package upstream sends requests to backend servers over connections that it
// keeps.
//
// It writes HTTP/1.1 itself and reads answers with the standard library's
// parser. A ready-made client does not fit here: each decides by itself when
// to send a request once more, and hides when an answer's connection holds
// bytes that belong to no request. What is sent here is sent once; the error
// tells whether any byte can have left.
//
// # Usage
//
//	p := upstream.New()
//	a, err := p.Send(ctx, addr, upstream.Request{...})
//	if upstream.NotSent(err) { ... nothing has left this host }
//	defer a.Close()
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout leaves time for another server within a request for a
	// human at a counter, and is 100 times the longest way between halls.
	dialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package
	// syscall lacks.
	tcpUserTimeout = 0x12
	// maxRest is how long a kept connection may rest before it is no longer
	// used, where the server does not tell.
	maxRest = 8 * time.Second
	// restMargin is kept from what the server tells, which it does in whole
	// seconds.
	restMargin = 500 * time.Millisecond
	// maxIdle bounds kept connections to one server where nothing else is
	// said.
	maxIdle = 32
	// maxStale is how many answers of other requests are skipped before a
	// connection is given up.
	maxStale = 2
	bufSize  = 4 << 10
)

var (
	// ErrNotSent marks a request of which no byte has left this host.
	ErrNotSent = errors.New("nothing was sent to the backend server")
	// ErrIDMismatch is an answer to another request.
	ErrIDMismatch = errors.New("the answer belongs to another request")

	errDropped = errors.New("it was closed at once")
)

type (
	// Request is what is sent.
	Request struct {
		Method string
		// Target is the path and query exactly as the caller sent them.
		Target string
		Host   string
		Header http.Header
		Body   []byte
		// IDHeader and ID, if set, have to be in the answer.
		IDHeader, ID string
		// NewConnection asks for one that was not kept.
		NewConnection bool
		// BeforeSend is asked last before the first byte leaves; nil allows.
		BeforeSend func() error
	}

	// Answer is a backend server's. Its body is read as it comes.
	Answer struct {
		Status int
		Header http.Header
		// Length is the body's, or -1 if it is not stated.
		Length int64
		Body   io.Reader

		pool  *Pool
		addr  string
		conn  *conn
		resp  *http.Response
		stop  func() bool
		whole bool
	}

	// Pool keeps connections, by address. It is safe for use by many
	// goroutines.
	Pool struct {
		dial func(ctx context.Context, addr string) (net.Conn, error)
		now  func() time.Time
		most func(addr string) int // kept connections to one server

		mu     sync.Mutex
		idle   map[string][]*conn
		opened int64
	}

	// Option changes a pool under construction.
	Option func(*Pool)
)

// WithDial sets how connections are opened.
func WithDial(f func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = f }
}

// WithMaxIdle sets what tells how many connections to one server are kept.
func WithMaxIdle(f func(addr string) int) Option { return func(p *Pool) { p.most = f } }

// New returns a pool without connections.
func New(os ...Option) *Pool {
	d := net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     2 * time.Second,
			Interval: time.Second,
			Count:    2,
		},
	}
	p := &Pool{
		now:  time.Now,
		most: func(string) int { return maxIdle },
		idle: map[string][]*conn{},
		dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
	}
	for _, o := range os {
		o(p)
	}
	return p
}

// NotSent reports whether err says that nothing of the request has left.
func NotSent(err error) bool { return errors.Is(err, ErrNotSent) }

// Opened returns how many connections were opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Send writes a request and waits for the head of its answer. When ctx ends
// the connection is closed, which also ends the reading of the body. Before the head
// it is reset, so that a request which the network has held up until then never
// reaches the server.
func (p *Pool) Send(ctx context.Context, addr string, r Request) (*Answer, error) {
	c, err := p.connection(ctx, addr, r.NewConnection)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", addr), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, c.end)
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.discard(c, stop)
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	c.waiting.Store(true)
	if n, err := c.Write(encode(r)); err != nil {
		p.discard(c, stop)
		err = errors.Wrap(err, "write request")
		if n == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	a, err := p.head(c, r)
	if err != nil {
		p.discard(c, stop)
		return nil, err
	}
	c.waiting.Store(false)
	a.pool, a.addr, a.conn, a.stop = p, addr, c, stop
	return a, nil
}

// head reads the head of the answer, past those of other requests.
func (p *Pool) head(c *conn, r Request) (*Answer, error) {
	for range maxStale + 1 {
		req := &http.Request{Method: r.Method}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id := resp.Header.Get(r.IDHeader); r.ID != "" && id != "" && id != r.ID {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				return nil, ErrIDMismatch
			}
			continue
		}
		return &Answer{
			Status: resp.StatusCode,
			Header: resp.Header,
			Length: resp.ContentLength,
			Body:   resp.Body,
			resp:   resp,
		}, nil
	}
	return nil, ErrIDMismatch
}

// Finish notes that the body was read to its end, so that the connection may
// be kept.
func (a *Answer) Finish() { a.whole = true }

// Close ends the exchange. Without [Answer.Finish] the connection is closed,
// which tells the backend server that nobody waits any more.
func (a *Answer) Close() {
	if !a.stop() || !a.whole || a.resp.Close || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.keep(a.addr, a.conn, rest(a.Header.Get("Keep-Alive")))
}

// connection returns a kept connection that is quiet, or a new one.
func (p *Pool) connection(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(addr)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	n, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: n, reader: bufio.NewReaderSize(n, bufSize)}, nil
}

// take removes the connection that rested least.
func (p *Pool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	p.idle[addr] = cs[:len(cs)-1]
	now := p.now()
	if now.After(c.until) {
		p.drop(addr)
		_ = c.Close()
		return nil
	}
	return c
}

// keep puts a connection back for the next request.
func (p *Pool) keep(addr string, c *conn, rest time.Duration) {
	now := p.now()
	c.until = now.Add(rest)
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	for len(cs) > 0 && len(cs) >= p.most(addr) {
		_ = cs[0].Close()
		cs = cs[1:]
	}
	p.idle[addr] = append(cs, c)
}

func (p *Pool) discard(c *conn, stop func() bool) {
	stop()
	c.end()
}

// Probe reports whether a server takes connections and leaves them open. The one
// that it opens is kept for requests. An error that [PortClosed] reports says that the
// server isn't there; others say nothing of it.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	c, err := p.connection(ctx, addr, true)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", addr)
	}
	if err := c.staysOpen(); err != nil {
		_ = c.Close()
		return errors.Wrapf(err, "connection to %s", addr)
	}
	p.keep(addr, c, maxRest)
	return nil
}

// PortClosed reports whether err says that a host is there and no server: its port is
// closed, or a proxy before the server took the connection and closed it.
func PortClosed(err error) bool { return errors.IsAny(err, syscall.ECONNREFUSED, errDropped) }

// CloseIdle closes the kept connections to a server. Connections may fall silent all
// at once and without a reset, while new ones work; each that is tried costs a
// request its time.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(addr)
}

// drop closes the kept connections to a server. The pool is locked.
func (p *Pool) drop(addr string) {
	for _, c := range p.idle[addr] {
		_ = c.Close()
	}
	delete(p.idle, addr)
}

// Sweep closes connections that have rested too long, and all of addresses
// that serve nothing any more.
func (p *Pool) Sweep(serves func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for addr, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.After(c.until) || !serves(addr) {
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

// rest is how long a connection may be kept, by the server's Keep-Alive.
func rest(h string) time.Duration {
	for part := range strings.SplitSeq(h, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(k, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return max(time.Duration(n)*time.Second-restMargin, 0)
		}
	}
	return maxRest
}

// encode writes a request's head and body into one buffer, so that they leave
// together.
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
