package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/changes"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/settings"
)

const (
	// enginesPerDaemon is the mean number of engines that a daemon owns at full size.
	enginesPerDaemon = 1.6
	templateChanges  = 20
)

// fleetMeasurement measures an idle hall of n daemons, and then template changes there.
func fleetMeasurement(n int) measurement {
	name := func(label string) string { return fmt.Sprintf("%s, hall of %d daemons", label, n) }
	return measurement{
		part: "fleet",
		names: []string{
			name("processor, an idle daemon"), name("bytes between daemons, a daemon"), name("bytes to platform and engines, a daemon"),
			name("platform reads, a daemon"), name("platform writes, all"), name("host list reads, a daemon"),
			name("memory, a daemon"),
			name("template change in force everywhere, p50"), name("template change in force everywhere, p99"),
		},
		run: func(ctx context.Context, c config) ([]Row, error) {
			before := liveHeapBytes()
			f, stop, err := startFleet(ctx, devel.WithDaemons(n), devel.WithEngines(int(enginesPerDaemon*float64(n))), devel.WithHostListSize(fullDaemons+fullEngines))
			if err != nil {
				return nil, err
			}
			defer stop()
			if err := pause.For(ctx, 2*settings.Default().Periods.Sync); err != nil { // excludes the traffic of the start
				return nil, err
			}
			rows, err := measureIdle(ctx, f, c.idleDuration, name)
			if err != nil {
				return nil, err
			}
			rows = append(rows, Row{name("memory, a daemon"), (liveHeapBytes() - before) / float64(n) / 1e6, "MB"})
			h, err := measurePropagation(ctx, f)
			if err != nil {
				return nil, err
			}
			ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
			return append(rows,
				Row{name("template change in force everywhere, p50"), ms(50), "ms"},
				Row{name("template change in force everywhere, p99"), ms(99), "ms"}), nil
		},
	}
}

// startFleet starts a dev fleet in one hall and waits until it is ready. The returned
// function stops the fleet.
func startFleet(ctx context.Context, os ...devel.Option) (*devel.Fleet, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	f, err := devel.Start(ctx, append(os, devel.WithHalls("leon"))...)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	stop := func() {
		closeAll(f)
		cancel()
	}
	if err := await(ctx, f.Ready); err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

func closeAll(f *devel.Fleet) {
	for _, n := range f.Nodes {
		n.Close()
	}
}

// usage holds the resources that a fleet has used so far.
type usage struct {
	cpu                     time.Duration
	peerBytes, outsideBytes int64
	reads, writes, lists    int
}

func readUsage(f *devel.Fleet) usage {
	c := f.Platform.Counts()
	u := usage{cpu: processCPUTime(), reads: c.Reads, writes: c.Writes, lists: c.Lists}
	for _, n := range f.Nodes {
		p, o := n.Bytes()
		u.peerBytes += p
		u.outsideBytes += o
	}
	return u
}

func measureIdle(ctx context.Context, f *devel.Fleet, d time.Duration, name func(string) string) ([]Row, error) {
	before := readUsage(f)
	if err := pause.For(ctx, d); err != nil {
		return nil, err
	}
	after := readUsage(f)
	n := float64(len(f.Nodes))
	perDaemonSecond := func(x float64) float64 { return x / n / d.Seconds() }
	return []Row{
		{name("processor, an idle daemon"), 100 * perDaemonSecond(float64(after.cpu-before.cpu)/float64(time.Second)), "% of a core"},
		// A connection's bytes are counted only by the side that opened it, but
		// they load both sides.
		{name("bytes between daemons, a daemon"), 2 * perDaemonSecond(float64(after.peerBytes-before.peerBytes)), "B/s"},
		{name("bytes to platform and engines, a daemon"), perDaemonSecond(float64(after.outsideBytes - before.outsideBytes)), "B/s"},
		{name("platform reads, a daemon"), perDaemonSecond(float64(after.reads - before.reads)), "/s"},
		{name("platform writes, all"), n * perDaemonSecond(float64(after.writes-before.writes)), "/s"},
		{name("host list reads, a daemon"), perDaemonSecond(float64(after.lists - before.lists)), "/s"},
	}, nil
}

// newMicrosHistogram returns a histogram of microseconds, up to a minute.
func newMicrosHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// measurePropagation changes a template templateChanges times and measures the time from
// the acceptance of each change until it is in force on every daemon.
func measurePropagation(ctx context.Context, f *devel.Fleet) (*hdrhistogram.Histogram, error) {
	h := newMicrosHistogram()
	log := changes.New(f.Platform.Store())
	t := devel.Templates()[0]
	for i := range templateChanges {
		now, _ := f.Nodes[0].Loop().View().Templates.Template(t.Workspace)
		c, err := log.Apply(ctx, fmt.Sprint("capacity-", i), now.WithCrossover(template.Crossover{
			State: template.Moving, Percent: i, Epoch: now.Crossover.Epoch + 1,
		}), now.Version)
		if err != nil {
			return nil, err
		}
		accepted := time.Now()
		err = await(ctx, func() bool {
			for _, n := range f.Nodes {
				if n.Loop().View().Templates.Number() < c.Number {
					return false
				}
			}
			return true
		})
		if err != nil {
			return nil, err
		}
		if err := h.RecordValue(time.Since(accepted).Microseconds()); err != nil {
			return nil, err
		}
	}
	return h, nil
}
