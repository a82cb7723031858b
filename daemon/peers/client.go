package peers

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"slipcrank.example/peer/wire"
)

const (
	connectTimeout = time.Second
	maxBackoff     = 5 * time.Second
	idleAfter      = time.Minute
	// window is fixed, so that the library does not probe the bandwidth with
	// pings, which would double the bytes of small calls.
	window     = 1 << 20
	maxMessage = 64 << 20
)

var errCut = errors.New("the daemon can't be reached")

type (
	// Client calls other daemons. Connections are opened on first use and
	// closed when idle.
	Client struct {
		creds credentials.TransportCredentials
		reach func(addr string) bool
		bytes atomic.Int64

		mu    sync.Mutex
		conns map[string]*grpc.ClientConn
	}

	// countConn counts the bytes of a connection.
	countConn struct {
		net.Conn
		addr  string
		reach func(addr string) bool
		bytes *atomic.Int64
	}

	// ClientOption changes a client under construction.
	ClientOption func(*Client)
)

// WithClientTLS sets the TLS configuration of connections to other daemons.
func WithClientTLS(c *tls.Config) ClientOption {
	return func(k *Client) {
		if c != nil {
			k.creds = credentials.NewTLS(c)
		}
	}
}

// WithReach sets a seam that says whether a daemon can be reached, so that
// tests can cut daemons off from each other.
func WithReach(f func(addr string) bool) ClientOption { return func(k *Client) { k.reach = f } }

// NewClient returns a client.
func NewClient(os ...ClientOption) *Client {
	c := &Client{
		creds: insecure.NewCredentials(),
		reach: func(string) bool { return true },
		conns: map[string]*grpc.ClientConn{},
	}
	for _, o := range os {
		o(c)
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, a)
	}
}

// Disconnect closes the connection to a daemon that has gone.
func (c *Client) Disconnect(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		_ = conn.Close()
		delete(c.conns, addr)
	}
}

func (c *Client) peer(addr string) (wire.PeerClient, error) {
	conn, err := c.conn(addr)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(conn), nil
}

// conn returns the connection to a daemon, which is opened at its first call.
func (c *Client) conn(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		return conn, nil
	}
	// The passthrough scheme takes the address as it is: no name service, no
	// discovery and no balancing of the library is used.
	os := []grpc.DialOption{
		grpc.WithTransportCredentials(c.creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleAfter),
		grpc.WithInitialWindowSize(window),
		grpc.WithInitialConnWindowSize(window),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithUnaryInterceptor(traceClient),
		grpc.WithContextDialer(c.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, os...)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to daemon %s", addr)
	}
	c.conns[addr] = conn
	return conn, nil
}

func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	if !c.reach(addr) {
		return nil, errCut
	}
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return countConn{Conn: n, addr: addr, reach: c.reach, bytes: &c.bytes}, nil
}

// Bytes returns how many bytes were sent and received on the connections that
// this daemon opened.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Read counts what is received.
func (c countConn) Read(b []byte) (int, error) {
	if !c.reach(c.addr) {
		return 0, errCut
	}
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what is sent.
func (c countConn) Write(b []byte) (int, error) {
	if !c.reach(c.addr) {
		return 0, errCut
	}
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
