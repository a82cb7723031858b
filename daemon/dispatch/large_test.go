package dispatch

import "testing"

func TestPollsEngines(t *testing.T) {
	some := []string{"an engine"}
	for name, tc := range map[string]struct {
		try     int
		awaited []string
		polls   bool
	}{
		"first try":           {0, nil, true},
		"waits for an engine": {1, some, false},
		"waits for an engine, after triesPerPoll":   {triesPerPoll, some, true},
		"no engine to wait for":                     {1, nil, true},
		"no engine to wait for, after triesPerPoll": {triesPerPoll + 1, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := pollsEngines(tc.try, tc.awaited); got != tc.polls {
				t.Errorf("polls engines: %v, want %v", got, tc.polls)
			}
		})
	}
}
