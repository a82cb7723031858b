package drain_test

import (
	"testing"
	"time"

	"slipcrank.example/core/drain"
)

func TestAllows(t *testing.T) {
	begun := time.Now()
	p := drain.Plan{RefuseFrom: begun.Add(2 * time.Second), End: begun.Add(7 * time.Second)}
	const s = time.Second
	for name, tc := range map[string]struct {
		at      time.Duration
		request drain.Request
		want    bool
	}{
		"short stream at first":               {0, drain.Request{Stream: true, Expected: s, Left: 10 * s}, true},
		"stream longer than the stop":         {0, drain.Request{Stream: true, Expected: 8 * s, Left: 10 * s}, false},
		"stream that its deadline ends":       {0, drain.Request{Stream: true, Expected: 8 * s, Left: 6 * s}, true},
		"short stream late":                   {2 * s, drain.Request{Stream: true, Expected: s, Left: s}, false},
		"resumed stream late":                 {2 * s, drain.Request{Stream: true, Continued: true, Expected: s, Left: 9 * s}, true},
		"resumed stream too late":             {6500 * time.Millisecond, drain.Request{Stream: true, Continued: true, Expected: s, Left: 9 * s}, false},
		"call late, with its deadline in it":  {2 * s, drain.Request{Expected: s, Left: 4 * s}, true},
		"call late, with a deadline after it": {2 * s, drain.Request{Expected: s, Left: 6 * s}, false},
		"fast call before the end":            {6 * s, drain.Request{Expected: 5 * time.Millisecond, Left: s}, true},
		"resumed fast call at the end":        {6950 * time.Millisecond, drain.Request{Continued: true, Expected: 5 * time.Millisecond, Left: 9 * s}, false},
		"call after the end":                  {8 * s, drain.Request{Expected: 0, Left: s}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := p.Allows(begun.Add(tc.at), tc.request); got != tc.want {
				t.Errorf("Allows = %t, want %t", got, tc.want)
			}
		})
	}
}
