package peers

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// metadataCarrier carries a trace context in gRPC metadata.
type metadataCarrier struct{ md metadata.MD }

// Get implements propagation.TextMapCarrier.
func (c metadataCarrier) Get(k string) string {
	if v := c.md.Get(k); len(v) > 0 {
		return v[0]
	}
	return ""
}

// Set implements propagation.TextMapCarrier.
func (c metadataCarrier) Set(k, v string) { c.md.Set(k, v) }

// Keys implements propagation.TextMapCarrier. It returns nil because the
// propagators in use never call it.
func (c metadataCarrier) Keys() []string { return nil }

var _ propagation.TextMapCarrier = metadataCarrier{}

// traceClient is a client interceptor that adds the trace context to the
// metadata of sampled calls. Calls without a trace, such as heartbeats, get no
// metadata.
func traceClient(ctx context.Context, method string, r, reply any, conn *grpc.ClientConn,
	call grpc.UnaryInvoker, os ...grpc.CallOption,
) error {
	if trace.SpanContextFromContext(ctx).IsSampled() {
		md := metadata.MD{}
		otel.GetTextMapPropagator().Inject(ctx, metadataCarrier{md})
		ctx = metadata.NewOutgoingContext(ctx, md)
	}
	return call(ctx, method, r, reply, conn, os...)
}

// extractTrace returns ctx with the caller's trace context, and whether there is
// one.
func extractTrace(ctx context.Context) (context.Context, bool) {
	md, ok := metadata.FromIncomingContext(ctx)
	if !ok {
		return ctx, false
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, metadataCarrier{md})
	return ctx, trace.SpanContextFromContext(ctx).IsValid()
}
