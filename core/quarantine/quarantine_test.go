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

// end is a server's end that is proved.
func end(server string, apart bool) quarantine.Crash {
	return quarantine.Crash{Server: quarantine.ServerDigest(server), Reporter: 1, Isolated: apart, Confirmed: true}
}

func TestStage(t *testing.T) {
	claimed := func(server string, apart bool) quarantine.Crash {
		e := end(server, apart)
		e.Confirmed = false
		return e
	}
	for name, tc := range map[string]struct {
		ends []quarantine.Crash
		want quarantine.Stage
	}{
		"none":                        {nil, quarantine.Clear},
		"one":                         {[]quarantine.Crash{end("a", false)}, quarantine.Suspect},
		"one, seen by several calls":  {[]quarantine.Crash{end("a", false), end("a", false), end("a", true)}, quarantine.Suspect},
		"two":                         {[]quarantine.Crash{end("a", false), end("b", false)}, quarantine.Serialized},
		"three, none of them apart":   {[]quarantine.Crash{end("a", false), end("b", false), end("c", false)}, quarantine.Serialized},
		"three, one of them apart":    {[]quarantine.Crash{end("a", false), end("b", false), end("c", true)}, quarantine.Blocked},
		"four, the first of them not": {[]quarantine.Crash{end("a", false), end("b", true), end("c", true), end("d", true)}, quarantine.Blocked},
		"three, none of them proved":  {[]quarantine.Crash{claimed("a", true), claimed("b", true), claimed("c", true)}, quarantine.Suspect},
		"three, one of them proved":   {[]quarantine.Crash{end("a", true), claimed("b", true), claimed("c", true)}, quarantine.Serialized},
		"three, proved later":         {[]quarantine.Crash{claimed("a", true), end("a", false), end("b", false), end("c", false)}, quarantine.Blocked},
		"three, the one apart isn't":  {[]quarantine.Crash{end("a", false), end("b", false), end("c", false), claimed("d", true)}, quarantine.Serialized},
	} {
		t.Run(name, func(t *testing.T) {
			b, r := quarantine.NewRegistry(), request("w", 1)
			for n, e := range tc.ends {
				now := time.Duration(n) * time.Second
				b.AddCrash(r.Identity(), e, now)
			}
			if got := b.Stage(r.Fingerprint()); got != tc.want {
				t.Errorf("stage %v, want %v", got, tc.want)
			}
			if b.MayContain(r.HeadHash()) != (tc.want != quarantine.Clear) {
				t.Errorf("knows its mark: %v", b.MayContain(r.HeadHash()))
			}
		})
	}
}

// TestRecordsMergeInAnyOrder tells two hosts of three ends, each in its own order
// and some twice.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	r := request("w", 1)
	var told []quarantine.Record
	for n, server := range []string{"a", "b", "c"} {
		b := quarantine.NewRegistry()
		b.AddCrash(r.Identity(), end(server, n == 1), 0)
		told = append(told, b.OwnRecords(0)[0].Record)
	}
	for name, order := range map[string][]int{"in order": {0, 1, 2}, "back": {2, 1, 0}, "twice": {1, 0, 1, 2, 2, 0}} {
		t.Run(name, func(t *testing.T) {
			b := quarantine.NewRegistry()
			for _, n := range order {
				if err := told[n].Validate(); err != nil {
					t.Error(err)
				}
				b.Merge(told[n], 0)
			}
			if got := b.Stage(r.Fingerprint()); got != quarantine.Blocked {
				t.Errorf("stage %v, want held", got)
			}
		})
	}
}

