// Package relay streams the platform's tables from the hosts that read them to the
// other hosts of their data hall, so that not every host has to poll the platform,
// and a host that the platform refuses still receives the current state.
//
// A stream starts with all rows of the tables whose digests differ between server
// and client, and continues with each change and each proof that nothing has
// changed. Each update carries the reading of the platform's monotonic clock at
// which it was true. The client can therefore determine its age as if it had asked
// the platform itself, however many hosts have forwarded it.
//
// A large value, such as the configuration, is sent as its difference to the one that
// the same stream had before, so that a change costs the bytes of the change.
//
// The transport is gRPC with messages in CBOR, which needs no generated code.
//
// # Usage
//
//	s := relay.NewServer(watcher, relay.WithKeepalive(500*time.Millisecond))
//	go s.Serve(listener)
//	c := relay.NewClient(watcher, log, relay.WithLateAfter(time.Second))
//	c.SetServers([]string{"10.0.0.2:7340"})   // replaces the previous servers
package relay

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/codec"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/watch"
)

const (
	serviceName = "slipcrank.Relay"
	methodName  = "Hear"
	// silenceTimeout is how long a server may send nothing before the client
	// gives up the stream.
	silenceTimeout = 2500 * time.Millisecond
	// defaultKeepalive is the interval at which a server without updates, as during an
	// outage of the platform, sends one without a table, and defaultLateAfter how long a
	// server may send nothing until the client no longer relies on it.
	defaultKeepalive = 500 * time.Millisecond
	defaultLateAfter = 2 * defaultKeepalive
	// maxKeepalive is the maximum interval between signs of life. Clients give up the stream
	// after silenceTimeout.
	maxKeepalive = time.Second
	// firstMessageTimeout bounds the time until the first message, which may
	// hold 3,000 servers in half a megabyte and share a link of 20 Mbit/s with
	// those of 30 other clients.
	firstMessageTimeout = 10 * time.Second
	// connectTimeout bounds an attempt to open a connection. During a network
	// partition the kernel retransmits the SYN at doubling intervals. An attempt
	// that began in the partition may therefore succeed only after the time that
	// the partition lasted has passed once more since its end, whereas a new
	// attempt succeeds at once.
	connectTimeout = time.Second
	// retryPause is the pause between two attempts to reach a server.
	retryPause = 500 * time.Millisecond
	// unreachableTTL is how long a server counts as unreachable after the last
	// failed attempt.
	unreachableTTL = 10 * time.Second
	// minClockPause is the pause after the first message until the client measures the
	// platform's clock again. It doubles up to maxClockPause, after which the drift of
	// the clocks is 6 ms.
	minClockPause = 500 * time.Millisecond
	maxClockPause = time.Minute
	// maxMessageBytes bounds a message. The largest one holds all rows of a
	// table, as does one answer of the platform.
	maxMessageBytes = 8 << 20
)

type (
	// Server streams the updates of a watcher to clients.
	Server struct {
		grpc      *grpc.Server
		watcher   *watch.Watcher
		packings  *packings
		keepalive time.Duration
	}

	// ServerOption configures a Server during construction.
	ServerOption func(*Server)

	// Client receives updates from servers and passes them to a watcher. It is
	// safe for concurrent use.
	Client struct {
		watcher   *watch.Watcher
		log       *decision.Log
		lateAfter time.Duration

		mu          sync.Mutex
		streams     map[string]context.CancelFunc // by address
		received    map[string]time.Time          // time of the last message of an open stream, by address
		unreachable map[string]time.Time          // time of the last failure, by address
		heardAt     time.Time                     // time of the last message of any server
	}

	// ClientOption configures a Client during construction.
	ClientOption func(*Client)

	// streamRequest starts a stream of updates.
	streamRequest struct {
		// Digests are the digests of the rows that the client has, by table.
		Digests map[string]uint64 `cbor:"1,keyasint,omitempty"`
		// ClockOnly asks for a single update without rows, which has a reading of the
		// platform's clock.
		ClockOnly bool `cbor:"2,keyasint,omitempty"`
		// Unpacks reports that the client understands packed values.
		Unpacks bool `cbor:"3,keyasint,omitempty"`
	}
)

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*any)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName:    methodName,
		ServerStreams: true,
		Handler:       func(s any, stream grpc.ServerStream) error { return s.(*Server).streamUpdates(stream) },
	}},
}

// errRetryLater marks the error of a stream that ended although the server is alive: the
// client was too slow, or has lost track of the values that it was sent.
var errRetryLater = errors.New("the stream has to be opened again")

