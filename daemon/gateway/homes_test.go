package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/gateway"
)

// TestRequestsStayInTheirHomeRegions sends requests that may only run in some of two
// regions, each with one server, of which the first one fails a part of the requests.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	regions := map[string]string{"hall-0": "north", "hall-1": "south"}
	for name, tc := range map[string]struct {
		route, workspace []string
		want             [2]bool // whether the servers may get requests
		status           int
	}{
		"anywhere":                         {nil, nil, [2]bool{true, true}, http.StatusOK},
		"route in the north":               {[]string{"north"}, nil, [2]bool{true, false}, 0},
		"workspace in the south":           {nil, []string{"south"}, [2]bool{false, true}, http.StatusOK},
		"both allow the south":             {[]string{"north", "south"}, []string{"south"}, [2]bool{false, true}, http.StatusOK},
		"the restrictions exclude another": {[]string{"north"}, []string{"south"}, [2]bool{}, http.StatusServiceUnavailable},
		"a region without servers":         {[]string{"east"}, nil, [2]bool{}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := startWith(t, []gateway.Option{gateway.WithRegions(regions)}, plainReply(500, "broken"), plainReply(200, "fine"))
			r := backend.NewRegistry()
			for n, s := range f.servers {
				r.Put(backend.Server{ID: fmt.Sprintf("i%d", n), Service: "plain", Addr: s.addr, Hall: fmt.Sprintf("hall-%d", n), Slots: 4}, int64(n+1))
			}
			f.view = r.View(0)
			f.config = site.New(1, []site.Route{{
				Name: "safe", Host: "shop.example", Prefix: "/safe/", Attempts: 2, Homes: tc.route,
				Timeout: 5 * time.Second, Objective: time.Second, Targets: []site.Target{{Service: "plain", Weight: 1}},
			}}, []site.Service{{Name: "plain"}}, site.KeysOf(map[string]site.Workspace{"k1": {Name: "w1", Homes: tc.workspace}}), site.Limits{BodyBytes: 1 << 10})
			for n := range 20 {
				a := f.do("GET", fmt.Sprintf("/safe/%d", n), "")
				if tc.status != 0 && a.status != tc.status {
					t.Fatalf("status %d, want %d: %s", a.status, tc.status, a.body)
				}
				if tc.status == http.StatusServiceUnavailable && (a.header.Get("Retry-After") == "" || !strings.Contains(a.body, "no_server_in_home_regions")) {
					t.Fatalf("refused with Retry-After %q and %s", a.header.Get("Retry-After"), a.body)
				}
			}
			for n, s := range f.servers {
				if got := len(s.received()) > 0; got != tc.want[n] {
					t.Errorf("server %d got requests: %v, want %v", n, got, tc.want[n])
				}
			}
		})
	}
}
