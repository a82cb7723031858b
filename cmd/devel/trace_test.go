package devel_test

import (
	"net/http"
	"testing"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"slipcrank.example/cmd/devel"
)

// TestTraceHasASpanForEachHop checks the spans of a request that continues its
// caller's trace: those of the daemon that received it, and those of the requests
// for offers to the engines' owners.
func TestTraceHasASpanForEachHop(t *testing.T) {
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	e := tracetest.NewInMemoryExporter()
	otel.SetTextMapPropagator(propagation.TraceContext{})
	otel.SetTracerProvider(sdk.NewTracerProvider(sdk.WithSyncer(e), sdk.WithSampler(sdk.ParentBased(sdk.NeverSample()))))
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(3), devel.WithEngines(6))
	want := []string{"request", "place", "attempt", "/slipcrank.peer.Peer/Bid"}
	eventually(t, "a request has all spans", func() bool {
		status, body := post(t, f.Nodes[0].Callers(), "/v1/completions", "till", prompt(t, "hello", 1, false),
			map[string]string{"traceparent": "00-" + trace + "-00f067aa0ba902b7-01"})
		if status != http.StatusOK {
			t.Fatalf("status %d %s", status, body)
		}
		seen := map[string]bool{}
		for _, s := range e.GetSpans() {
			if s.SpanContext.TraceID().String() != trace {
				t.Fatalf("span %s belongs to another trace, %s", s.Name, s.SpanContext.TraceID())
			}
			seen[s.Name] = true
		}
		for _, w := range want {
			if !seen[w] {
				return false
			}
		}
		return true
	})
}
