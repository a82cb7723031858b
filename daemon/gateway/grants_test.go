package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/notice"
	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/gateway"
)

// TestCallsWaitForGrantsThatComeSoon has a server with a limit deny a number of grants. A
// call waits if the next request is allowed long before its answer is late, and is refused
// at once otherwise.
func TestCallsWaitForGrantsThatComeSoon(t *testing.T) {
	for name, tc := range map[string]struct {
		denied     int32
		took, wait time.Duration
		status     int
	}{
		"granted":                     {0, 0, 0, http.StatusOK},
		"denied, allowed soon":        {8, 0, 10 * time.Millisecond, http.StatusOK},
		"denied, allowed late":        {1000, 0, 900 * time.Millisecond, http.StatusServiceUnavailable},
		"denied again and again":      {1000, 0, 50 * time.Millisecond, http.StatusServiceUnavailable},
		"denied until it is too late": {1000, 0, 350 * time.Millisecond, http.StatusServiceUnavailable},
		"denied after a while":        {1000, 80 * time.Millisecond, 10 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			notices := notice.NewRegistry()
			var asked atomic.Int32
			f := startWith(t, []gateway.Option{
				gateway.WithNotices(notices, gateway.NoticeSender{SendLimit: func(string, notice.Limit) {}, SendLeaving: func(string) {}}),
				gateway.WithGrants(func(ctx context.Context, _ backend.Server) (bool, time.Duration) {
					_ = pause.For(ctx, tc.took)
					return asked.Add(1) > tc.denied, tc.wait
				}),
			}, plainReply(200, "fine", "Limit: 5\r\n"))
			notices.MergeLimit("i0", notice.Limit{Version: 1, Limited: true, Rate: 5}, 0)
			from := time.Now()
			a := f.do("GET", "/safe/1", "") // its objective is a second
			if a.status != tc.status || tc.status != http.StatusOK && !strings.Contains(a.body, "server_limits") {
				t.Errorf("got %+v, want status %d", a, tc.status)
			}
			if d := time.Since(from); d > 500*time.Millisecond {
				t.Errorf("answered after %v", d)
			}
		})
	}
}
