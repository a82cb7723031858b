package gateway

import (
	"context"
	"net"
	"net/http"

	"slipcrank.example/clients/web"
)

// connKey is the context key of the connection that a request has arrived on.
type connKey struct{}

// ConnContext makes the connection of a request known to the gateway. It is to be set as the
// ConnContext of an [http.Server] that calls [Gateway.AnswerWritten]. To a caller of HTTP/1.0 the
// close of its connection is the end of a stream, so that a broken stream has to end by a reset.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// closeFramedConn returns the connection of a request if a stream in answer to it ends with the
// connection, and nil otherwise.
func closeFramedConn(r *http.Request) net.Conn {
	if r.ProtoAtLeast(1, 1) {
		return nil // gets chunks
	}
	return connOf(r.Context())
}

// connOf returns the connection of a request, and nil if it isn't known.
func connOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// beginCloseFramed has the connection of a stream reset when it is closed, from now on. So
// the stream looks incomplete also if this process ends while it sends it.
func (c *call) beginCloseFramed() {
	if c.closeFramed != nil {
		web.ResetOnClose(c.closeFramed)
	}
}

// endCloseFramed has the connection of a whole stream closed in order.
func (c *call) endCloseFramed() {
	if c.closeFramed != nil {
		web.CloseInOrder(c.closeFramed)
	}
}