// TestListBeliesEnds has another host name servers that the platform's list still
// has long after, as only one does that forges or was cut off.
func TestListBeliesEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		listed []string
		want   quarantine.Stage
	}{
		"all gone":    {nil, quarantine.Blocked},
		"one listed":  {[]string{"a"}, quarantine.Serialized},
		"all listed":  {[]string{"a", "b", "c"}, quarantine.Clear},
		"some others": {[]string{"x", "y"}, quarantine.Blocked},
	} {
		t.Run(name, func(t *testing.T) {
			r, b := request("w", 1), quarantine.NewRegistry()
			for _, s := range []string{"a", "b", "c"} {
				b.AddCrash(r.Identity(), end(s, true), 0)
			}
			for now := 7 * time.Second; now < 20*time.Second; now += time.Second {
				if now == 8*time.Second && b.Stage(r.Fingerprint()) != quarantine.Blocked {
					t.Error("what was listed for a second is believed to live")
				}
				b.Reconcile(func(s uint32) quarantine.Listing {
					if slices.ContainsFunc(tc.listed, func(id string) bool { return quarantine.ServerDigest(id) == s }) {
						return quarantine.Listed
					}
					return quarantine.Inconclusive
				}, now)
			}
			if got := b.Stage(r.Fingerprint()); got != tc.want {
				t.Errorf("stage %v, want %v", got, tc.want)
			}
		})
	}
}

// TestOneWorkspaceFillsNoTable has one workspace send thousands of bad requests
// beside one of another.
func TestOneWorkspaceFillsNoTable(t *testing.T) {
	b, other := quarantine.NewRegistry(), request("other", 0)
	b.AddCrash(other.Identity(), end("first", false), 0)
	for n := range 5000 {
		now := time.Duration(n) * time.Millisecond
		b.AddCrash(request("flood", n).Identity(), end(fmt.Sprint(n), false), now)
	}
	if got := b.Stage(other.Fingerprint()); got != quarantine.Suspect {
		t.Errorf("the other workspace's suspect is %v", got)
	}
	if n := len(b.Records()); n > 200 {
		t.Errorf("%d suspects are kept", n)
	}
}

// TestConfined ends servers under new requests of a workspace, which run apart.
func TestConfined(t *testing.T) {
	for name, tc := range map[string]struct {
		workspace       string
		ends            int
		apart           bool
		after           time.Duration
		confined, waits bool
	}{
		"two ends":            {"w", 2, true, 0, false, false},
		"three":               {"w", 3, true, 0, true, true},
		"a second later":      {"w", 3, true, time.Second, true, false},
		"a minute later":      {"w", 3, true, time.Minute, false, false},
		"three, not apart":    {"w", 3, false, 0, false, false},
		"without a workspace": {"", 3, true, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := quarantine.NewRegistry()
			for n := range tc.ends {
				b.AddCrash(request(tc.workspace, n).Identity(), end(fmt.Sprint(n), tc.apart), 0)
			}
			if confined, waits := b.Confined(tc.workspace, tc.after); confined != tc.confined || waits != tc.waits {
				t.Errorf("confined %v, waits %v, want %v, %v", confined, waits, tc.confined, tc.waits)
			}
			if confined, _ := b.Confined("other", tc.after); confined {
				t.Error("another workspace is confined")
			}
		})
	}
}

// TestNobodyMakesAnothersPrint changes one part of a request at a time.
func TestNobodyMakesAnothersPrint(t *testing.T) {
	r := request("w", 1)
	for name, change := range map[string]func(*quarantine.Request){
		"workspace": func(r *quarantine.Request) { r.Workspace = "v" },
		"key":       func(r *quarantine.Request) { r.Key = "l" },
		"method":    func(r *quarantine.Request) { r.Method = "PUT" },
		"host":      func(r *quarantine.Request) { r.Host = "other.example" },
		"path":      func(r *quarantine.Request) { r.Target = "/caption/2" },
		"body":      func(r *quarantine.Request) { r.Body = []byte("ydob") },
		"a part that moves into the next": func(r *quarantine.Request) {
			r.Workspace, r.Key = "", "w"+r.Key
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := r
			change(&o)
			if o.Fingerprint() == r.Fingerprint() {
				t.Error("has the same print")
			}
		})
	}
}

// BenchmarkMark is what each request costs: 123 ns and nothing allocated, whatever
// its body's size; before, nothing was worked out.
func BenchmarkMark(b *testing.B) {
	r := request("workspace-7", 1)
	r.Body = make([]byte, 1<<20)
	for b.Loop() {
		_ = r.HeadHash()
	}
}

// BenchmarkPrint is what a request with a body of 1 MiB costs that looks like a
// suspect: 0.79 ms.
func BenchmarkPrint(b *testing.B) {
	r := request("workspace-7", 1)
	r.Body = make([]byte, 1<<20)
	for b.Loop() {
		_ = r.Fingerprint()
	}
}
