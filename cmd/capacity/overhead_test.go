package capacity

import (
	"context"
	"testing"
	"time"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/web"
	"slipcrank.example/cmd/devel"
	standin "slipcrank.example/standin/engine"
)

// BenchmarkOverhead measures the time to the first byte of single short requests,
// alternately through a daemon and directly from the stand-in engine.
func BenchmarkOverhead(b *testing.B) {
	ctx := context.Background()
	p := standin.DefaultParams()
	p.StepBase, p.StepPerStream = time.Millisecond, 0
	f, stop, err := startFleet(ctx, devel.WithDaemons(1), devel.WithEngines(1), devel.WithParams(p))
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	direct := engineStreams{client: engine.New(web.New()), addr: f.EngineAddrs[0]}.run
	through := daemonStreams(f)
	straight, daemon := newMicrosHistogram(), newMicrosHistogram()
	for b.Loop() {
		for h, s := range map[interface{ RecordValue(int64) error }]stream{straight: direct, daemon: through} {
			started := time.Now()
			if err := s(ctx, 1, func() { _ = h.RecordValue(time.Since(started).Microseconds()) }); err != nil {
				b.Fatal(err)
			}
		}
	}
	for q, name := range map[float64]string{50: "p50", 99: "p99"} {
		b.ReportMetric(float64(straight.ValueAtQuantile(q)), "us-straight-"+name)
		b.ReportMetric(float64(daemon.ValueAtQuantile(q)), "us-daemon-"+name)
	}
}
