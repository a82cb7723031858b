package reach_test

import (
	"testing"
	"time"

	"slipcrank.example/core/reach"
)

// TestServerIsDownOnlyIfOthersAreReachedMeanwhile probes a server over a path that changes between the probes.
func TestServerIsDownOnlyIfOthersAreReachedMeanwhile(t *testing.T) {
	const (
		up, down = true, false
		quick    = time.Millisecond
		slow     = time.Second
	)
	for name, tc := range map[string]struct {
		crashed bool
		took    time.Duration // by each probe
		path    []bool        // at each probe in turn
		want    bool
	}{
		"crash, sound path":                     {true, quick, []bool{up, up, up}, true},
		"no crash, sound path":                  {false, quick, []bool{up}, false},
		"no path":                               {false, quick, []bool{down, down}, false},
		"crash, no path":                        {true, quick, []bool{down, down}, false},
		"path back after a probe":               {false, quick, []bool{down, up, up}, false},
		"path lost after a probe":               {false, quick, []bool{up}, false},
		"path back after two":                   {false, quick, []bool{down, down}, false},
		"crash, slow probes":                    {true, slow, []bool{up, up, up, up, up, up, up}, true},
		"path back and lost during slow probes": {false, slow, []bool{down, up, down, down}, false},
		"the same, and back":                    {false, slow, []bool{down, up, down, up, up}, false},
		"the same twice":                        {false, slow, []bool{down, up, down, up, down, down}, false},
	} {
		t.Run(name, func(t *testing.T) {
			probes := 0
			now := func() time.Duration { return time.Duration(probes) * tc.took }
			probe := func(since time.Duration) bool {
				if since != now() {
					t.Errorf("probe %d at %v may be as old as %v", probes, now(), since)
				}
				probes++
				return tc.path[probes-1]
			}
			d := reach.DownCheck{
				Now:          now,
				Refused:      func(since time.Duration) bool { return !probe(since) || tc.crashed },
				ReachesOther: probe,
				RoundTime:    10 * quick,
			}
			if got := d.Down(); got != tc.want || probes != len(tc.path) {
				t.Errorf("down %t after %d probes, want %t after %d", got, probes, tc.want, len(tc.path))
			}
		})
	}
}