// WithKeepalive sets the interval at which a server without updates shows that it is alive, at
// most a second.
func WithKeepalive(interval time.Duration) ServerOption {
	return func(s *Server) { s.keepalive = min(interval, maxKeepalive) }
}

// WithLateAfter sets how long a server may send nothing until it counts as unreachable, at most
// until its stream is given up. It has to be a multiple of the keepalive interval.
func WithLateAfter(silence time.Duration) ClientOption {
	return func(c *Client) { c.lateAfter = min(silence, silenceTimeout) }
}

// NewServer returns a server that streams the updates of w.
func NewServer(w *watch.Watcher, os ...ServerOption) *Server {
	s := &Server{grpc: grpc.NewServer(grpc.MaxSendMsgSize(maxMessageBytes)), watcher: w, packings: newPackings(), keepalive: defaultKeepalive}
	for _, o := range os {
		o(s)
	}
	s.grpc.RegisterService(&serviceDesc, s)
	return s
}

// Serve accepts connections on l until Stop is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop ends all streams.
func (s *Server) Stop() { s.grpc.Stop() }

// streamUpdates handles one stream until either side ends it.
func (s *Server) streamUpdates(stream grpc.ServerStream) error {
	var r streamRequest
	if err := stream.RecvMsg(&r); err != nil {
		return err
	}
	if clock, known := s.watcher.PlatformClock(); r.ClockOnly {
		if !known {
			return errors.New("the platform's clock isn't known yet")
		}
		return stream.SendMsg(&watch.Update{Clock: clock})
	}
	var p *packer
	if r.Unpacks {
		p = newPacker(s.packings)
	}
	updates, cancel := s.watcher.Subscribe(r.Digests)
	defer cancel()
	keepalive := time.NewTicker(s.keepalive)
	defer keepalive.Stop()
	for {
		var u watch.Update
		ok := true
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case u, ok = <-updates:
		case <-keepalive.C:
		}
		if !ok {
			return errors.New("the stream was too slow; subscribe again")
		}
		for _, v := range coalesce(u, updates) {
			if err := s.send(stream, p, v); err != nil {
				return err
			}
		}
		keepalive.Reset(s.keepalive)
	}
}

// send sends an update, packed unless p is nil.
func (s *Server) send(stream grpc.ServerStream, p *packer, u watch.Update) error {
	m := &message{Update: u}
	if p != nil {
		var err error
		if m, err = p.pack(u); err != nil {
			return err
		}
	}
	m.Sent, _ = s.watcher.PlatformClock()
	return stream.SendMsg(m)
}

// coalesce joins an update and those that are queued behind it into one update per
// table, since a client behind a slow link needs only the latest state.
func coalesce(first watch.Update, updates <-chan watch.Update) []watch.Update {
	joined := []watch.Update{first}
	for {
		select {
		case u, ok := <-updates:
			if !ok {
				return joined // the next receive finds the channel closed
			}
			i := slices.IndexFunc(joined, func(j watch.Update) bool { return j.Table == u.Table })
			if i < 0 {
				joined = append(joined, u)
				continue
			}
			joined[i] = joined[i].Merge(u)
		default:
			return joined
		}
	}
}

// NewClient returns a client without servers.
func NewClient(w *watch.Watcher, l *decision.Log, os ...ClientOption) *Client {
	c := &Client{
		watcher: w, log: l, lateAfter: defaultLateAfter,
		streams: map[string]context.CancelFunc{}, received: map[string]time.Time{}, unreachable: map[string]time.Time{},
	}
	for _, o := range os {
		o(c)
	}
	return c
}

// SetServers sets the addresses of the servers from which updates are received. It
// ends the streams from all others.
func (c *Client) SetServers(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range addrs {
		wanted[a] = true
		if c.streams[a] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			c.streams[a] = cancel
			go c.follow(ctx, a)
		}
	}
	for a, cancel := range c.streams {
		if !wanted[a] {
			cancel()
			delete(c.streams, a)
		}
	}
}

// Unreachable reports whether the last stream from a server could not be opened, broke or
// was silent for too long, no longer than unreachableTTL ago. A stream that a live server
// has ended itself doesn't count.
func (c *Client) Unreachable(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.unreachable[addr]
	return ok && time.Since(at) < unreachableTTL
}

// Receiving reports whether a stream from a server is open and not silent.
func (c *Client) Receiving(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.received[addr]
	return ok && time.Since(at) < c.lateAfter
}

// HeardAgo returns the time since any server has sent a message, and false if none ever has.
func (c *Client) HeardAgo() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.heardAt), !c.heardAt.IsZero()
}

// setReceived records that a stream from a server has delivered a message.
func (c *Client) setReceived(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt = time.Now()
	c.received[addr] = c.heardAt
	delete(c.unreachable, addr)
}

