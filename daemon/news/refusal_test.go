package news_test

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/broadcast"
	"slipcrank.example/core/demand"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/news"
)

// TestRefusalsReachOtherHosts guards against hosts that don't recognize a caller whom another
// host has refused, and against malformed reports that distort the price.
func TestRefusalsReachOtherHosts(t *testing.T) {
	for name, tc := range map[string]struct {
		refusal demand.Refusal
		arrives bool
	}{
		"complete": {demand.Refusal{
			Service: "model", Priority: 2, Identity: 7, TimeLeft: 9 * time.Second, Waited: time.Second,
			Work: demand.Work{Value: 1.5, EngineTime: 180 * time.Millisecond},
		}, true},
		"no service":       {demand.Refusal{Priority: 1}, false},
		"negative value":   {demand.Refusal{Service: "model", Work: demand.Work{Value: -1}}, false},
		"impossible value": {demand.Refusal{Service: "model", Work: demand.Work{Value: 1e9, EngineTime: time.Hour}}, false},
		"endless waiting":  {demand.Refusal{Service: "model", Waited: 48 * time.Hour}, false},
		"negative waiting": {demand.Refusal{Service: "model", Waited: -time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			sender, _, _ := listen(t, 1)
			var mu sync.Mutex
			var got []demand.Refusal
			_, _, addr := listen(t, 2, func(n *news.Exchange) {
				n.SetRefusalHandler(func(r demand.Refusal) {
					mu.Lock()
					defer mu.Unlock()
					got = append(got, r)
				})
			})
			sender.SetRoutes(broadcast.Routes{Direct: []netip.AddrPort{addr}})
			last := demand.Refusal{Service: "last"}
			until(t, "refusal not received", func() { sender.SendRefusal(1, tc.refusal); sender.SendRefusal(1, last) }, func() bool {
				mu.Lock()
				defer mu.Unlock()
				return len(got) > 0 && got[len(got)-1].Service == last.Service && (!tc.arrives || got[0].Service != last.Service)
			})
			mu.Lock()
			defer mu.Unlock()
			if arrived := got[0] == tc.refusal; arrived != tc.arrives {
				t.Errorf("received %+v, want %+v: %v", got[0], tc.refusal, tc.arrives)
			}
		})
	}
}

// TestForwardedPlacementsMeasureTheDelay guards against a host that never learns how long its
// news takes although a forwarder sends it back.
func TestForwardedPlacementsMeasureTheDelay(t *testing.T) {
	sender, own, from := listen(t, 1)
	forwarder, _, addr := listen(t, 2)
	sender.SetRoutes(broadcast.Routes{Forwarder: addr})
	forwarder.SetRoutes(broadcast.Routes{Hall: []netip.AddrPort{from}})
	assumed := own.NewsDelay(0)
	until(t, "delay not measured", func() {
		p, _ := own.Place(0, site.Service{Name: "model"}, []backend.Server{{ID: "a", Slots: 4}}, schedule.Request{})
		sender.SendPlacement(p)
	}, func() bool { return own.NewsDelay(time.Millisecond) != assumed })
}
