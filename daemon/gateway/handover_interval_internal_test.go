package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
)

// TestLostPathOffersStreamNotAtEachLook guards against a handover, and its lines in the log, for each stream at each look at a lost path.
func TestLostPathOffersStreamNotAtEachLook(t *testing.T) {
	g, c, _ := newDelegating(t)
	c.route = site.Route{Kind: site.Stream, Resume: true, Attempts: 3}
	c.headSent = true
	c.exchange = newExchange(backend.Server{}, time.Hour, true, -time.Minute, func(error) {})
	x := c.exchange
	offer := g.handoverOf(t.Context(), httptest.NewRecorder(), c, schedule.Placement{}, backend.Server{})
	offer(outcome{result: failed, reason: reasonPathLost})
	first := x.handover
	<-first.done
	offer(outcome{result: failed, reason: reasonPathLost})
	if x.handover != first {
		t.Error("offered again at once")
	}
	first.began = first.began.Add(-minHandoverInterval)
	offer(outcome{result: failed, reason: reasonPathLost})
	if x.handover == first {
		t.Error("not offered again later")
	}
	<-x.handover.done
}
