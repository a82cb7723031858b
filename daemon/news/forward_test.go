package news_test

import (
	"net/netip"
	"testing"

	"slipcrank.example/core/broadcast"
	"slipcrank.example/core/schedule"
)

// TestForwardersReachAllHosts has a host send updates to its forwarder, which forwards
// them to its hall and to the forwarder of another hall.
func TestForwardersReachAllHosts(t *testing.T) {
	origin, originScheduler, originAddr := listen(t, 1)
	forwarder, forwarderScheduler, forwarderAddr := listen(t, 2)
	_, peerScheduler, peerAddr := listen(t, 3)
	remoteForwarder, remoteForwarderScheduler, remoteForwarderAddr := listen(t, 4)
	_, remoteScheduler, remoteAddr := listen(t, 5)
	origin.SetRoutes(broadcast.Routes{Forwarder: forwarderAddr, Hall: []netip.AddrPort{forwarderAddr, peerAddr}})
	forwarder.SetRoutes(broadcast.Routes{Hall: []netip.AddrPort{originAddr, peerAddr}, Remote: []netip.AddrPort{remoteForwarderAddr}})
	remoteForwarder.SetRoutes(broadcast.Routes{Hall: []netip.AddrPort{remoteAddr}, Remote: []netip.AddrPort{forwarderAddr}})

	schedulers := []*schedule.Scheduler{forwarderScheduler, peerScheduler, remoteForwarderScheduler, remoteScheduler}
	each := func(running int) func() bool {
		return func() bool {
			for _, s := range schedulers {
				if s.PlacementCount("a") != running {
					return false
				}
			}
			return true
		}
	}
	p := schedule.Placement{ID: schedule.ID{Host: 1, Number: 5}, Lead: "a"}
	until(t, "placement not recorded on all hosts", func() { origin.SendPlacement(p) }, each(1))
	until(t, "no datagram from the forwarder at the origin", func() { origin.SendHeartbeat(1) }, func() bool { return origin.LastReceived(forwarderAddr) > 0 })
	if originScheduler.PlacementCount("a") != 0 || originScheduler.HostAlive(1, 0) {
		t.Error("host applied its own update as another host's")
	}
	until(t, "end of placement not recorded on all hosts", func() { origin.SendEnd(p.ID) }, each(0))

	forwarder.SendPlacement(schedule.Placement{ID: schedule.ID{Host: 2, Number: 1}, Lead: "b"})
	until(t, "update of the forwarder itself not recorded in the other hall", func() { forwarder.SendStart(schedule.ID{Host: 2, Number: 1}) }, func() bool { return remoteScheduler.PlacementCount("b") == 1 })
}

// TestManyMessagesAreSplit has a forwarder send more messages than fit into one datagram.
func TestManyMessagesAreSplit(t *testing.T) {
	forwarder, _, _ := listen(t, 1)
	_, receiver, addr := listen(t, 2)
	forwarder.SetRoutes(broadcast.Routes{Hall: []netip.AddrPort{addr}})
	const count = 200
	until(t, "not all placements recorded", func() {
		for n := range uint32(count) {
			forwarder.SendPlacement(schedule.Placement{ID: schedule.ID{Host: 1, Number: n}, Lead: "a", Service: "a service of a usual name"})
		}
	}, func() bool { return receiver.PlacementCount("a") == count })
}
