package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// TestAnswerAfterStopBeganClosesItsConnection begins a planned stop while a server works on a request.
func TestAnswerAfterStopBeganClosesItsConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		path   string
		answer reply
		status int
	}{
		"whole answer": {"/safe/", plainReply(200, "fine"), http.StatusOK},
		"stream":       {"/resume/", streamFrom(eventCount), http.StatusOK},
		"refusal":      {"/once/", plainReply(503, "full", "Not-Run: 1\r\n"), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f = start(t, func(r *http.Request, w io.Writer) bool {
				f.gateway.Drain(time.Now().Add(time.Minute), time.Now().Add(time.Hour))
				return tc.answer(r, w)
			})
			if a := f.do("POST", tc.path, "b"); a.status != tc.status || !a.close {
				t.Errorf("status %d, connection closed: %v, want %d and true", a.status, a.close, tc.status)
			}
		})
	}
}
