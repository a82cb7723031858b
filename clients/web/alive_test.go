package web_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"slipcrank.example/clients/web"
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
