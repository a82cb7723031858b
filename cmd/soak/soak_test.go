package soak_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"slipcrank.example/cmd/soak"
)

var (
	seedCount    = flag.Uint64("soak.seeds", 1, "how many seeds are played")
	firstSeed    = flag.Uint64("soak.seed", 1, "the first seed")
	hostsPerHall = flag.Int("soak.hosts", 2, "how many hosts each of three halls has")
	runTime      = flag.Duration("soak.for", 8*time.Second, "how long each is played")
	keepDir      = flag.String("soak.keep", "", "a folder for settings and logs")
)

// minStopsTime is the least time for which planned stops are played, two grace periods and more.
const minStopsTime = 20 * time.Second

// regressionSeeds lists seeds that have failed before, with the cause. They run each time.
var regressionSeeds = []uint64{
	122, // fault of this package: a server was closed before it served, and its address was still in use
	23,  // fault of this package: a host that was started right after a kill stayed down
}

// stopSeeds are the regressionSeeds of runs of planned stops.
var stopSeeds = []uint64{
	4, // a stream whose body came late in a planned stop was passed on, and cut
}

func TestSoak(t *testing.T) { runSeeds(t, regressionSeeds, soak.Options{Duration: *runTime}) }

// TestPlannedStopsCutNoAnswers guards against answers that planned stops cut although their servers
// had time to finish.
func TestPlannedStopsCutNoAnswers(t *testing.T) {
	runSeeds(t, stopSeeds, soak.Options{Duration: max(*runTime, minStopsTime), Stops: true})
}

// runSeeds runs some seeds and those of the flags.
func runSeeds(t *testing.T, seeds []uint64, opts soak.Options) {
	dir := *keepDir
	if dir == "" {
		dir = t.TempDir()
	}
	binary := filepath.Join(t.TempDir(), "slipcrankd")
	if out, err := exec.Command("go", "build", "-o", binary, "slipcrank.example/cmd/slipcrankd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for n := range *seedCount {
		seeds = append(seeds, *firstSeed+n)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			seedDir := filepath.Join(dir, t.Name())
			if err := os.MkdirAll(seedDir, 0o700); err != nil {
				t.Fatal(err)
			}
			opts := opts
			opts.Seed, opts.Hosts, opts.Binary, opts.Dir = seed, *hostsPerHall, binary, seedDir
			violations, err := soak.Run(opts)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range violations {
				t.Error(v)
			}
		})
	}
}
