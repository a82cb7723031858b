package reach_test

import (
	"testing"
	"time"

	"slipcrank.example/core/reach"
)

func TestSilenceOfAllOtherHosts(t *testing.T) {
	for name, tc := range map[string]struct {
		heard      []int // seconds
		since, now int
		silent     bool
	}{
		"none heard yet":           {nil, 0, 100, false},
		"heard all the time":       {[]int{0, 1, 2, 3, 4, 5, 6}, 0, 7, false},
		"silent until now":         {[]int{0, 1, 2}, 1, 6, true},
		"silent within the time":   {[]int{0, 1, 6, 7}, 1, 8, true},
		"silent before the time":   {[]int{0, 1, 6, 7, 8}, 7, 9, false},
		"part of it in the time":   {[]int{0, 1, 6, 7}, 5, 7, false},
		"most of it in the time":   {[]int{0, 1, 6, 7}, 3, 7, true},
		"heard once, after a time": {[]int{9}, 0, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := reach.NewSilence(2 * time.Second)
			for _, at := range tc.heard {
				s.Heard(time.Duration(at) * time.Second)
			}
			if got := s.Since(time.Duration(tc.since)*time.Second, time.Duration(tc.now)*time.Second); got != tc.silent {
				t.Errorf("silent: %t, want %t", got, tc.silent)
			}
		})
	}
}
