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
func end(server string, apart bool) quarantine.End {
	return quarantine.End{Server: quarantine.ServerOf(server), By: 1, Apart: apart, Proved: true}
}

func TestStage(t *testing.T) {
	claimed := func(server string, apart bool) quarantine.End {
		e := end(server, apart)
		e.Proved = false
		return e
	}
	for name, tc := range map[string]struct {
		ends []quarantine.End
		want quarantine.Stage
	}{
		"none":                        {nil, quarantine.Clear},
		"one":                         {[]quarantine.End{end("a", false)}, quarantine.Suspect},
		"one, seen by several calls":  {[]quarantine.End{end("a", false), end("a", false), end("a", true)}, quarantine.Suspect},
		"two":                         {[]quarantine.End{end("a", false), end("b", false)}, quarantine.Doubtful},
		"three, none of them apart":   {[]quarantine.End{end("a", false), end("b", false), end("c", false)}, quarantine.Doubtful},
		"three, one of them apart":    {[]quarantine.End{end("a", false), end("b", false), end("c", true)}, quarantine.Held},
		"four, the first of them not": {[]quarantine.End{end("a", false), end("b", true), end("c", true), end("d", true)}, quarantine.Held},
		"three, none of them proved":  {[]quarantine.End{claimed("a", true), claimed("b", true), claimed("c", true)}, quarantine.Suspect},
		"three, one of them proved":   {[]quarantine.End{end("a", true), claimed("b", true), claimed("c", true)}, quarantine.Doubtful},
		"three, proved later":         {[]quarantine.End{claimed("a", true), end("a", false), end("b", false), end("c", false)}, quarantine.Held},
		"three, the one apart isn't":  {[]quarantine.End{end("a", false), end("b", false), end("c", false), claimed("d", true)}, quarantine.Doubtful},
	} {
		t.Run(name, func(t *testing.T) {
			b, r := quarantine.NewBook(), request("w", 1)
			for n, e := range tc.ends {
				now := time.Duration(n) * time.Second
				b.Ended(r.Identity(), e, now)
			}
			if got := b.Stage(r.Print()); got != tc.want {
				t.Errorf("stage %v, want %v", got, tc.want)
			}
			if b.Knows(r.Mark()) != (tc.want != quarantine.Clear) {
				t.Errorf("knows its mark: %v", b.Knows(r.Mark()))
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
		b := quarantine.NewBook()
		b.Ended(r.Identity(), end(server, n == 1), 0)
		told = append(told, b.Own(0)[0].Record)
	}
	for name, order := range map[string][]int{"in order": {0, 1, 2}, "back": {2, 1, 0}, "twice": {1, 0, 1, 2, 2, 0}} {
		t.Run(name, func(t *testing.T) {
			b := quarantine.NewBook()
			for _, n := range order {
				if err := told[n].Validate(); err != nil {
					t.Error(err)
				}
				b.Hear(told[n], 0)
			}
			if got := b.Stage(r.Print()); got != quarantine.Held {
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
		"all gone":    {nil, quarantine.Held},
		"one listed":  {[]string{"a"}, quarantine.Doubtful},
		"all listed":  {[]string{"a", "b", "c"}, quarantine.Clear},
		"some others": {[]string{"x", "y"}, quarantine.Held},
	} {
		t.Run(name, func(t *testing.T) {
			r, b := request("w", 1), quarantine.NewBook()
			for _, s := range []string{"a", "b", "c"} {
				b.Ended(r.Identity(), end(s, true), 0)
			}
			for now := 7 * time.Second; now < 20*time.Second; now += time.Second {
				if now == 8*time.Second && b.Stage(r.Print()) != quarantine.Held {
					t.Error("what was listed for a second is believed to live")
				}
				b.Check(func(s uint32) quarantine.Listing {
					if slices.ContainsFunc(tc.listed, func(id string) bool { return quarantine.ServerOf(id) == s }) {
						return quarantine.Listed
					}
					return quarantine.Unsaid
				}, now)
			}
			if got := b.Stage(r.Print()); got != tc.want {
				t.Errorf("stage %v, want %v", got, tc.want)
			}
		})
	}
}

// TestOneWorkspaceFillsNoTable has one workspace send thousands of bad requests
// beside one of another.
func TestOneWorkspaceFillsNoTable(t *testing.T) {
	b, other := quarantine.NewBook(), request("other", 0)
	b.Ended(other.Identity(), end("first", false), 0)
	for n := range 5000 {
		now := time.Duration(n) * time.Millisecond
		b.Ended(request("flood", n).Identity(), end(fmt.Sprint(n), false), now)
	}
	if got := b.Stage(other.Print()); got != quarantine.Suspect {
		t.Errorf("the other workspace's suspect is %v", got)
	}
	if n := len(b.All()); n > 200 {
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
			b := quarantine.NewBook()
			for n := range tc.ends {
				b.Ended(request(tc.workspace, n).Identity(), end(fmt.Sprint(n), tc.apart), 0)
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
			if o.Print() == r.Print() {
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
		_ = r.Mark()
	}
}

// BenchmarkPrint is what a request with a body of 1 MiB costs that looks like a
// suspect: 0.79 ms.
func BenchmarkPrint(b *testing.B) {
	r := request("workspace-7", 1)
	r.Body = make([]byte, 1<<20)
	for b.Loop() {
		_ = r.Print()
	}
}
