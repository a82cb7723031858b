// Package peers is how the daemons of entry hosts talk to each other: over
// gRPC, with messages from module peer. Nothing that the library brings for
// discovery or balancing is used.
//
// # Usage
//
//	s := peers.NewServer(loop, peers.WithBatcher(g.Write))
//	addr, err := s.Serve(ctx, "127.0.0.1:0")
//	c := peers.NewClient()
//	news, err := c.Ping(ctx, addr, self, hall, control.News{})
package peers

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"slipcrank.example/core/claim"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/route"
	"slipcrank.example/core/store"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/peer/wire"
)

type (
	// Server answers other daemons.
	Server struct {
		wire.UnimplementedPeerServer

		loop   *control.Loop
		client *Client
		write  claim.Writer
		tls    *tls.Config
		// suspects takes in what other daemons know of requests.
		suspects func([]quarantine.Record)
	}

	// ServerOption changes a server under construction.
	ServerOption func(*Server)
)

// WithBatcher sets what writes claim rows for the hall.
func WithBatcher(w claim.Writer) ServerOption { return func(s *Server) { s.write = w } }

// WithServerTLS sets the TLS configuration.
func WithServerTLS(c *tls.Config) ServerOption { return func(s *Server) { s.tls = c } }

// NewServer returns a server over a daemon's control loop; c is used to ping
// for others.
func NewServer(l *control.Loop, c *Client, os ...ServerOption) *Server {
	s := &Server{
		loop:   l,
		client: c,
		write:  func(context.Context, store.Write) (claim.Result, uint64) { return claim.Refused, 0 },

		suspects: func([]quarantine.Record) {},
	}
	for _, o := range os {
		o(s)
	}
	return s
}

// Serve answers on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	os := []grpc.ServerOption{
		grpc.UnaryInterceptor(traceServer),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.InitialWindowSize(window),
		grpc.InitialConnWindowSize(window),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: time.Minute}),
	}
	if s.tls != nil {
		os = append(os, grpc.Creds(credentials.NewTLS(s.tls)))
	}
	g := grpc.NewServer(os...)
	wire.RegisterPeerServer(g, s)
	g.RegisterService(&suspectsDescription, s)
	context.AfterFunc(ctx, g.Stop)
	go func() { _ = g.Serve(l) }()
}

// Ping implements the heartbeat.
func (s *Server) Ping(ctx context.Context, r *wire.PingRequest) (*wire.PingReply, error) {
	n, ok := control.Ask(ctx, s.loop, func(st *control.State) control.Gossip {
		st.MergeGossip(newsFromWire(r.GetNews()))
		return st.NextGossip()
	})
	if !ok {
		return nil, errStopped
	}
	return &wire.PingReply{News: newsToWire(n)}, nil
}

// PingVia pings another daemon for the caller.
func (s *Server) PingVia(ctx context.Context, r *wire.PingViaRequest) (*wire.PingReply, error) {
	v := s.loop.View()
	n, err := s.client.Ping(ctx, r.GetTarget(), v.Self.Addr, v.Self.Hall, control.Gossip{TemplateNumber: v.Templates.Number()})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wire.PingReply{News: newsToWire(n)}, nil
}

// Sync takes all that a daemon knows, or compares digests and answers with all
// that is known here if they differ.
func (s *Server) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	reply, ok := control.Ask(ctx, s.loop, func(st *control.State) *wire.SyncReply {
		if r.GetNews() != nil {
			st.MergeGossip(newsFromWire(r.GetNews()))
			return &wire.SyncReply{News: newsToWire(control.Gossip{})}
		}
		if st.Digest() == r.GetDigest() {
			return &wire.SyncReply{News: newsToWire(control.Gossip{}), Same: true}
		}
		return &wire.SyncReply{News: newsToWire(st.AllRecords())}
	})
	if !ok {
		return nil, errStopped
	}
	return reply, nil
}

// Changes returns recent changes, or the whole book.
func (s *Server) Changes(_ context.Context, r *wire.ChangesRequest) (*wire.ChangesReply, error) {
	v := s.loop.View()
	b := v.Templates
	reply := &wire.ChangesReply{Number: b.Number()}
	if b.Number() <= r.GetAfter() {
		return reply, nil
	}
	var err error
	if cs, ok := v.RecentChanges.After(r.GetAfter()); ok {
		reply.Changes, err = changesToWire(cs)
		return reply, err
	}
	reply.Snapshot, err = templatesToWire(b.Templates())
	return reply, err
}

// Bid returns the offers of the engines that this daemon owns.
func (s *Server) Bid(ctx context.Context, r *wire.BidRequest) (*wire.BidReply, error) {
	os := s.loop.Offers(ctx, promptFromWire(r.GetPrompt(), time.Now()))
	reply := &wire.BidReply{}
	for _, o := range os {
		reply.Offers = append(reply.Offers, offerToWire(o))
	}
	return reply, nil
}

// Place records a placement.
func (s *Server) Place(ctx context.Context, r *wire.PlaceRequest) (*wire.PlaceReply, error) {
	o := route.Offer{
		Addr:        r.GetAddr(),
		Incarnation: r.GetIncarnation(),
		Prefill:     time.Duration(r.GetExpectedMs()) * time.Millisecond,
	}
	now, ok := s.loop.Place(ctx, r.GetAttempt(), o, promptFromWire(r.GetPrompt(), time.Now()))
	return &wire.PlaceReply{Placed: ok, Offer: offerToWire(now)}, nil
}

// Finish takes the end of an attempt.
func (s *Server) Finish(_ context.Context, r *wire.FinishRequest) (*wire.FinishReply, error) {
	first := time.Duration(r.GetFirstTokenMs()) * time.Millisecond
	s.loop.Post(func(st *control.State) {
		st.FinishAttempt(r.GetAttempt(), r.GetAddr(), first, r.GetFailed())
	})
	return &wire.FinishReply{}, nil
}

// Await notes that a group waits for an engine that this daemon owns.
func (s *Server) Await(ctx context.Context, r *wire.AwaitRequest) (*wire.AwaitReply, error) {
	t := s.loop.AwaitGroup(ctx, r.GetAddr(), r.GetId(), r.GetPriority(), r.GetLeave())
	return &wire.AwaitReply{Ahead: t.Outranked, FreeTokens: uint32(t.Free), TotalTokens: uint32(t.Total)}, nil
}

// Demand returns what this daemon's callers ask for.
func (s *Server) Demand(ctx context.Context, _ *wire.DemandRequest) (*wire.DemandReply, error) {
	d, ok := control.Ask(ctx, s.loop, (*control.State).Demand)
	if !ok {
		return nil, errStopped
	}
	return &wire.DemandReply{Demands: demandToWire(d)}, nil
}

// Claim writes one claim row.
func (s *Server) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	res, v := s.write(ctx, store.Write{
		Table:  claim.Table,
		Key:    r.GetKey(),
		Value:  r.GetValue(),
		Expect: r.GetExpect(),
		TTL:    time.Duration(r.GetTtlSeconds()) * time.Second,
	})
	return &wire.ClaimReply{Result: uint32(res), Version: v}, nil
}

var errStopped = errors.New("the daemon has stopped")

// traceServer starts a span for a call that carries a trace.
func traceServer(ctx context.Context, r any, i *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
	ctx, ok := extract(ctx)
	if !ok {
		return h(ctx, r)
	}
	ctx, span := telemetry.Span(ctx, i.FullMethod)
	out, err := h(ctx, r)
	telemetry.End(span, err)
	return out, err
}
