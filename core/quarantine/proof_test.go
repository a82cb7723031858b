package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/quarantine"
)

// TestHeldRequestFreesItsWorkspace ends servers under one request until it is held:
// its workspace's others may run anywhere again. Those of one that sends deadly
// request after deadly request may not.
func TestHeldRequestFreesItsWorkspace(t *testing.T) {
	for name, tc := range map[string]struct {
		held, ends int // requests that are held, and ends under one that isn't yet
		want       bool
	}{
		"one held":                 {1, 0, false},
		"two held":                 {2, 0, false},
		"one held and one end":     {1, 1, false},
		"two held and one end":     {2, 1, true},
		"three held":               {3, 0, true},
		"none held, three servers": {0, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := quarantine.NewRegistry()
			for n := range tc.held {
				for s := range 3 {
					b.AddCrash(request("w", n).Identity(), end(fmt.Sprint(n, s), true), 0)
				}
				if b.Stage(request("w", n).Fingerprint()) != quarantine.Blocked {
					t.Fatal("not held")
				}
			}
			for s := range tc.ends {
				b.AddCrash(request("w", 100+s).Identity(), end(fmt.Sprint("more", s), true), 0)
			}
			if confined, _ := b.Confined("w", 0); confined != tc.want {
				t.Errorf("confined %v, want %v", confined, tc.want)
			}
		})
	}
}

// TestAnswerFreesItsWorkspace has three requests of a workspace end a server each,
// one of which is then answered.
func TestAnswerFreesItsWorkspace(t *testing.T) {
	b := quarantine.NewRegistry()
	for n := range 3 {
		b.AddCrash(request("w", n).Identity(), end(fmt.Sprint(n), true), 0)
	}
	b.ClearAnswered(request("w", 1).Fingerprint(), 0)
	if confined, _ := b.Confined("w", 0); confined {
		t.Error("confined by the server that ended under an answered request")
	}
}

func TestWitnesses(t *testing.T) {
	hosts := []quarantine.Host{{1, "a"}, {2, "a"}, {3, "a"}, {4, "b"}, {5, "b"}, {6, "c"}}
	for name, tc := range map[string]struct {
		hall string
		by   uint32
		from []uint32
		want int
	}{
		"found from another hall":      {"a", 4, []uint32{1, 2, 3}, 2},
		"found in the hall":            {"a", 1, []uint32{2, 3}, 2},
		"the only one in the hall":     {"c", 6, []uint32{1, 2, 3, 4, 5}, 2},
		"one host in the hall":         {"c", 1, []uint32{6}, 1},
		"nobody in the hall":           {"d", 1, nil, 0},
		"found by one that isn't here": {"b", 9, []uint32{4, 5}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			for server := range uint32(50) {
				got := quarantine.Witnesses(server, tc.hall, tc.by, hosts)
				if len(got) != tc.want || slices.ContainsFunc(got, func(n uint32) bool { return !slices.Contains(tc.from, n) }) {
					t.Fatalf("witnesses %v, want %d of %v", got, tc.want, tc.from)
				}
				turned := slices.Clone(hosts)
				slices.Reverse(turned)
				if again := quarantine.Witnesses(server, tc.hall, tc.by, turned); !slices.Equal(got, again) {
					t.Fatalf("witnesses %v and, in another order, %v", got, again)
				}
			}
		})
	}
}

// TestRosterTellsEndsFromCuts has servers leave the list, and asks for the first.
func TestRosterTellsEndsFromCuts(t *testing.T) {
	all := []quarantine.Instance{
		{ID: "s1", Name: "s1", Hall: "a"}, {ID: "s2", Name: "s2", Hall: "a"}, {ID: "s3", Name: "s3", Hall: "a"},
		{ID: "s4", Name: "s4", Hall: "b"}, {ID: "s5", Name: "s5", Hall: "b"},
	}
	for name, tc := range map[string]struct {
		then  []quarantine.Instance
		after time.Duration
		want  quarantine.Listing
	}{
		"stays":                      {all, 2 * time.Second, quarantine.Listed},
		"left, others of it stay":    {all[1:], 2 * time.Second, quarantine.Terminated},
		"left just now":              {all[1:], time.Second, quarantine.Inconclusive},
		"its whole hall left":        {all[3:], 2 * time.Second, quarantine.Inconclusive},
		"most of its hall left":      {all[2:], 2 * time.Second, quarantine.Inconclusive},
		"started again":              {append([]quarantine.Instance{{ID: "s1@2", Name: "s1", Hall: "a"}}, all[1:]...), 0, quarantine.Terminated},
		"started again, alone in it": {append([]quarantine.Instance{{ID: "s1@2", Name: "s1", Hall: "a"}}, all[3:]...), 0, quarantine.Terminated},
	} {
		t.Run(name, func(t *testing.T) {
			r := quarantine.NewRoster()
			r.Update(all, 0)
			r.Update(tc.then, time.Second)
			if got := r.Listing(quarantine.ServerDigest("s1"), time.Second+tc.after); got != tc.want {
				t.Errorf("says %v, want %v", got, tc.want)
			}
		})
	}
}

// TestProofReachesAllRequests proves the end of a server under two requests, whose
// records then say so to others.
func TestProofReachesAllRequests(t *testing.T) {
	b := quarantine.NewRegistry()
	for n := range 2 {
		e := end("s", false)
		e.Confirmed = false
		b.AddCrash(request("w", n).Identity(), e, 0)
	}
	rs, _ := b.ConfirmCrash(quarantine.ServerDigest("s"), time.Second)
	if len(rs) != 2 || rs[0].HasUnconfirmed() || rs[1].HasUnconfirmed() {
		t.Errorf("proved %+v", rs)
	}
	if again, _ := b.ConfirmCrash(quarantine.ServerDigest("s"), time.Second); len(again) > 0 {
		t.Error("proved twice")
	}
}
