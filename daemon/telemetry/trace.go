package telemetry

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"slipcrank.example/daemon/settings"
)

const tracerName = "slipcrank"

// StartTracing configures the export of spans according to t, and returns a function
// that flushes and stops it. It must be called only once per process.
func StartTracing(ctx context.Context, t settings.Trace, hall, addr string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	e, err := newExporter(ctx, t)
	if err != nil {
		return nil, err
	}
	if e == nil {
		return func(context.Context) error { return nil }, nil
	}
	p := sdk.NewTracerProvider(
		sdk.WithBatcher(e),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(t.Ratio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("slipcrank.hall", hall),
			attribute.String("slipcrank.addr", addr),
		)),
	)
	otel.SetTracerProvider(p)
	return p.Shutdown, nil
}

// newExporter returns the exporter that t selects, nil for none.
func newExporter(ctx context.Context, t settings.Trace) (sdk.SpanExporter, error) {
	switch t.Exporter {
	case "stdout":
		return stdouttrace.New()
	case "file":
		f, err := os.OpenFile(t.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		return stdouttrace.New(stdouttrace.WithWriter(io.Writer(f)))
	case "otlp":
		return otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(t.Endpoint), otlptracegrpc.WithInsecure())
	default:
		return nil, nil
	}
}

// Span starts a span for one hop.
func Span(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attributes...))
}

// End ends a span. If err is not nil, it sets the status of the span to it.
func End(s trace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}
