package reach_test

import (
	"testing"
	"time"

	"slipcrank.example/core/reach"
)

// TestServerIsDownOnlyIfOthersAreReachedMeanwhile probes a server over a path that changes between the probes.
func TestServerIsDownOnlyIfOthersAreReachedMeanwhile(t *testing.T) {
	const up, down = true, false
	for name, tc := range map[string]struct {
		crashed bool
		path    []bool // at each probe in turn
		want    bool
	}{
		"crash, sound path":        {true, []bool{up, up, up}, true},
		"no crash, sound path":     {false, []bool{up, up, up}, false},
		"no path":                  {false, []bool{down, down, down}, false},
		"crash, no path":           {true, []bool{down, down, down}, false},
		"path back after a probe":  {false, []bool{down, up, up}, false},
		"path lost after a probe":  {false, []bool{up, down, down}, false},
		"path back after a second": {false, []bool{down, down, up}, false},
	} {
		t.Run(name, func(t *testing.T) {
			probes := 0
			probe := func(since time.Duration) bool {
				if since != time.Duration(probes) {
					t.Errorf("probe %d may be as old as %d", probes, since)
				}
				probes++
				return tc.path[probes-1]
			}
			d := reach.DownCheck{
				Now:          func() time.Duration { return time.Duration(probes) },
				Refused:      func(since time.Duration) bool { return !probe(since) || tc.crashed },
				ReachesOther: probe,
			}
			if got := d.Down(); got != tc.want {
				t.Errorf("down %t, want %t", got, tc.want)
			}
		})
	}
}
