package web_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"slipcrank.example/clients/web"
)

// TestSilentPeerIsAskedWhetherItLives has a peer that answers only after it was
// asked twice whether it lives.
func TestSilentPeerIsAskedWhetherItLives(t *testing.T) {
	for name, alive := range map[string]bool{"it lives and is slow": true, "it has gone": false} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan struct{}, 100)
			addr, _ := serve(t, func(_ int64, w io.Writer) bool {
				for range 2 {
					<-asked
				}
				_, _ = io.WriteString(w, good)
				return true
			})
			c := web.New(web.WithLivenessCheck(time.Millisecond, func(a string) bool {
				asked <- struct{}{}
				return alive && a == addr
			}))
			if err := c.JSON(context.Background(), http.MethodGet, addr, "/", nil, nil); (err == nil) != alive {
				t.Errorf("got %v", err)
			}
		})
	}
}
