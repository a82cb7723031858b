package broadcast_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"slipcrank.example/core/broadcast"
)

const halls = 5

// host is the host of a number. The first of each hall has a wide link.
func host(n int) broadcast.Host {
	link := 20.0
	if n < halls {
		link = 200
	}
	return broadcast.Host{
		Name: fmt.Sprintf("host-%d", n), Hall: fmt.Sprintf("hall-%d", n%halls), Link: link, StartNumber: uint32(n),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7340),
	}
}

// seen are the hosts of a fleet as one of them sees them.
func seen(own, count int) broadcast.Hosts {
	var others []broadcast.Host
	for n := range count {
		if n != own {
			others = append(others, host(n))
		}
	}
	return broadcast.NewHosts(host(own), others)
}

// without is the evidence that all hosts are there but some, of which nothing
// was heard.
func without(gone ...int) broadcast.Liveness {
	dead := map[netip.AddrPort]bool{}
	for _, n := range gone {
		dead[host(n).Addr] = true
	}
	return broadcast.Liveness{
		Alive: func(number uint32) bool { return !dead[host(int(number)).Addr] },
		LastReceived: func(a netip.AddrPort) time.Duration {
			if dead[a] {
				return 0
			}
			return time.Hour
		},
	}
}

func TestSmallCellsAreToldDirectly(t *testing.T) {
	for count, direct := range map[int]int{9: 8, 33: 32, 34: 0, 147: 0} {
		if r := broadcast.NewRouteChooser().Choose(0, seen(7, count), without()); len(r.Direct) != direct {
			t.Errorf("of %d hosts %d are told directly, want %d", count, len(r.Direct), direct)
		}
	}
}

// TestNewsReachEachHost follows news of each host over the routes that all
// hosts choose.
func TestNewsReachEachHost(t *testing.T) {
	const count = 147
	for name, tc := range map[string]struct{ gone []int }{
		"all are there":                       {nil},
		"a wide host of each hall has gone":   {[]int{0, 1, 2, 3, 4}},
		"half of a hall and a wide host gone": {[]int{1, 0, 5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 55, 60}},
	} {
		t.Run(name, func(t *testing.T) {
			e := without(tc.gone...)
			routes := map[netip.AddrPort]broadcast.Routes{}
			for n := range count {
				if e.Alive(uint32(n)) {
					routes[host(n).Addr] = broadcast.NewRouteChooser().Choose(0, seen(n, count), e)
				}
			}
			for from, r := range routes {
				at := from
				if r.Forwarder.IsValid() {
					at = r.Forwarder
				}
				got := map[netip.AddrPort]int{at: 1}
				sent := len(routes[at].Hall) + len(routes[at].Remote)
				for _, a := range routes[at].Hall {
					got[a]++
				}
				for _, f := range routes[at].Remote {
					got[f]++
					sent += len(routes[f].Hall)
					for _, a := range routes[f].Hall {
						got[a]++
					}
				}
				for a := range routes {
					if got[a] != 1 {
						t.Fatalf("news of %s come to %s %d times", from, a, got[a])
					}
				}
				if sent > count+halls {
					t.Fatalf("%d datagrams for %d hosts", sent, count)
				}
			}
		})
	}
}

func TestSilentForwarderIsReplacedForAWhile(t *testing.T) {
	hs, c := seen(12, 147), broadcast.NewRouteChooser()
	first := c.Choose(0, hs, without()).Forwarder
	if first != host(2).Addr {
		t.Fatalf("the forwarder is %s, not the wide host of the hall", first)
	}
	// It still seems alive by what others pass on, but tells this host nothing.
	silent := without()
	silent.LastReceived = func(a netip.AddrPort) time.Duration {
		if a == first {
			return time.Second
		}
		return time.Hour
	}
	for at, replaced := range map[time.Duration]bool{
		1500 * time.Millisecond: false, 1700 * time.Millisecond: true, 5 * time.Second: true, 7 * time.Second: false,
	} {
		c := broadcast.NewRouteChooser()
		c.Choose(0, hs, silent)
		if at > 1700*time.Millisecond {
			c.Choose(1700*time.Millisecond, hs, silent)
		}
		if r := c.Choose(at, hs, silent); (r.Forwarder != first) != replaced {
			t.Errorf("after %v news go to %s", at, r.Forwarder)
		}
	}
}

// TestOnlyForwardersJudgeOtherHalls has a host that hears its own hall's
// forwarder and no other: what other halls tell comes to it through that one.
func TestOnlyForwardersJudgeOtherHalls(t *testing.T) {
	hs, c := seen(12, 147), broadcast.NewRouteChooser()
	now := time.Duration(0)
	e := without()
	e.LastReceived = func(a netip.AddrPort) time.Duration {
		if a == host(2).Addr {
			return now
		}
		return 0
	}
	first := c.Choose(now, hs, e).Remote
	for ; now < 10*time.Second; now += 250 * time.Millisecond {
		if r := c.Choose(now, hs, e); !slices.Equal(r.Remote, first) {
			t.Fatalf("after %v the forwarders of other halls are %v, at first %v", now, r.Remote, first)
		}
	}
}

// TestHostThatBeginsToForwardJudgesAnew has the forwarder of a hall die, and the
// host that follows it not hear one of another hall.
func TestHostThatBeginsToForwardJudgesAnew(t *testing.T) {
	hs, c := seen(132, 147), broadcast.NewRouteChooser() // it follows host 2
	c.Choose(0, hs, without())
	gone := without(2)
	gone.LastReceived = func(a netip.AddrPort) time.Duration {
		if a == host(0).Addr {
			return 0
		}
		return time.Hour
	}
	const died = 5 * time.Second
	for _, tc := range []struct { // in order: the first is what the second builds on
		after  time.Duration
		silent bool
	}{{0, false}, {time.Second, true}} {
		r := c.Choose(died+tc.after, hs, gone)
		if r.Forwarder.IsValid() || slices.Contains(r.Remote, host(0).Addr) == tc.silent {
			t.Errorf("after %v it tells %v and %v", tc.after, r.Forwarder, r.Remote)
		}
	}
}
