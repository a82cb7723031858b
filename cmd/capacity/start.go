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

// startDaemons is how many daemons start at the same moment: a whole hall.
const startDaemons = 74

// startMeasurement starts a whole hall at once, on a platform that holds the
// templates of all workspaces.
func startMeasurement() measurement {
	name := func(what string) string { return fmt.Sprintf("%s, %d daemons start at once", what, startDaemons) }
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
			f, stop, peak, took, err := startAtOnce(ctx, s)
			if err != nil {
				return nil, err
			}
			defer stop()
			u, c := usageOf(f), f.Platform.Counts()
			return []Row{
				{name("all templates in force everywhere"), took.Seconds(), "s"},
				{name("snapshots read from the platform"), float64(c.Gets), ""},
				{name("platform reads until then, a daemon"), float64(c.Reads) / startDaemons, ""},
				{name("platform reads in the busiest second"), float64(peak), "/s"},
				{name("requests refused by the platform"), float64(c.Refused), ""},
				{name("bytes from the platform"), float64(u.outside) / 1e6, "MB"},
				{name("bytes between daemons"), float64(u.peers) / 1e6, "MB"},
			}, nil
		},
	}
}

// startAtOnce starts a hall and waits until every daemon has all templates. It
// returns the most reads that the platform saw in one second, and the time.
func startAtOnce(ctx context.Context, s store.Store) (*devel.Fleet, func(), int, time.Duration, error) {
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
	watched, done := context.WithCancel(ctx)
	go func() { peaks <- busiest(watched, f) }()
	err = await(ctx, func() bool {
		for _, n := range f.Nodes {
			if n.Loop().View().Templates.Number() < fullWorkspaces {
				return false
			}
		}
		return true
	})
	took := time.Since(started)
	done()
	if err != nil {
		stop()
		return nil, nil, 0, 0, err
	}
	return f, stop, <-peaks, took, nil
}

// busiest returns the most reads of the platform in a second, until ctx ends.
func busiest(ctx context.Context, f *devel.Fleet) int {
	most, before := 0, 0
	for {
		err := pause.For(ctx, time.Second)
		now := f.Platform.Counts().Reads
		most, before = max(most, now-before), now
		if err != nil {
			return most
		}
	}
}

// fullStore returns a store with the templates of all workspaces, and a
// snapshot of them.
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
