package capacity

import (
	"context"
	"fmt"
	"time"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/changes"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
	"slipcrank.example/standin/platform"
)

// startDaemons is the number of daemons that start at the same time: a whole hall.
const startDaemons = 74

// startMeasurement starts a whole hall at once, on a platform that stores the
// templates of all workspaces.
func startMeasurement() measurement {
	name := func(label string) string { return fmt.Sprintf("%s, %d daemons start at once", label, startDaemons) }
	return measurement{
		part: "start",
		names: []string{
			name("all templates in force everywhere"), name("snapshots read from the platform"),
			name("platform reads until then, a daemon"), name("platform reads in the busiest second"),
			name("requests refused by the platform"), name("bytes from the platform"), name("bytes between daemons"),
		},
		run: func(ctx context.Context, _ config) ([]Row, error) {
			s, err := fullStore(ctx)
			if err != nil {
				return nil, err
			}
			f, stop, peak, took, err := startConcurrently(ctx, s)
			if err != nil {
				return nil, err
			}
			defer stop()
			u, c := readUsage(f), f.Platform.Counts()
			return []Row{
				{name("all templates in force everywhere"), took.Seconds(), "s"},
				{name("snapshots read from the platform"), float64(c.Gets), ""},
				{name("platform reads until then, a daemon"), float64(c.Reads) / startDaemons, ""},
				{name("platform reads in the busiest second"), float64(peak), "/s"},
				{name("requests refused by the platform"), float64(c.Refused), ""},
				{name("bytes from the platform"), float64(u.outsideBytes) / 1e6, "MB"},
				{name("bytes between daemons"), float64(u.peerBytes) / 1e6, "MB"},
			}, nil
		},
	}
}

// startConcurrently starts a hall and waits until every daemon has all templates. It
// returns the fleet, a function that stops it, the highest number of reads from the
// platform in one second, and the time that the start took.
func startConcurrently(ctx context.Context, s store.Store) (*devel.Fleet, func(), int, time.Duration, error) {
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	f, err := devel.Start(ctx, devel.WithHalls("leon"), devel.WithDaemons(startDaemons), devel.WithEngines(1),
		devel.WithHostListSize(fullDaemons+fullEngines), devel.WithPlatform(platform.WithStore(s)))
	if err != nil {
		cancel()
		return nil, nil, 0, 0, err
	}
	stop := func() {
		closeAll(f)
		cancel()
	}
	peaks := make(chan int, 1)
	watchCtx, stopWatching := context.WithCancel(ctx)
	go func() { peaks <- peakReadsPerSecond(watchCtx, f) }()
	err = await(ctx, func() bool {
		for _, n := range f.Nodes {
			if n.Loop().View().Templates.Number() < fullWorkspaces {
				return false
			}
		}
		return true
	})
	took := time.Since(started)
	stopWatching()
	if err != nil {
		stop()
		return nil, nil, 0, 0, err
	}
	return f, stop, <-peaks, took, nil
}

// peakReadsPerSecond samples the platform's reads each second until ctx ends, and returns
// the highest number of reads in one second.
func peakReadsPerSecond(ctx context.Context, f *devel.Fleet) int {
	peak, before := 0, 0
	for {
		err := pause.For(ctx, time.Second)
		now := f.Platform.Counts().Reads
		peak, before = max(peak, now-before), now
		if err != nil {
			return peak
		}
	}
}

// fullStore returns a store with the templates of all workspaces and a snapshot of
// them.
func fullStore(ctx context.Context) (store.Store, error) {
	s := store.NewMemory().Store()
	log := changes.New(s)
	ts := make([]template.Template, fullWorkspaces)
	for i := range ts {
		c, err := log.Apply(ctx, fmt.Sprint("full-", i), exampleTemplate(i), 0)
		if err != nil {
			return store.Store{}, err
		}
		ts[i] = c.Template
	}
	return s, log.SaveSnapshot(ctx, template.NewSetAt(fullWorkspaces, ts))
}
