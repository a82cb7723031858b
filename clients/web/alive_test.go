package web_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"slipcrank.example/clients/web"
	"slipcrank.example/core/pause"
)

// TestLivenessCheckOfSilentPeer uses a server that responds only after two
// liveness checks. A request to a slow server must wait for the response; one to
// a dead server must fail at the first check.
func TestLivenessCheckOfSilentPeer(t *testing.T) {
	for name, alive := range map[string]bool{"alive but slow": true, "dead": false} {
		t.Run(name, func(t *testing.T) {
			checks := make(chan struct{}, 100)
			addr, _ := serve(t, func(_ int64, w io.Writer) bool {
				for range 2 {
					<-checks
				}
				_, _ = io.WriteString(w, good)
				return true
			})
			c := web.New(web.WithLivenessCheck(time.Millisecond, func(a string) bool {
				checks <- struct{}{}
				return alive && a == addr
			}))
			if err := c.JSON(context.Background(), http.MethodGet, addr, "/", nil, nil); (err == nil) != alive {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestAlivePeerIsNotGivenUpForItsSilence guards against an answer that is given up while the peer works on it.
func TestAlivePeerIsNotGivenUpForItsSilence(t *testing.T) {
	const stall = 50 * time.Millisecond
	for name, tc := range map[string]struct {
		timeout time.Duration // of the request
		want    bool          // that the answer arrives
	}{
		"within the time of the request": {time.Minute, true}, "not within the time of the request": {3 * stall, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, func(_ int64, w io.Writer) bool {
				_ = pause.For(context.Background(), 10*stall)
				_, _ = io.WriteString(w, good)
				return true
			})
			c := web.New(web.WithStallTimeout(stall), web.WithLivenessCheck(stall/2, func(string) bool { return true }))
			ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
			defer cancel()
			if err := c.JSON(ctx, http.MethodGet, addr, "/", nil, nil); (err == nil) != tc.want {
				t.Errorf("got %v", err)
			}
		})
	}
}
