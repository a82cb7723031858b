// Package peers implements the calls between the daemons of entry hosts, as a
// gRPC client and server with the messages of module peer. It does not use
// gRPC's service discovery and load balancing.
//
// # Usage
//
//	c := peers.NewClient()
//	s := peers.NewServer(loop, c, peers.WithBatcher(batcher.Write))
//	s.Serve(ctx, listener)
//	g, err := c.Ping(ctx, addr, self, hall, control.Gossip{})
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
	// Server answers the calls of other daemons.
	Server struct {
		wire.UnimplementedPeerServer

		loop       *control.Loop
		client     *Client
		writeClaim claim.Writer
		tls        *tls.Config
		// onSuspects is called with the records of suspects that other daemons
		// send.
		onSuspects func([]quarantine.Record)
	}

	// ServerOption configures a Server during construction.
	ServerOption func(*Server)
)

// WithBatcher sets the function that writes claim rows for the daemons of the
// hall. Without it the server refuses all claims.
func WithBatcher(w claim.Writer) ServerOption { return func(s *Server) { s.writeClaim = w } }

// WithServerTLS sets the TLS configuration.
func WithServerTLS(c *tls.Config) ServerOption { return func(s *Server) { s.tls = c } }

// NewServer returns a server for the control loop of a daemon. It uses c to ping
// daemons on behalf of others.
func NewServer(l *control.Loop, c *Client, os ...ServerOption) *Server {
	s := &Server{
		loop:       l,
		client:     c,
		writeClaim: func(context.Context, store.Write) (claim.Result, uint64) { return claim.Refused, 0 },

		onSuspects: func([]quarantine.Record) {},
	}
	for _, o := range os {
		o(s)
	}
	return s
}

// Serve starts to serve calls on l, and returns. The server stops when ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	os := []grpc.ServerOption{
		grpc.UnaryInterceptor(traceServer),
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: time.Minute}),
	}
	if s.tls != nil {
		os = append(os, grpc.Creds(credentials.NewTLS(s.tls)))
	}
	g := grpc.NewServer(os...)
	wire.RegisterPeerServer(g, s)
	g.RegisterService(&suspectsServiceDesc, s)
	context.AfterFunc(ctx, g.Stop)
	go func() { _ = g.Serve(l) }()
}

// Ping merges the records of a heartbeat and replies with records of its own.
func (s *Server) Ping(ctx context.Context, r *wire.PingRequest) (*wire.PingReply, error) {
	g, ok := control.Ask(ctx, s.loop, func(st *control.State) control.Gossip {
		st.MergeGossip(gossipFromWire(r.GetNews()))
		return st.NextGossip()
	})
	if !ok {
		return nil, errStopped
	}
	return &wire.PingReply{News: gossipToWire(g)}, nil
}

// PingVia pings another daemon on behalf of the caller.
func (s *Server) PingVia(ctx context.Context, r *wire.PingViaRequest) (*wire.PingReply, error) {
	v := s.loop.View()
	g, err := s.client.Ping(ctx, r.GetTarget(), v.Self.Addr, v.Self.Hall, control.Gossip{TemplateNumber: v.Templates.Number()})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wire.PingReply{News: gossipToWire(g)}, nil
}

// Sync merges the records in the request if there are any. Otherwise it compares
// the digests, and replies with all its records if they differ.
func (s *Server) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	reply, ok := control.Ask(ctx, s.loop, func(st *control.State) *wire.SyncReply {
		if r.GetNews() != nil {
			st.MergeGossip(gossipFromWire(r.GetNews()))
			return &wire.SyncReply{News: gossipToWire(control.Gossip{})}
		}
		if st.Digest() == r.GetDigest() {
			return &wire.SyncReply{News: gossipToWire(control.Gossip{}), Same: true}
		}
		return &wire.SyncReply{News: gossipToWire(st.AllRecords())}
	})
	if !ok {
		return nil, errStopped
	}
	return reply, nil
}

// Changes returns the template changes after the requested number, or all
// templates if the recent changes do not reach back that far.
func (s *Server) Changes(_ context.Context, r *wire.ChangesRequest) (*wire.ChangesReply, error) {
	v := s.loop.View()
	t := v.Templates
	reply := &wire.ChangesReply{Number: t.Number()}
	if t.Number() <= r.GetAfter() {
		return reply, nil
	}
	var err error
	if cs, ok := v.RecentChanges.After(r.GetAfter()); ok {
		reply.Changes, err = changesToWire(cs)
		return reply, err
	}
	reply.Snapshot, err = templatesToWire(t.Templates())
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

// Place records a placement on an engine that this daemon owns, or refuses it
// with the engine's current offer.
func (s *Server) Place(ctx context.Context, r *wire.PlaceRequest) (*wire.PlaceReply, error) {
	o := route.Offer{
		Addr:        r.GetAddr(),
		Incarnation: r.GetIncarnation(),
		Prefill:     time.Duration(r.GetExpectedMs()) * time.Millisecond,
	}
	now, ok := s.loop.Place(ctx, r.GetAttempt(), o, promptFromWire(r.GetPrompt(), time.Now()))
	return &wire.PlaceReply{Placed: ok, Offer: offerToWire(now)}, nil
}

// Finish records the end of an attempt on an engine that this daemon owns.
func (s *Server) Finish(_ context.Context, r *wire.FinishRequest) (*wire.FinishReply, error) {
	first := time.Duration(r.GetFirstTokenMs()) * time.Millisecond
	s.loop.Post(func(st *control.State) {
		st.FinishAttempt(r.GetAttempt(), r.GetAddr(), first, r.GetFailed())
	})
	return &wire.FinishReply{}, nil
}

// Await adds a group to the queue for the memory of an engine that this daemon
// owns, or removes it.
func (s *Server) Await(ctx context.Context, r *wire.AwaitRequest) (*wire.AwaitReply, error) {
	t := s.loop.AwaitGroup(ctx, r.GetAddr(), r.GetId(), r.GetPriority(), r.GetLeave())
	return &wire.AwaitReply{Ahead: t.Outranked, FreeTokens: uint32(t.Free), TotalTokens: uint32(t.Total)}, nil
}

// Demand returns the demand of this daemon's callers.
func (s *Server) Demand(ctx context.Context, _ *wire.DemandRequest) (*wire.DemandReply, error) {
	d, ok := control.Ask(ctx, s.loop, (*control.State).Demand)
	if !ok {
		return nil, errStopped
	}
	return &wire.DemandReply{Demands: demandToWire(d)}, nil
}

// Claim writes one claim row through the batcher of this daemon.
func (s *Server) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	res, v := s.writeClaim(ctx, store.Write{
		Table:  claim.Table,
		Key:    r.GetKey(),
		Value:  r.GetValue(),
		Expect: r.GetExpect(),
		TTL:    time.Duration(r.GetTtlSeconds()) * time.Second,
	})
	return &wire.ClaimReply{Result: uint32(res), Version: v}, nil
}

var errStopped = errors.New("the daemon has stopped")

// traceServer is a server interceptor that starts a span for each call whose
// metadata carry a trace context.
func traceServer(ctx context.Context, r any, i *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
	ctx, ok := extractTrace(ctx)
	if !ok {
		return h(ctx, r)
	}
	ctx, span := telemetry.Span(ctx, i.FullMethod)
	out, err := h(ctx, r)
	telemetry.End(span, err)
	return out, err
}
