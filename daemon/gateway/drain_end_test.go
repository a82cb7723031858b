package gateway_test

import (
	"context"
	"fmt"
	"io"
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

// TestRetryThatWaitsIntoEndOfStopIsAnswered guards against retries of fast routes that wait until the process ends.
func TestRetryThatWaitsIntoEndOfStopIsAnswered(t *testing.T) {
	const left = 400 * time.Millisecond
	var f *fixture
	var stopped atomic.Bool
	answer := func(r *http.Request, w io.Writer) bool {
		if !strings.HasSuffix(r.URL.Path, "/last") {
			return plainReply(200, "fine", "Limit: 5\r\n")(r, w)
		}
		now := time.Now()
		f.gateway.Drain(now, now.Add(left))
		stopped.Store(true)
		return plainReply(503, "full", "Not-Run: 1\r\n", "Limit: 5\r\n")(r, w)
	}
	notices := notice.NewRegistry()
	f = startWith(t, []gateway.Option{
		gateway.WithNotices(notices, gateway.NoticeSender{SendLimit: func(string, notice.Limit) {}, SendLeaving: func(string) {}}),
		gateway.WithGrants(func(ctx context.Context, _ backend.Server) (bool, time.Duration) {
			if stopped.Load() {
				_ = pause.For(ctx, 2*time.Second)
			}
			return !stopped.Load(), time.Second
		}),
	}, answer, answer)
	for _, id := range []string{"i0", "i1"} {
		notices.MergeLimit(id, notice.Limit{Version: 1, Limited: true, Rate: 5}, 0)
	}
	for n := range 20 {
		if a := f.do("POST", fmt.Sprintf("/once-two/%d", n), "b"); a.status != http.StatusOK {
			t.Fatalf("got %+v", a)
		}
	}
	began := time.Now()
	a := f.do("POST", "/once-two/last", "b")
	if d := time.Since(began); a.status != http.StatusServiceUnavailable || d >= left {
		t.Errorf("status %d, error %v after %v, want 503 before the process ends after %v", a.status, a.err, d, left)
	}
}
