package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/quarantine"
)

func request(workspace string, n int) quarantine.Request {
	return quarantine.Request{
		Workspace: workspace, Key: "k", Method: "POST", Host: "shop.example",
		Target: fmt.Sprintf("/caption/%d", n), Body: []byte("body"),
	}
}

// confirmedCrash returns a confirmed crash of a server.
func confirmedCrash(server string, isolated bool) quarantine.Crash {
	return quarantine.Crash{Server: quarantine.ServerDigest(server), Reporter: 1, Isolated: isolated, Confirmed: true}
}

func TestStage(t *testing.T) {
	unconfirmed := func(server string, isolated bool) quarantine.Crash {
		c := confirmedCrash(server, isolated)
		c.Confirmed = false
		return c
	}
	for name, tc := range map[string]struct {
		crashes []quarantine.Crash
		want    quarantine.Stage
	}{
		"none":                                {nil, quarantine.Clear},
		"one":                                 {[]quarantine.Crash{confirmedCrash("a", false)}, quarantine.Suspect},
		"one, seen by several calls":          {[]quarantine.Crash{confirmedCrash("a", false), confirmedCrash("a", false), confirmedCrash("a", true)}, quarantine.Suspect},
		"two":                                 {[]quarantine.Crash{confirmedCrash("a", false), confirmedCrash("b", false)}, quarantine.Serialized},
		"three, none isolated":                {[]quarantine.Crash{confirmedCrash("a", false), confirmedCrash("b", false), confirmedCrash("c", false)}, quarantine.Serialized},
		"three, one isolated":                 {[]quarantine.Crash{confirmedCrash("a", false), confirmedCrash("b", false), confirmedCrash("c", true)}, quarantine.Blocked},
		"four, all but first isolated":        {[]quarantine.Crash{confirmedCrash("a", false), confirmedCrash("b", true), confirmedCrash("c", true), confirmedCrash("d", true)}, quarantine.Blocked},
		"three, none confirmed":               {[]quarantine.Crash{unconfirmed("a", true), unconfirmed("b", true), unconfirmed("c", true)}, quarantine.Suspect},
		"three, one confirmed":                {[]quarantine.Crash{confirmedCrash("a", true), unconfirmed("b", true), unconfirmed("c", true)}, quarantine.Serialized},
		"three, one confirmed later":          {[]quarantine.Crash{unconfirmed("a", true), confirmedCrash("a", false), confirmedCrash("b", false), confirmedCrash("c", false)}, quarantine.Blocked},
		"four, only isolated one unconfirmed": {[]quarantine.Crash{confirmedCrash("a", false), confirmedCrash("b", false), confirmedCrash("c", false), unconfirmed("d", true)}, quarantine.Serialized},
	} {
		t.Run(name, func(t *testing.T) {
			reg, r := quarantine.NewRegistry(), request("w", 1)
			for n, c := range tc.crashes {
				now := time.Duration(n) * time.Second
				reg.AddCrash(r.Identity(), c, now)
			}
			if got := reg.Stage(r.Fingerprint()); got != tc.want {
				t.Errorf("stage %v, want %v", got, tc.want)
			}
			if reg.MayContain(r.HeadHash()) != (tc.want != quarantine.Clear) {
				t.Errorf("may contain the head hash: %v", reg.MayContain(r.HeadHash()))
			}
		})
	}
}

// TestMergeIsCommutativeAndIdempotent merges the records of three crashes in different
// orders, some of them twice.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	r := request("w", 1)
	var records []quarantine.Record
	for n, server := range []string{"a", "b", "c"} {
		reg := quarantine.NewRegistry()
		reg.AddCrash(r.Identity(), confirmedCrash(server, n == 1), 0)
		records = append(records, reg.OwnRecords(0)[0].Record)
	}
	for name, order := range map[string][]int{"in order": {0, 1, 2}, "in reverse order": {2, 1, 0}, "with duplicates": {1, 0, 1, 2, 2, 0}} {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.NewRegistry()
			for _, n := range order {
				if err := records[n].Validate(); err != nil {
					t.Error(err)
				}
				reg.Merge(records[n], 0)
			}
			if got := reg.Stage(r.Fingerprint()); got != quarantine.Blocked {
				t.Errorf("stage %v, want held", got)
			}
		})
	}
}

