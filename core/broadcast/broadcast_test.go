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

// host returns host number n. The first host of each hall has a faster link.
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

// viewFrom returns the view of a cell of count hosts from host number own.
func viewFrom(own, count int) broadcast.Hosts {
	var others []broadcast.Host
	for n := range count {
		if n != own {
			others = append(others, host(n))
		}
	}
	return broadcast.NewHosts(host(own), others)
}

// allAliveBut returns a Liveness in which all hosts are alive and sending, except those
// with the given numbers, from which nothing has been received.
func allAliveBut(numbers ...int) broadcast.Liveness {
	dead := map[netip.AddrPort]bool{}
	for _, n := range numbers {
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

func TestSmallCellsSendDirectly(t *testing.T) {
	for count, direct := range map[int]int{9: 8, 33: 32, 34: 0, 147: 0} {
		if r := broadcast.NewRouteChooser().Choose(0, viewFrom(7, count), allAliveBut()); len(r.Direct) != direct {
			t.Errorf("with %d hosts, %d get updates directly, want %d", count, len(r.Direct), direct)
		}
	}
}

// TestUpdatesReachEachHostOnce follows an update from each host along the routes that
// the hosts choose.
func TestUpdatesReachEachHostOnce(t *testing.T) {
	const count = 147
	for name, tc := range map[string]struct{ down []int }{
		"all alive":                           {nil},
		"fastest host of each hall down":      {[]int{0, 1, 2, 3, 4}},
		"half of a hall and a fast host down": {[]int{1, 0, 5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 55, 60}},
	} {
		t.Run(name, func(t *testing.T) {
			l := allAliveBut(tc.down...)
			routes := map[netip.AddrPort]broadcast.Routes{}
			for n := range count {
				if l.Alive(uint32(n)) {
					routes[host(n).Addr] = broadcast.NewRouteChooser().Choose(0, viewFrom(n, count), l)
				}
			}
			for from, r := range routes {
				forwarder := from
				if r.Forwarder.IsValid() {
					forwarder = r.Forwarder
				}
				received := map[netip.AddrPort]int{forwarder: 1}
				sent := len(routes[forwarder].Hall) + len(routes[forwarder].Remote)
				for _, a := range routes[forwarder].Hall {
					received[a]++
				}
				for _, f := range routes[forwarder].Remote {
					received[f]++
					sent += len(routes[f].Hall)
					for _, a := range routes[f].Hall {
						received[a]++
					}
				}
				for a := range routes {
					if received[a] != 1 {
						t.Fatalf("an update from %s reaches %s %d times", from, a, received[a])
					}
				}
				if sent > count+halls {
					t.Fatalf("%d datagrams for %d hosts", sent, count)
				}
			}
		})
	}
}

func TestSilentForwarderIsReplacedTemporarily(t *testing.T) {
	hs, c := viewFrom(12, 147), broadcast.NewRouteChooser()
	first := c.Choose(0, hs, allAliveBut()).Forwarder
	if first != host(2).Addr {
		t.Fatalf("the forwarder is %s, not the host of the hall with the fastest link", first)
	}
	// Its forwarded updates still show it alive, but it sends nothing to this host.
	silent := allAliveBut()
	silent.LastReceived = func(a netip.AddrPort) time.Duration {
		if a == first {
			return time.Second
		}
		return time.Hour
	}
	for after, replaced := range map[time.Duration]bool{
		1500 * time.Millisecond: false, 1700 * time.Millisecond: true, 5 * time.Second: true, 7 * time.Second: false,
	} {
		c := broadcast.NewRouteChooser()
		c.Choose(0, hs, silent)
		if after > 1700*time.Millisecond {
			c.Choose(1700*time.Millisecond, hs, silent)
		}
		if r := c.Choose(after, hs, silent); (r.Forwarder != first) != replaced {
			t.Errorf("after %v the forwarder is %s", after, r.Forwarder)
		}
	}
}

// TestOnlyForwardersExcludeRemoteForwarders guards against excluding the forwarders of
// other halls on a host that isn't a forwarder itself. Such a host receives datagrams
// only from its own hall's forwarder, so all others seem silent to it.
func TestOnlyForwardersExcludeRemoteForwarders(t *testing.T) {
	hs, c := viewFrom(12, 147), broadcast.NewRouteChooser()
	now := time.Duration(0)
	l := allAliveBut()
	l.LastReceived = func(a netip.AddrPort) time.Duration {
		if a == host(2).Addr {
			return now
		}
		return 0
	}
	first := c.Choose(now, hs, l).Remote
	for ; now < 10*time.Second; now += 250 * time.Millisecond {
		if r := c.Choose(now, hs, l); !slices.Equal(r.Remote, first) {
			t.Fatalf("after %v the forwarders of other halls are %v, initially %v", now, r.Remote, first)
		}
	}
}

// TestNewForwarderGivesRemoteForwardersFullTimeout has the forwarder of a hall die, and
// its successor receive nothing from the forwarder of another hall. The successor must
// exclude that one only after the full time-out.
func TestNewForwarderGivesRemoteForwardersFullTimeout(t *testing.T) {
	hs, c := viewFrom(132, 147), broadcast.NewRouteChooser() // the successor of host 2
	c.Choose(0, hs, allAliveBut())
	dead := allAliveBut(2)
	dead.LastReceived = func(a netip.AddrPort) time.Duration {
		if a == host(0).Addr {
			return 0
		}
		return time.Hour
	}
	const died = 5 * time.Second
	for _, tc := range []struct { // in order: the second case depends on the first
		after    time.Duration
		excluded bool
	}{{0, false}, {time.Second, true}} {
		r := c.Choose(died+tc.after, hs, dead)
		if r.Forwarder.IsValid() || slices.Contains(r.Remote, host(0).Addr) == tc.excluded {
			t.Errorf("after %v it sends to %v and %v", tc.after, r.Forwarder, r.Remote)
		}
	}
}
