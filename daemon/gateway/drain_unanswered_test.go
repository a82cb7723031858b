package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// TestCallInProgressAtEndOfStopIsAnswered guards against calls whose connections close without an answer.
func TestCallInProgressAtEndOfStopIsAnswered(t *testing.T) {
	const left = 400 * time.Millisecond
	for name, path := range map[string]string{"call": "/once/", "stream before its head": "/stream/"} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			f = start(t, func(*http.Request, io.Writer) bool {
				now := time.Now()
				f.gateway.Drain(now, now.Add(left))
				<-time.After(3 * left)
				return false
			})
			began := time.Now()
			a := f.do("POST", path, "b")
			if d := time.Since(began); a.status != http.StatusBadGateway || d < left/2 || d >= left {
				t.Errorf("status %d, error %v after %v, want 502 shortly before the process ends after %v", a.status, a.err, d, left)
			}
		})
	}
}