// streamEnded records that the stream from a server has ended.
func (c *Client) streamEnded(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.received, addr)
}

func (c *Client) setUnreachable(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[addr] = time.Now()
}

// follow receives updates from a server until ctx ends, and opens a new stream when
// one fails. It logs the first of successive failures.
func (c *Client) follow(ctx context.Context, addr string) {
	failed := false
	for ctx.Err() == nil {
		received, err := c.receive(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if received || !failed {
			c.log.Write(event.RelayStreamLost, slog.String("from", addr), slog.String("error", err.Error()))
		}
		failed = true
		if !errors.Is(err, errRetryLater) {
			c.setUnreachable(addr)
		}
		_ = pause.For(ctx, retryPause) // the loop checks ctx
	}
}

// waitReady waits until a connection is open. The age of proofs is computed from the
// time at which the stream was requested, so the time to open the connection would be
// added to the age of every proof received on it. A full accept queue or a process
// that is short of CPU time takes 1 s and more, of the 0.8 to 4 s within which a
// change has to take effect.
func waitReady(ctx context.Context, conn *grpc.ClientConn) error {
	conn.Connect()
	for {
		switch s := conn.GetState(); {
		case s == connectivity.Ready:
			return nil
		case s == connectivity.TransientFailure:
			return errors.New("connection attempt failed")
		case !conn.WaitForStateChange(ctx, s):
			return context.Cause(ctx)
		}
	}
}

// openStream starts a stream of updates.
func openStream(ctx context.Context, conn *grpc.ClientConn, r streamRequest) (grpc.ClientStream, error) {
	stream, err := conn.NewStream(ctx, &serviceDesc.Streams[0], "/"+serviceName+"/"+methodName)
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	if err := stream.SendMsg(&r); err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	return stream, errors.Wrap(stream.CloseSend(), "ask")
}

// measureClock asks a server for readings of the platform's clock until ctx ends, seldom
// in the end. The age of all proofs is computed from the tightest bound on the clock: the
// first one contains the time in which the client waited for its tables, and the time in
// which the server waited for its own first answer.
func (c *Client) measureClock(ctx context.Context, conn *grpc.ClientConn) {
	for wait := minClockPause; pause.For(ctx, wait) == nil; wait = min(2*wait, maxClockPause) {
		sent := c.watcher.Now()
		if clock, err := askClock(ctx, conn); err == nil {
			c.watcher.ObserveClock(sent, clock)
		}
	}
}

// askClock asks a server for a reading of the platform's clock.
func askClock(ctx context.Context, conn *grpc.ClientConn) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	stream, err := openStream(ctx, conn, streamRequest{ClockOnly: true})
	if err != nil {
		return 0, err
	}
	var u watch.Update
	err = stream.RecvMsg(&u)
	return u.Clock, errors.Wrap(err, "ask for the clock")
}

// receive handles one stream until it fails, and reports whether it has received a
// message.
func (c *Client) receive(ctx context.Context, addr string) (bool, error) {
	d := net.Dialer{Timeout: connectTimeout}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) }),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codec.Name), grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return false, errors.Wrap(err, "connect")
	}
	defer conn.Close()
	defer c.streamEnded(addr)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(firstMessageTimeout, func() { cancel(errors.New("no message from the host in time")) })
	defer timer.Stop()
	var late *time.Timer // nil before the first message
	defer func() {
		if late != nil {
			late.Stop()
		}
	}()
	if err := waitReady(ctx, conn); err != nil {
		return false, errors.Wrap(err, "connect")
	}
	requested := c.watcher.Now()
	stream, err := openStream(ctx, conn, streamRequest{Digests: c.watcher.Digests(), Unpacks: true})
	if err != nil {
		return false, err
	}
	values := newUnpacker()
	for n := 0; ; n++ {
		var m message
		if err := stream.RecvMsg(&m); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return n > 0, errors.Wrap(cause, "hear")
			}
			if status.Code(err) == codes.Unknown { // an error returned by the server's handler
				err = errors.Mark(err, errRetryLater)
			}
			return n > 0, errors.Wrap(err, "hear")
		}
		timer.Reset(silenceTimeout)
		c.setReceived(addr)
		if n == 0 {
			late = time.AfterFunc(c.lateAfter, func() { c.setUnreachable(addr) })
			go c.measureClock(ctx, conn)
		}
		late.Reset(c.lateAfter)
		u, err := values.unpack(&m)
		if err != nil {
			return n > 0, errors.Mark(err, errRetryLater)
		}
		if u.Table != "" {
			c.watcher.Receive(ctx, u, requested)
		}
	}
}
