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
	idleTimeout    = time.Minute
	// windowSize is the flow-control window, in bytes. It is set explicitly
	// because gRPC otherwise estimates the bandwidth with pings, which double
	// the bytes of small calls.
	windowSize     = 1 << 20
	maxMessageSize = 64 << 20 // bytes
)

var errUnreachable = errors.New("the daemon can't be reached")

type (
	// Client calls other daemons. Connections are opened on first use and
	// closed when idle. It is safe for concurrent use.
	Client struct {
		creds credentials.TransportCredentials
		reach func(addr string) bool
		bytes atomic.Int64

		mu    sync.Mutex
		conns map[string]*grpc.ClientConn
	}

	// countingConn counts the bytes that are sent and received on a connection,
	// and fails while the daemon at addr is not reachable.
	countingConn struct {
		net.Conn
		addr  string
		reach func(addr string) bool
		bytes *atomic.Int64
	}

	// ClientOption configures a Client during construction.
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

// WithReach sets the function that reports whether a daemon can be reached, by
// which tests simulate network partitions. By default all can be reached.
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

// Disconnect closes the connection to a daemon, if there is one. The next call
// to the daemon opens a new connection.
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

// conn returns the connection to a daemon, and creates it on first use.
func (c *Client) conn(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		return conn, nil
	}
	// The passthrough scheme uses the address as it is, without name
	// resolution, service discovery or load balancing by gRPC.
	os := []grpc.DialOption{
		grpc.WithTransportCredentials(c.creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithUnaryInterceptor(traceClient),
		grpc.WithContextDialer(c.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
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
		return nil, errUnreachable
	}
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: n, addr: addr, reach: c.reach, bytes: &c.bytes}, nil
}

// Bytes returns the number of bytes sent and received on the connections that
// this client opened.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Read implements net.Conn and counts the bytes received.
func (c countingConn) Read(b []byte) (int, error) {
	if !c.reach(c.addr) {
		return 0, errUnreachable
	}
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes sent.
func (c countingConn) Write(b []byte) (int, error) {
	if !c.reach(c.addr) {
		return 0, errUnreachable
	}
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
