package peers

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/codec"
)

const (
	suspectsService = "slipcrank.Suspects"
	suspectsMethod  = "Tell"
)

type (
	// suspectsMessage tells of requests under which engines ended.
	suspectsMessage struct {
		Records []quarantine.Record `cbor:"1,keyasint"`
	}

	suspectsReply struct{}
)

// suspectsDescription is of a service of its own, whose messages are in CBOR.
var suspectsDescription = grpc.ServiceDesc{
	ServiceName: suspectsService,
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{{
		MethodName: suspectsMethod,
		Handler: func(s any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var m suspectsMessage
			if err := decode(&m); err != nil {
				return nil, err
			}
			s.(*Server).suspects(m.Records)
			return &suspectsReply{}, nil
		},
	}},
}

// WithSuspects sets who takes in what other daemons know of requests under which
// engines ended.
func WithSuspects(f func([]quarantine.Record)) ServerOption {
	return func(s *Server) { s.suspects = f }
}

// SendSuspects tells another daemon of requests under which engines ended.
func (c *Client) SendSuspects(ctx context.Context, addr string, rs []quarantine.Record) error {
	conn, err := c.conn(addr)
	if err != nil {
		return err
	}
	method := "/" + suspectsService + "/" + suspectsMethod
	err = conn.Invoke(ctx, method, &suspectsMessage{rs}, &suspectsReply{}, grpc.CallContentSubtype(codec.Name))
	return errors.Wrapf(err, "tell %s of suspects", addr)
}
