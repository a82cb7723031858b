// Package telemetry holds what a daemon tells about itself: metrics in the
// Prometheus text form, and traces with a span for each hop.
//
// # Usage
//
//	m := telemetry.NewMetrics()
//	m.Requests("till", "ok").Inc(1)
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
	reservoir = 1028
	decay     = 0.015
	namespace = "slipcrank_"
)

var quantiles = []float64{0.5, 0.95, 0.99}

// Metrics are a daemon's counters, gauges and histograms. Names may carry
// labels in the Prometheus form.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns metrics with nothing in them.
func NewMetrics() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Count adds n to a counter. Labels are pairs of name and value.
func (m *Metrics) Count(name string, n int64, labels ...string) {
	metrics.GetOrRegisterCounter(full(name, labels), m.registry).Inc(n)
}

// CounterValue returns the value of a counter.
func (m *Metrics) CounterValue(name string, labels ...string) int64 {
	return metrics.GetOrRegisterCounter(full(name, labels), m.registry).Count()
}

// Set sets a gauge.
func (m *Metrics) Set(name string, v int64, labels ...string) {
	metrics.GetOrRegisterGauge(full(name, labels), m.registry).Update(v)
}

// Time adds a duration to a histogram, in microseconds.
func (m *Metrics) Time(name string, d time.Duration, labels ...string) {
	h := metrics.GetOrRegister(full(name+"_microseconds", labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, decay))
	})
	if hist, ok := h.(metrics.Histogram); ok {
		hist.Update(d.Microseconds())
	}
}

// Text returns all metrics in the Prometheus text form, by name.
func (m *Metrics) Text() string {
	var lines []string
	m.registry.Each(func(name string, v any) {
		lines = append(lines, render(name, v)...)
	})
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

func render(name string, v any) []string {
	switch x := v.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, x.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, x.Value())}
	case metrics.Histogram:
		s := x.Snapshot()
		out := []string{
			fmt.Sprintf("%s %d", suffixed(name, "_count"), s.Count()),
			fmt.Sprintf("%s %d", suffixed(name, "_sum"), s.Sum()),
		}
		for i, p := range s.Percentiles(quantiles) {
			l := fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i]))
			out = append(out, fmt.Sprintf("%s %g", labelled(name, l), p))
		}
		return out
	default:
		return nil
	}
}

func full(name string, labels []string) string {
	if len(labels) < 2 {
		return namespace + name
	}
	ls := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		ls = append(ls, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return namespace + name + "{" + strings.Join(ls, ",") + "}"
}

func suffixed(name, suffix string) string {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return name + suffix
	}
	return base + suffix + "{" + labels
}

func labelled(name, label string) string {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return name + "{" + label + "}"
	}
	return base + "{" + label + "," + labels
}
