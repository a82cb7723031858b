package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// TestNoHandoverBeginsAfterTheTry guards against a call that is copied while its try is recorded, or served on after its answer has ended.
func TestNoHandoverBeginsAfterTheTry(t *testing.T) {
	g, c, s := newDelegating(t)
	c.route = site.Route{Kind: site.Stream, Resume: true, Attempts: 3}
	c.failedServers, c.delegations = map[string]bool{}, map[uint32]bool{}
	g.sendWatched(t.Context(), httptest.NewRecorder(), c, s, schedule.Placement{}, backend.Server{Addr: "127.0.0.1:1"})
	x := c.exchange
	x.heard = -time.Minute
	x.handOver(outcome{result: failed, reason: reasonPathLost}) // as by a verdict that has waited for the try
	if h := x.end(true); h != nil {
		<-h.done
		t.Error("a handover has begun")
	}
}
