package news_test

import (
	"net/netip"
	"testing"

	"slipcrank.example/core/broadcast"
	"slipcrank.example/core/schedule"
)

// TestForwardersPassNewsOn has a host tell its forwarder, which passes news on
// to its hall and to the forwarder of another one.
func TestForwardersPassNewsOn(t *testing.T) {
	origin, own, originAddr := listen(t, 1)
	near, nearBoard, nearAddr := listen(t, 2)
	_, mate, mateAddr := listen(t, 3)
	far, farBoard, farAddr := listen(t, 4)
	_, last, lastAddr := listen(t, 5)
	origin.SetRoutes(broadcast.Routes{Forwarder: nearAddr, Hall: []netip.AddrPort{nearAddr, mateAddr}})
	near.SetRoutes(broadcast.Routes{Hall: []netip.AddrPort{originAddr, mateAddr}, Remote: []netip.AddrPort{farAddr}})
	far.SetRoutes(broadcast.Routes{Hall: []netip.AddrPort{lastAddr}, Remote: []netip.AddrPort{nearAddr}})

	boards := []*schedule.Scheduler{nearBoard, mate, farBoard, last}
	each := func(running int) func() bool {
		return func() bool {
			for _, b := range boards {
				if b.PlacementCount("a") != running {
					return false
				}
			}
			return true
		}
	}
	p := schedule.Placement{ID: schedule.ID{Host: 1, Number: 5}, Lead: "a"}
	until(t, "each host knows the placement", func() { origin.SendPlacement(p) }, each(1))
	until(t, "the host that placed it hears its forwarder", func() { origin.SendHeartbeat(1) }, func() bool { return origin.LastReceived(nearAddr) > 0 })
	if own.PlacementCount("a") != 0 || own.HostAlive(1, 0) {
		t.Error("a host takes its own news for another's")
	}
	until(t, "each host knows its end", func() { origin.SendEnd(p.ID) }, each(0))

	near.SendPlacement(schedule.Placement{ID: schedule.ID{Host: 2, Number: 1}, Lead: "b"})
	until(t, "news of a forwarder itself reach the other hall", func() { near.SendStart(schedule.ID{Host: 2, Number: 1}) }, func() bool { return last.PlacementCount("b") == 1 })
}

// TestManyMessagesAreSplit has a forwarder pass on more than one datagram holds.
func TestManyMessagesAreSplit(t *testing.T) {
	near, _, _ := listen(t, 1)
	_, board, addr := listen(t, 2)
	near.SetRoutes(broadcast.Routes{Hall: []netip.AddrPort{addr}})
	const count = 200
	until(t, "all placements are heard", func() {
		for n := range uint32(count) {
			near.SendPlacement(schedule.Placement{ID: schedule.ID{Host: 1, Number: n}, Lead: "a", Service: "a service of a usual name"})
		}
	}, func() bool { return board.PlacementCount("a") == count })
}
