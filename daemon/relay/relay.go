// Package relay passes what some hosts read of the platform's tables on to the
// others of their data hall, so that the platform isn't asked by each, and a
// host that the platform turns away still hears what is in force.
//
// A stream begins with all rows of the tables that its listener doesn't know as
// its server does, and goes on with each change and each proof that nothing has
// changed. Both carry the platform's steady clock at which they were true, so
// whoever hears them knows their age as if it had asked itself, however many
// hosts they came through.
//
// It runs over gRPC with messages in CBOR, which needs no generated code.
//
// # Usage
//
//	s := relay.NewServer(watcher)
//	go s.Serve(listener)
//	c := relay.NewClient(watcher, log)
//	c.Hear([]string{"10.0.0.2:7340"})   // from now on, these and no others
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
	// silence is how long a server may say nothing before its stream is given
	// up, and aliveEvery how often it sends an update of no table if it has no
	// news, as while the platform is away.
	silence    = 2500 * time.Millisecond
	aliveEvery = time.Second
	// firstTime is for the first message, which may hold 3,000 servers in
	// half a megabyte and come with those of 30 other listeners over a link of
	// 20 Mbit/s.
	firstTime = 10 * time.Second
	// connectTime is for the kernel to open a connection. A try that begins within a cut waits
	// for the kernel's next packet, which comes up to as long after the end of the
	// cut as that has lasted; a new try is answered at once.
	connectTime = time.Second
	// retryPause lies between tries to reach a server.
	retryPause = 500 * time.Millisecond
	// lostTime is for how long a server that could not be heard counts as lost
	// once it is no longer tried.
	lostTime = 10 * time.Second
	// maxMessage bounds a message: a table's rows in one answer of the
	// platform.
	maxMessage = 8 << 20
)

type (
	// Server sends what a watcher learns.
	Server struct {
		grpc    *grpc.Server
		watcher *watch.Watcher
	}

	// Client hears servers and hands what they say to a watcher.
	Client struct {
		watcher *watch.Watcher
		log     *decision.Log

		mu      sync.Mutex
		streams map[string]context.CancelFunc
		lost    map[string]time.Time // when a server could not be heard last
	}

	// hearRequest asks for updates.
	hearRequest struct {
		// Knows are digests of the rows that the listener knows, by table.
		Knows map[string]uint64 `cbor:"1,keyasint,omitempty"`
	}
)

var description = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*any)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName:    methodName,
		ServerStreams: true,
		Handler:       func(s any, stream grpc.ServerStream) error { return s.(*Server).hear(stream) },
	}},
}

// errTurnedAway is a server that lives and asks to come again: it has just
// started and knows nothing yet, or its listener was too slow.
var errTurnedAway = errors.New("the server asks to come again")

// NewServer returns a server of what w learns.
func NewServer(w *watch.Watcher) *Server {
	s := &Server{grpc: grpc.NewServer(grpc.MaxSendMsgSize(maxMessage)), watcher: w}
	s.grpc.RegisterService(&description, s)
	return s
}

// Serve answers on l until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop ends all streams.
func (s *Server) Stop() { s.grpc.Stop() }

func (s *Server) hear(stream grpc.ServerStream) error {
	var r hearRequest
	if err := stream.RecvMsg(&r); err != nil {
		return err
	}
	updates, cancel := s.watcher.Subscribe(r.Knows)
	defer cancel()
	quiet := time.NewTicker(aliveEvery)
	defer quiet.Stop()
	for {
		var u watch.Update
		ok := true
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case u, ok = <-updates:
		case <-quiet.C:
		}
		if !ok {
			return errors.New("nothing is known yet, or the stream was too slow; ask anew")
		}
		for _, v := range waiting(u, updates) {
			if err := stream.SendMsg(&v); err != nil {
				return err
			}
		}
		quiet.Reset(aliveEvery)
	}
}

