package upkeep

import (
	"context"
	"fmt"
	"testing"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/member"
	"slipcrank.example/daemon/control"
)

// TestStartOrderIsATree computes the predecessors of each daemon of a hall, and
// checks that together they form one tree of limited fan-out and depth.
func TestStartOrderIsATree(t *testing.T) {
	for name, n := range map[string]int{"one daemon": 1, "three daemons": 3, "full size": 74} {
		t.Run(name, func(t *testing.T) {
			list := []hosts.Host{
				{Addr: "leaving", Hall: "oslo-a", Role: hosts.Entry, Leaving: true},
				{Addr: "other hall", Hall: "oslo-b", Role: hosts.Entry},
				{Addr: "engine", Hall: "oslo-a", Role: hosts.Engine},
			}
			for i := range n {
				list = append(list, hosts.Host{Addr: fmt.Sprint("daemon-", i), Hall: "oslo-a", Role: hosts.Entry})
			}
			roots, maxDepth := 0, 0
			children := map[string]int{}
			for i := range n {
				before := predecessors(viewWithHosts(t, fmt.Sprint("daemon-", i), list))
				maxDepth = max(maxDepth, len(before))
				if len(before) == 0 {
					roots++
					continue
				}
				children[before[0]]++
			}
			if roots != 1 {
				t.Errorf("%d of %d daemons have no predecessor, want 1", roots, n)
			}
			for a, c := range children {
				if c > startFanOut {
					t.Errorf("%d daemons wait for %s, want at most %d", c, a, startFanOut)
				}
			}
			if maxDepth > 4 {
				t.Errorf("a daemon has %d predecessors, want at most 4", maxDepth)
			}
		})
	}
	if b := predecessors(viewWithHosts(t, "unlisted", []hosts.Host{{Addr: "a", Hall: "oslo-a", Role: hosts.Entry}})); len(b) != 0 {
		t.Errorf("a daemon that is not in the host list waits for %v", b)
	}
}

func viewWithHosts(t *testing.T, self string, list []hosts.Host) *control.View {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := control.New(member.Member{Addr: self, Hall: "oslo-a", Incarnation: 1})
	go l.Run(ctx)
	for range 2 { // the view is published once a second function has run
		l.Do(ctx, func(s *control.State) { s.SetHosts(list) })
	}
	return l.View()
}
