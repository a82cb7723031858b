// Package capacity measures the slopes from which docs/CAPACITY.md is calculated:
// the CPU time, traffic and memory that each further member, engine, workspace,
// request, token or change costs a daemon.
//
// Fleets run inside this process, with stand-ins, over loopback. Their CPU time
// therefore includes that of the stand-ins and is an upper bound for the daemons.
//
// # Usage
//
//	rows, err := capacity.Measure(ctx, capacity.WithFleetSizes(8, 32, 74))
package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"
)

type (
	// Row is one measured slope.
	Row struct {
		Name  string  `json:"name"`
		Value float64 `json:"value"`
		Unit  string  `json:"unit"`
	}

	// Option configures [Measure].
	Option func(*config)

	config struct {
		fleetSizes   []int
		idleDuration time.Duration
		parts        []string
	}

	// measurement yields the rows with the given names.
	measurement struct {
		part  string
		names []string
		run   func(ctx context.Context, c config) ([]Row, error)
	}
)

// WithFleetSizes sets the sizes of the idle fleets to measure, in daemons.
func WithFleetSizes(ns ...int) Option { return func(c *config) { c.fleetSizes = ns } }

// WithIdleDuration sets how long each idle fleet is measured.
func WithIdleDuration(d time.Duration) Option { return func(c *config) { c.idleDuration = d } }

// WithParts restricts the measurement to some parts: state, bid, claim, stream, start, fleet.
func WithParts(ps ...string) Option { return func(c *config) { c.parts = ps } }

func defaults() config { return config{fleetSizes: []int{8, 32, 74}, idleDuration: 20 * time.Second} }

func measurements(c config) []measurement {
	ms := []measurement{stateMeasurement(), bidMeasurement(), claimMeasurement(), streamMeasurement()}
	for _, n := range c.fleetSizes {
		ms = append(ms, fleetMeasurement(n))
	}
	return append(ms, startMeasurement()) // last, since much of its memory is not released at once
}

// Names returns the names of the rows that [Measure] returns by default.
func Names() []string {
	var out []string
	for _, m := range measurements(defaults()) {
		out = append(out, m.names...)
	}
	return out
}

// Measure runs all measurements, one after another.
func Measure(ctx context.Context, os ...Option) ([]Row, error) {
	c := defaults()
	for _, o := range os {
		o(&c)
	}
	var out []Row
	for _, m := range measurements(c) {
		if len(c.parts) > 0 && !slices.Contains(c.parts, m.part) {
			continue
		}
		rows, err := m.run(ctx, c)
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
	}
	return out, nil
}

// Table writes rows as the Markdown table of docs/CAPACITY.md.
func Table(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprint(w, "| slope | value | unit |\n|---|---|---|\n"); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "| %s | %.4g | %s |\n", r.Name, r.Value, r.Unit); err != nil {
			return err
		}
	}
	return nil
}

// processCPUTime returns the CPU time that this process has used so far.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeapBytes returns the heap size after garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// microsPerCall returns the mean wall time of a call of f, in microseconds.
func microsPerCall(f func()) float64 {
	const minDuration = 200 * time.Millisecond
	for n := 1; ; n *= 4 {
		started := time.Now()
		for range n {
			f()
		}
		if took := time.Since(started); took >= minDuration {
			return float64(took.Microseconds()) / float64(n)
		}
	}
}

// await waits until ok returns true; it returns an error if ctx ends first.
func await(ctx context.Context, ok func() bool) error {
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}
