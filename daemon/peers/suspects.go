package peers

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/codec"
)

const (
	suspectsServiceName = "slipcrank.Suspects"
	suspectsMethodName  = "Tell"
)

type (
	// suspectsMessage carries records of suspects; see package quarantine.
	suspectsMessage struct {
		Records []quarantine.Record `cbor:"1,keyasint"`
	}

	suspectsReply struct{}
)

// suspectsServiceDesc describes the service for suspects. It is separate from
// the Peer service because its messages are encoded in CBOR.
var suspectsServiceDesc = grpc.ServiceDesc{
	ServiceName: suspectsServiceName,
	HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{{
		MethodName: suspectsMethodName,
		Handler: func(s any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var m suspectsMessage
			if err := decode(&m); err != nil {
				return nil, err
			}
			s.(*Server).onSuspects(m.Records)
			return &suspectsReply{}, nil
		},
	}},
}

// WithSuspects sets the function that is called with the records of suspects
// (requests that were running when engines crashed) that other daemons send.
func WithSuspects(f func([]quarantine.Record)) ServerOption {
	return func(s *Server) { s.onSuspects = f }
}

// SendSuspects sends records of suspects, which are requests that were running
// when engines crashed, to another daemon.
func (c *Client) SendSuspects(ctx context.Context, addr string, rs []quarantine.Record) error {
	conn, err := c.conn(addr)
	if err != nil {
		return err
	}
	method := "/" + suspectsServiceName + "/" + suspectsMethodName
	err = conn.Invoke(ctx, method, &suspectsMessage{rs}, &suspectsReply{}, grpc.CallContentSubtype(codec.Name))
	return errors.Wrapf(err, "send suspects to %s", addr)
}
