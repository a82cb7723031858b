package upkeep

import (
	"context"
	"fmt"
	"testing"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/member"
	"slipcrank.example/daemon/control"
)

// TestStartOrderIsATree works out the order at each of a hall's daemons.
func TestStartOrderIsATree(t *testing.T) {
	for name, n := range map[string]int{"one": 1, "today": 3, "full size": 74} {
		t.Run(name, func(t *testing.T) {
			list := []hosts.Host{
				{Addr: "leaving", Hall: "oslo-a", Role: hosts.Entry, Leaving: true},
				{Addr: "elsewhere", Hall: "oslo-b", Role: hosts.Entry},
				{Addr: "engine", Hall: "oslo-a", Role: hosts.Engine},
			}
			for i := range n {
				list = append(list, hosts.Host{Addr: fmt.Sprint("daemon-", i), Hall: "oslo-a", Role: hosts.Entry})
			}
			first, deepest := 0, 0
			children := map[string]int{}
			for i := range n {
				before := predecessors(viewOf(t, fmt.Sprint("daemon-", i), list))
				deepest = max(deepest, len(before))
				if len(before) == 0 {
					first++
					continue
				}
				children[before[0]]++
			}
			if first != 1 {
				t.Errorf("%d of %d daemons read the platform at once, want 1", first, n)
			}
			for a, c := range children {
				if c > startChildren {
					t.Errorf("%d daemons wait for %s, want at most %d", c, a, startChildren)
				}
			}
			if deepest > 4 {
				t.Errorf("a daemon waits behind %d others", deepest)
			}
		})
	}
	if b := predecessors(viewOf(t, "unlisted", []hosts.Host{{Addr: "a", Hall: "oslo-a", Role: hosts.Entry}})); len(b) != 0 {
		t.Errorf("a daemon that is not listed yet waits for %v", b)
	}
}

func viewOf(t *testing.T, self string, list []hosts.Host) *control.View {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := control.New(member.Member{Addr: self, Hall: "oslo-a", Incarnation: 1})
	go l.Run(ctx)
	for range 2 { // the view is out once a second function has run
		l.Do(ctx, func(s *control.State) { s.SetHosts(list) })
	}
	return l.View()
}
