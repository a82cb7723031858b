package schedule

import (
	"fmt"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
)

func plainServers(n int) []backend.Server {
	var out []backend.Server
	for i := range n {
		out = append(out, backend.Server{ID: fmt.Sprintf("s%d", i), Service: "plain", Slots: 2})
	}
	return out
}

// TestCopiesMeet places a request and then another one, which may be a copy.
func TestCopiesMeet(t *testing.T) {
	first := Request{Fingerprint: 7, Objective: time.Second}
	for name, tc := range map[string]struct {
		then  Request
		after time.Duration
		same  bool
		ok    bool
	}{
		"a copy":                 {Request{Fingerprint: 7, Objective: time.Second}, 0, true, true},
		"another request":        {Request{Fingerprint: 8, Objective: time.Second}, 0, false, true},
		"a copy of a late one":   {Request{Fingerprint: 7, Objective: time.Second}, 2 * time.Second, false, true},
		"a suspect's copy":       {Request{Fingerprint: 7, Isolated: true}, 0, true, true},
		"a copy that runs alone": {Request{Fingerprint: 7, Isolated: true, OnlyCopy: true}, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(1)
			servers := plainServers(2)
			p, _ := b.Place(0, site.Service{Name: "plain"}, servers, first)
			q, ok := b.Place(tc.after, site.Service{Name: "plain"}, servers, tc.then)
			if ok != tc.ok || ok && (p.Lead == q.Lead) != tc.same {
				t.Errorf("on %s after %s, placed %v", q.Lead, p.Lead, ok)
			}
		})
	}
}

// TestSuspectsRunApart places suspects on a few servers at several hosts that
// haven't heard of each other yet.
func TestSuspectsRunApart(t *testing.T) {
	servers := plainServers(6)
	used := map[string]bool{}
	b := New(1)
	for n := range servers {
		p, ok := b.Place(0, site.Service{Name: "plain"}, servers, Request{Fingerprint: uint64(n) + 1, Isolated: true, OnlyCopy: true})
		if !ok || used[p.Lead] {
			t.Errorf("suspect %d: placed %v on %q", n, ok, p.Lead)
		}
		used[p.Lead] = true
	}
	if p, ok := b.Place(0, site.Service{Name: "plain"}, servers, Request{Fingerprint: 99, Isolated: true, OnlyCopy: true}); ok {
		t.Errorf("one more than there are servers is placed on %s", p.Lead)
	}
	if _, ok := b.Place(0, site.Service{Name: "plain"}, servers, Request{Fingerprint: 99, Isolated: true}); !ok {
		t.Error("one more, which need not be single, is not placed")
	}
	met := map[string]bool{}
	for host := range uint32(5) {
		p, _ := New(host+2).Place(0, site.Service{Name: "plain"}, servers, Request{Fingerprint: 5, Isolated: true, CopiesFailed: true})
		met[p.Lead] = true
	}
	if len(met) != 1 {
		t.Errorf("copies of a suspect at five hosts go to %v", met)
	}
}

// TestSuspectsOfOneWorkspaceTakeFewServers places suspects of one workspace, and one
// of another one, which finds a server without any.
func TestSuspectsOfOneWorkspaceTakeFewServers(t *testing.T) {
	for name, tc := range map[string]struct{ servers, want int }{
		"three servers": {3, 1}, "eight": {8, 2}, "eighteen": {18, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b, used := New(1), map[string]bool{}
			for n := range 2 * tc.servers {
				p, ok := b.Place(0, site.Service{Name: "plain"}, plainServers(tc.servers), Request{Fingerprint: uint64(n) + 1, Workspace: 5, Isolated: true})
				if !ok {
					t.Fatal("not placed")
				}
				used[p.Lead] = true
			}
			if len(used) != tc.want {
				t.Errorf("%d suspects of a workspace run on %d servers, want %d", 2*tc.servers, len(used), tc.want)
			}
			if p, ok := b.Place(0, site.Service{Name: "plain"}, plainServers(tc.servers), Request{Fingerprint: 99, Workspace: 6, Isolated: true, OnlyCopy: true}); !ok || used[p.Lead] {
				t.Errorf("another workspace's is placed %v on %s", ok, p.Lead)
			}
		})
	}
}
