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

// TestCopiesShareServer places a request and then another one, which may be a copy
// of it. Copies on different servers could crash one server each.
func TestCopiesShareServer(t *testing.T) {
	first := Request{HeadHash: 7, Objective: time.Second}
	for name, tc := range map[string]struct {
		then  Request
		after time.Duration
		same  bool
		ok    bool
	}{
		"copy":                           {Request{HeadHash: 7, Objective: time.Second}, 0, true, true},
		"different request":              {Request{HeadHash: 8, Objective: time.Second}, 0, false, true},
		"copy of a late request":         {Request{HeadHash: 7, Objective: time.Second}, 2 * time.Second, false, true},
		"isolated copy":                  {Request{HeadHash: 7, Isolated: true}, 0, true, true},
		"copy that must be the only one": {Request{HeadHash: 7, Isolated: true, OnlyCopy: true}, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			sc := New(1)
			servers := plainServers(2)
			p, _ := sc.Place(0, site.Service{Name: "plain"}, servers, first)
			q, ok := sc.Place(tc.after, site.Service{Name: "plain"}, servers, tc.then)
			if ok != tc.ok || ok && (p.Lead == q.Lead) != tc.same {
				t.Errorf("the second request is on %s, the first on %s; placed: %v", q.Lead, p.Lead, ok)
			}
		})
	}
}

// TestIsolatedRequestsGetServersOfTheirOwn places isolated requests on a few servers,
// and then copies of one at several hosts that don't know of each other's placements
// yet: these have to choose the same server.
func TestIsolatedRequestsGetServersOfTheirOwn(t *testing.T) {
	servers := plainServers(6)
	used := map[string]bool{}
	sc := New(1)
	for n := range servers {
		p, ok := sc.Place(0, site.Service{Name: "plain"}, servers, Request{HeadHash: uint64(n) + 1, Isolated: true, OnlyCopy: true})
		if !ok || used[p.Lead] {
			t.Errorf("isolated request %d: placed %v on %q, want a server of its own", n, ok, p.Lead)
		}
		used[p.Lead] = true
	}
	if p, ok := sc.Place(0, site.Service{Name: "plain"}, servers, Request{HeadHash: 99, Isolated: true, OnlyCopy: true}); ok {
		t.Errorf("an isolated request that must be the only copy is placed on %s beside another one", p.Lead)
	}
	if _, ok := sc.Place(0, site.Service{Name: "plain"}, servers, Request{HeadHash: 99, Isolated: true}); !ok {
		t.Error("an isolated request that need not be the only copy is not placed")
	}
	leads := map[string]bool{}
	for host := range uint32(5) {
		p, _ := New(host+2).Place(0, site.Service{Name: "plain"}, servers, Request{HeadHash: 5, Isolated: true, CopiesFailed: true})
		leads[p.Lead] = true
	}
	if len(leads) != 1 {
		t.Errorf("copies of an isolated request at five hosts go to %v, want one server", leads)
	}
}

// TestIsolatedRequestsOfOneWorkspaceUseFewServers places isolated requests of one workspace,
// and then one of another workspace, which has to get a server without any.
func TestIsolatedRequestsOfOneWorkspaceUseFewServers(t *testing.T) {
	for name, tc := range map[string]struct{ servers, want int }{
		"three servers": {3, 1}, "eight servers": {8, 2}, "eighteen servers": {18, 4},
	} {
		t.Run(name, func(t *testing.T) {
			sc, used := New(1), map[string]bool{}
			for n := range 2 * tc.servers {
				p, ok := sc.Place(0, site.Service{Name: "plain"}, plainServers(tc.servers), Request{HeadHash: uint64(n) + 1, Workspace: 5, Isolated: true})
				if !ok {
					t.Fatal("the isolated request is not placed")
				}
				used[p.Lead] = true
			}
			if len(used) != tc.want {
				t.Errorf("%d isolated requests of a workspace run on %d servers, want %d", 2*tc.servers, len(used), tc.want)
			}
			if p, ok := sc.Place(0, site.Service{Name: "plain"}, plainServers(tc.servers), Request{HeadHash: 99, Workspace: 6, Isolated: true, OnlyCopy: true}); !ok || used[p.Lead] {
				t.Errorf("an isolated request of another workspace: placed %v on %s, want a server without any", ok, p.Lead)
			}
		})
	}
}