// waiting returns an update and all that wait behind it, one for each table: a
// listener behind a slow link needs the newest configuration only.
func waiting(first watch.Update, updates <-chan watch.Update) []watch.Update {
	joined := []watch.Update{first}
	for {
		select {
		case u, ok := <-updates:
			if !ok {
				return joined // the next receive tells that the stream has ended
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

// NewClient returns a client that hears nobody yet.
func NewClient(w *watch.Watcher, l *decision.Log) *Client {
	return &Client{watcher: w, log: l, streams: map[string]context.CancelFunc{}, lost: map[string]time.Time{}}
}

// Hear hears the servers at these addresses from now on, and no others.
func (c *Client) Hear(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := map[string]bool{}
	for _, a := range addrs {
		wanted[a] = true
		if c.streams[a] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			c.streams[a] = cancel
			go c.keep(ctx, a)
		}
	}
	for a, cancel := range c.streams {
		if !wanted[a] {
			cancel()
			delete(c.streams, a)
		}
	}
}

// Lost reports whether a server was tried lately and could not be heard.
func (c *Client) Lost(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.lost[addr]
	return ok && time.Since(at) < lostTime
}

func (c *Client) setLost(addr string, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost {
		c.lost[addr] = time.Now()
		return
	}
	delete(c.lost, addr)
}

// keep hears a server until ctx ends, over as many streams as it takes.
func (c *Client) keep(ctx context.Context, addr string) {
	lost := false
	for ctx.Err() == nil {
		heard, err := c.hear(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if heard || !lost {
			c.log.Write(event.RelayLost, slog.String("from", addr), slog.String("error", err.Error()))
		}
		lost = true
		if !errors.Is(err, errTurnedAway) {
			c.setLost(addr, true)
		}
		_ = pause.For(ctx, retryPause) // ctx is looked at above
	}
}

// ready waits until a connection is open. The server's clock is compared with
// the time at which it was asked, so what the opening takes would count as age
// of every proof that is heard on the connection: 1 s and more for a full queue
// of new connections or a process that is short of processor time, of the 0.8
// to 4 s within which a change has to be in force.
func ready(ctx context.Context, conn *grpc.ClientConn) error {
	conn.Connect()
	for {
		switch s := conn.GetState(); {
		case s == connectivity.Ready:
			return nil
		case s == connectivity.TransientFailure:
			return errors.New("no connection")
		case !conn.WaitForStateChange(ctx, s):
			return context.Cause(ctx)
		}
	}
}

// hear follows one stream to its end, and reports whether anything came.
func (c *Client) hear(ctx context.Context, addr string) (bool, error) {
	d := net.Dialer{Timeout: connectTime}
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) }),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codec.Name), grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return false, errors.Wrap(err, "connect")
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(firstTime, func() { cancel(errors.New("the host has fallen silent")) })
	defer alarm.Stop()
	if err := ready(ctx, conn); err != nil {
		return false, errors.Wrap(err, "connect")
	}
	asked := c.watcher.Now()
	stream, err := conn.NewStream(ctx, &description.Streams[0], "/"+serviceName+"/"+methodName)
	if err != nil {
		return false, errors.Wrap(err, "open stream")
	}
	if err := stream.SendMsg(&hearRequest{Knows: c.watcher.Digests()}); err != nil {
		return false, errors.Wrap(err, "ask")
	}
	if err := stream.CloseSend(); err != nil {
		return false, errors.Wrap(err, "ask")
	}
	for n := 0; ; n++ {
		var u watch.Update
		if err := stream.RecvMsg(&u); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return n > 0, errors.Wrap(cause, "hear")
			}
			if status.Code(err) == codes.Unknown { // the server's own words
				err = errors.Mark(err, errTurnedAway)
			}
			return n > 0, errors.Wrap(err, "hear")
		}
		alarm.Reset(silence)
		if n == 0 {
			c.setLost(addr, false)
		}
		if u.Table != "" {
			c.watcher.Receive(ctx, u, asked)
		}
	}
}