// TestReconcileDropsCrashesOfListedServers records crashes of servers that stay on the
// platform's list long after, as a host does that forges reports or is cut off.
func TestReconcileDropsCrashesOfListedServers(t *testing.T) {
	for name, tc := range map[string]struct {
		listed []string
		want   quarantine.Stage
	}{
		"none listed":   {nil, quarantine.Blocked},
		"one listed":    {[]string{"a"}, quarantine.Serialized},
		"all listed":    {[]string{"a", "b", "c"}, quarantine.Clear},
		"others listed": {[]string{"x", "y"}, quarantine.Blocked},
	} {
		t.Run(name, func(t *testing.T) {
			r, reg := request("w", 1), quarantine.NewRegistry()
			for _, s := range []string{"a", "b", "c"} {
				reg.AddCrash(r.Identity(), confirmedCrash(s, true), 0)
			}
			for now := 7 * time.Second; now < 20*time.Second; now += time.Second {
				if now == 8*time.Second && reg.Stage(r.Fingerprint()) != quarantine.Blocked {
					t.Error("crash dropped after its server was found on the list for one second")
				}
				reg.Reconcile(func(s uint32) quarantine.Listing {
					if slices.ContainsFunc(tc.listed, func(id string) bool { return quarantine.ServerDigest(id) == s }) {
						return quarantine.Listed
					}
					return quarantine.Inconclusive
				}, now)
			}
			if got := reg.Stage(r.Fingerprint()); got != tc.want {
				t.Errorf("stage %v, want %v", got, tc.want)
			}
		})
	}
}

// TestWorkspaceEvictsOnlyOwnSuspects adds thousands of suspects of one workspace beside
// a single one of another workspace.
func TestWorkspaceEvictsOnlyOwnSuspects(t *testing.T) {
	reg, other := quarantine.NewRegistry(), request("other", 0)
	reg.AddCrash(other.Identity(), confirmedCrash("first", false), 0)
	for n := range 5000 {
		now := time.Duration(n) * time.Millisecond
		reg.AddCrash(request("flood", n).Identity(), confirmedCrash(fmt.Sprint(n), false), now)
	}
	if got := reg.Stage(other.Fingerprint()); got != quarantine.Suspect {
		t.Errorf("the other workspace's suspect is in stage %v", got)
	}
	if n := len(reg.Records()); n > 200 {
		t.Errorf("the registry holds %d suspects", n)
	}
}

// TestConfined adds crashes under different requests of one workspace.
func TestConfined(t *testing.T) {
	for name, tc := range map[string]struct {
		workspace        string
		crashes          int
		isolated         bool
		after            time.Duration
		confined, paused bool
	}{
		"two crashes":         {"w", 2, true, 0, false, false},
		"three":               {"w", 3, true, 0, true, true},
		"a second later":      {"w", 3, true, time.Second, true, false},
		"a minute later":      {"w", 3, true, time.Minute, false, false},
		"three, not isolated": {"w", 3, false, 0, false, false},
		"without a workspace": {"", 3, true, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			reg := quarantine.NewRegistry()
			for n := range tc.crashes {
				reg.AddCrash(request(tc.workspace, n).Identity(), confirmedCrash(fmt.Sprint(n), tc.isolated), 0)
			}
			if confined, paused := reg.Confined(tc.workspace, tc.after); confined != tc.confined || paused != tc.paused {
				t.Errorf("confined %v, paused %v, want %v, %v", confined, paused, tc.confined, tc.paused)
			}
			if confined, _ := reg.Confined("other", tc.after); confined {
				t.Error("another workspace is confined")
			}
		})
	}
}

// TestFingerprintCoversAllFields changes one field of a request at a time, so that no
// caller can craft a request with the fingerprint of another caller's.
func TestFingerprintCoversAllFields(t *testing.T) {
	r := request("w", 1)
	for name, change := range map[string]func(*quarantine.Request){
		"workspace": func(r *quarantine.Request) { r.Workspace = "v" },
		"key":       func(r *quarantine.Request) { r.Key = "l" },
		"method":    func(r *quarantine.Request) { r.Method = "PUT" },
		"host":      func(r *quarantine.Request) { r.Host = "other.example" },
		"path":      func(r *quarantine.Request) { r.Target = "/caption/2" },
		"body":      func(r *quarantine.Request) { r.Body = []byte("ydob") },
		"field boundary moved": func(r *quarantine.Request) {
			r.Workspace, r.Key = "", "w"+r.Key
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := r
			change(&o)
			if o.Fingerprint() == r.Fingerprint() {
				t.Error("fingerprint unchanged")
			}
		})
	}
}

// BenchmarkHeadHash measures the cost added to every request: 123 ns without
// allocations, whatever the size of the body.
func BenchmarkHeadHash(b *testing.B) {
	r := request("workspace-7", 1)
	r.Body = make([]byte, 1<<20)
	for b.Loop() {
		_ = r.HeadHash()
	}
}

// BenchmarkFingerprint measures the additional cost of a request whose head hash matches
// a suspect: 0.79 ms for a body of 1 MiB.
func BenchmarkFingerprint(b *testing.B) {
	r := request("workspace-7", 1)
	r.Body = make([]byte, 1<<20)
	for b.Loop() {
		_ = r.Fingerprint()
	}
}
