package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/quarantine"
)

// TestBlockedRequestCountsOnceForConfinement adds crashes under some requests until
// they are blocked, and crashes under others that are not blocked yet. A single blocked
// request must not leave its workspace confined, but a series of fatal requests must.
func TestBlockedRequestCountsOnceForConfinement(t *testing.T) {
	for name, tc := range map[string]struct {
		blocked, crashes int // blocked requests, and crashes under requests that are not blocked
		want             bool
	}{
		"one blocked":                 {1, 0, false},
		"two blocked":                 {2, 0, false},
		"one blocked and one crash":   {1, 1, false},
		"two blocked and one crash":   {2, 1, true},
		"three blocked":               {3, 0, true},
		"none blocked, three crashes": {0, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.NewRegistry()
			for n := range tc.blocked {
				for s := range 3 {
					reg.AddCrash(request("w", n).Identity(), confirmedCrash(fmt.Sprint(n, s), true), 0)
				}
				if reg.Stage(request("w", n).Fingerprint()) != quarantine.Blocked {
					t.Fatal("not blocked")
				}
			}
			for s := range tc.crashes {
				reg.AddCrash(request("w", 100+s).Identity(), confirmedCrash(fmt.Sprint("more", s), true), 0)
			}
			if confined, _ := reg.Confined("w", 0); confined != tc.want {
				t.Errorf("confined %v, want %v", confined, tc.want)
			}
		})
	}
}

// TestAnswerEndsConfinement adds crashes under three requests of a workspace, one of
// which is answered later.
func TestAnswerEndsConfinement(t *testing.T) {
	reg := quarantine.NewRegistry()
	for n := range 3 {
		reg.AddCrash(request("w", n).Identity(), confirmedCrash(fmt.Sprint(n), true), 0)
	}
	reg.ClearAnswered(request("w", 1).Fingerprint(), 0)
	if confined, _ := reg.Confined("w", 0); confined {
		t.Error("confined because of a crash under an answered request")
	}
}

func TestWitnesses(t *testing.T) {
	hosts := []quarantine.Host{{1, "a"}, {2, "a"}, {3, "a"}, {4, "b"}, {5, "b"}, {6, "c"}}
	for name, tc := range map[string]struct {
		hall     string
		reporter uint32
		from     []uint32
		want     int
	}{
		"reporter in another hall":     {"a", 4, []uint32{1, 2, 3}, 2},
		"reporter in the hall":         {"a", 1, []uint32{2, 3}, 2},
		"reporter alone in the hall":   {"c", 6, []uint32{1, 2, 3, 4, 5}, 2},
		"one other host in the hall":   {"c", 1, []uint32{6}, 1},
		"no host in the hall":          {"d", 1, nil, 0},
		"reporter not among the hosts": {"b", 9, []uint32{4, 5}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			for server := range uint32(50) {
				got := quarantine.Witnesses(server, tc.hall, tc.reporter, hosts)
				if len(got) != tc.want || slices.ContainsFunc(got, func(n uint32) bool { return !slices.Contains(tc.from, n) }) {
					t.Fatalf("witnesses %v, want %d of %v", got, tc.want, tc.from)
				}
				reversed := slices.Clone(hosts)
				slices.Reverse(reversed)
				if again := quarantine.Witnesses(server, tc.hall, tc.reporter, reversed); !slices.Equal(got, again) {
					t.Fatalf("witnesses %v, but %v with the hosts in reverse order", got, again)
				}
			}
		})
	}
}

// TestRosterDistinguishesCrashFromPartition has servers leave the list, and checks the
// listing of the first. A hall that is cut off must not look like crashed servers.
func TestRosterDistinguishesCrashFromPartition(t *testing.T) {
	all := []quarantine.Instance{
		{ID: "s1", Name: "s1", Hall: "a"}, {ID: "s2", Name: "s2", Hall: "a"}, {ID: "s3", Name: "s3", Hall: "a"},
		{ID: "s4", Name: "s4", Hall: "b"}, {ID: "s5", Name: "s5", Hall: "b"},
	}
	for name, tc := range map[string]struct {
		then  []quarantine.Instance
		after time.Duration
		want  quarantine.Listing
	}{
		"still listed":                  {all, 2 * time.Second, quarantine.Listed},
		"left, rest of its hall listed": {all[1:], 2 * time.Second, quarantine.Terminated},
		"left less than 1.2 s ago":      {all[1:], time.Second, quarantine.Inconclusive},
		"whole hall left":               {all[3:], 2 * time.Second, quarantine.Inconclusive},
		"most of its hall left":         {all[2:], 2 * time.Second, quarantine.Inconclusive},
		"restarted":                     {append([]quarantine.Instance{{ID: "s1@2", Name: "s1", Hall: "a"}}, all[1:]...), 0, quarantine.Terminated},
		"restarted, rest of hall left":  {append([]quarantine.Instance{{ID: "s1@2", Name: "s1", Hall: "a"}}, all[3:]...), 0, quarantine.Terminated},
	} {
		t.Run(name, func(t *testing.T) {
			r := quarantine.NewRoster()
			r.Update(all, 0)
			r.Update(tc.then, time.Second)
			if got := r.Listing(quarantine.ServerDigest("s1"), time.Second+tc.after); got != tc.want {
				t.Errorf("listing %v, want %v", got, tc.want)
			}
		})
	}
}

// TestConfirmCrashUpdatesAllRequests confirms the crash of a server that was running two
// requests, and checks the records that are sent to other hosts.
func TestConfirmCrashUpdatesAllRequests(t *testing.T) {
	reg := quarantine.NewRegistry()
	for n := range 2 {
		c := confirmedCrash("s", false)
		c.Confirmed = false
		reg.AddCrash(request("w", n).Identity(), c, 0)
	}
	rs, _ := reg.ConfirmCrash(quarantine.ServerDigest("s"), time.Second)
	if len(rs) != 2 || rs[0].HasUnconfirmed() || rs[1].HasUnconfirmed() {
		t.Errorf("updated records %+v", rs)
	}
	if again, _ := reg.ConfirmCrash(quarantine.ServerDigest("s"), time.Second); len(again) > 0 {
		t.Error("confirmed twice")
	}
}
