// Package telemetry provides the metrics of a daemon in the Prometheus text format,
// and traces with a span for each hop.
//
// # Usage
//
//	m := telemetry.NewMetrics()
//	m.Count("requests_total", 1, "result", "ok")
//	text := m.Text()
package telemetry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize and decayAlpha are the parameters of the exponentially decaying
	// sample behind each histogram.
	reservoirSize = 1028
	decayAlpha    = 0.015
	namespace     = "slipcrank_"
)

var quantiles = []float64{0.5, 0.95, 0.99}

// Metrics has the counters, gauges and histograms of a daemon. The labels of its
// methods are pairs of name and value.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns Metrics without any metric.
func NewMetrics() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Count adds n to a counter.
func (m *Metrics) Count(name string, n int64, labels ...string) {
	metrics.GetOrRegisterCounter(fullName(name, labels), m.registry).Inc(n)
}

// CounterValue returns the value of a counter.
func (m *Metrics) CounterValue(name string, labels ...string) int64 {
	return metrics.GetOrRegisterCounter(fullName(name, labels), m.registry).Count()
}

// Set sets a gauge.
func (m *Metrics) Set(name string, v int64, labels ...string) {
	metrics.GetOrRegisterGauge(fullName(name, labels), m.registry).Update(v)
}

// Time adds a duration to a histogram, in microseconds.
func (m *Metrics) Time(name string, d time.Duration, labels ...string) {
	h := metrics.GetOrRegister(fullName(name+"_microseconds", labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	})
	if hist, ok := h.(metrics.Histogram); ok {
		hist.Update(d.Microseconds())
	}
}

// Text returns all metrics in the Prometheus text format, sorted by name.
func (m *Metrics) Text() string {
	var lines []string
	m.registry.Each(func(name string, v any) {
		lines = append(lines, render(name, v)...)
	})
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

// render returns the lines of one metric in the Prometheus text format.
func render(name string, v any) []string {
	switch metric := v.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, metric.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, metric.Value())}
	case metrics.Histogram:
		s := metric.Snapshot()
		out := []string{
			fmt.Sprintf("%s %d", withSuffix(name, "_count"), s.Count()),
			fmt.Sprintf("%s %d", withSuffix(name, "_sum"), s.Sum()),
		}
		for i, p := range s.Percentiles(quantiles) {
			l := fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i]))
			out = append(out, fmt.Sprintf("%s %g", withLabel(name, l), p))
		}
		return out
	default:
		return nil
	}
}

// fullName returns the name of a metric with namespace and labels.
func fullName(name string, labels []string) string {
	if len(labels) < 2 {
		return namespace + name
	}
	ls := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		ls = append(ls, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return namespace + name + "{" + strings.Join(ls, ",") + "}"
}

// withSuffix appends suffix to the name of a metric, before its labels.
func withSuffix(name, suffix string) string {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return name + suffix
	}
	return base + suffix + "{" + labels
}

// withLabel adds a label to the name of a metric, before its other labels.
func withLabel(name, label string) string {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return name + "{" + label + "}"
	}
	return base + "{" + label + "," + labels
}
