package news_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/broadcast"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/news"
)

const testTimeout = 20 * time.Second

// listen returns an exchange on a free port, the scheduler that it updates, and its
// address. The functions set it up before it runs.
func listen(t *testing.T, host uint32, setUp ...func(*news.Exchange)) (*news.Exchange, *schedule.Scheduler, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr := c.LocalAddr().(*net.UDPAddr).AddrPort()
	s := schedule.New(host)
	start := time.Now()
	n := news.New(c, s, decision.New(io.Discard), func() time.Duration { return time.Since(start) })
	for _, f := range setUp {
		f(n)
	}
	go n.Run()
	t.Cleanup(func() { _ = n.Close() })
	return n, s, addr
}

func TestUpdatesReachOtherHost(t *testing.T) {
	sender, _, _ := listen(t, 1)
	_, receiver, addr := listen(t, 2)
	sender.SetRoutes(broadcast.Routes{Direct: []netip.AddrPort{addr}})
	p := schedule.Placement{
		ID: schedule.ID{Host: 1, Number: 5}, Lead: "a", Helpers: []string{"b"},
		MemoryShares: []schedule.MemoryShare{{Server: "b", Tokens: 100}}, Work: schedule.Work{Prompt: 1000, Answer: 10},
		Gap: time.Second, Objective: time.Second, FirstToken: time.Second,
	}
	// A datagram may be lost, so each update is sent until it has arrived.
	until(t, "placement not counted on lead and helper", func() { sender.SendPlacement(p) }, func() bool {
		return receiver.PlacementCount("a") == 1 && receiver.PlacementCount("b") == 1
	})
	until(t, "end of placement not recorded", func() { sender.SendEnd(p.ID) }, func() bool { return receiver.PlacementCount("a") == 0 })
	until(t, "server reported as failed still leads", func() { sender.SendFailure(1, "c"); sender.SendFailure(3, "c") }, func() bool {
		p, ok := receiver.Place(0, site.Service{Name: "plain"}, []backend.Server{{ID: "c"}, {ID: "d"}, {ID: "e"}}, schedule.Request{})
		receiver.RecordEnd(p.ID)
		return ok && p.Lead != "c"
	})
	until(t, "sender not counted as alive", func() { sender.SendHeartbeat(1) }, func() bool { return receiver.HostAlive(1, 0) })
}

// TestPlacementsCountForWorkspaces reports a long prompt of one workspace to a host, and
// checks the shares that its scheduler computes for this workspace and another.
func TestPlacementsCountForWorkspaces(t *testing.T) {
	sender, _, _ := listen(t, 1)
	_, receiver, addr := listen(t, 2)
	sender.SetRoutes(broadcast.Routes{Direct: []netip.AddrPort{addr}})
	heavy := schedule.HashWorkspace("heavy")
	until(t, "placement not recorded", func() {
		sender.SendPlacement(schedule.Placement{
			ID: schedule.ID{Host: 1, Number: 5}, Service: "model", Lead: "a", Workspace: heavy,
			Work: schedule.Work{Prompt: 90_000}, FirstToken: time.Minute,
		})
	}, func() bool { return receiver.PlacementCount("a") == 1 })
	model := site.Service{Name: "model", Engine: &site.Engine{Slots: 4, Memory: 1e6, StepTime: time.Millisecond, PrefillRate: 1e5, PrefillChunk: 2048}}
	for name, mostOfTime := range map[string]bool{"heavy": true, "light": false} {
		p, ok := receiver.Place(0, model, []backend.Server{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}}, schedule.Request{
			Work: schedule.Work{Prompt: 10_000}, Workspace: schedule.HashWorkspace(name),
		})
		receiver.RecordEnd(p.ID)
		if most := p.Share.Fraction > 0.8; !ok || most != mostOfTime {
			t.Errorf("workspace %s has a share of %.2f of the engines' time", name, p.Share.Fraction)
		}
	}
}

func TestMalformedDatagramsAreIgnored(t *testing.T) {
	sender, _, _ := listen(t, 1)
	_, receiver, addr := listen(t, 2)
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, b := range [][]byte{nil, {0xff}, []byte("no news"), {0xa1, 0x01}} {
		_, _ = c.Write(b)
	}
	sender.SetRoutes(broadcast.Routes{Direct: []netip.AddrPort{addr}})
	p := schedule.Placement{ID: schedule.ID{Host: 1, Number: 1}, Lead: "a"}
	until(t, "update after malformed datagrams not recorded", func() { sender.SendPlacement(p) }, func() bool { return receiver.PlacementCount("a") == 1 })
}

// until calls do until done returns true, and fails the test with the given failure after
// testTimeout.
func until(t *testing.T, failure string, do func(), done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		do()
		if done() {
			return
		}
		_ = pause.For(context.Background(), 5*time.Millisecond) // never ends early
	}
	t.Fatalf("after %v: %s", testTimeout, failure)
}

// TestRunningPlacementsReachHostInNewContact sends placements that were made earlier: one
// that is being prefilled, one that is decoding, and one that has ended meanwhile.
func TestRunningPlacementsReachHostInNewContact(t *testing.T) {
	sender, own, _ := listen(t, 1)
	_, receiver, addr := listen(t, 2)
	model := site.Service{Name: "model", Engine: &site.Engine{Slots: 4, Memory: 1e6, StepTime: time.Millisecond, PrefillRate: 1e5, PrefillChunk: 2048}}
	place := func(server string) schedule.ID {
		p, ok := own.Place(0, model, []backend.Server{{ID: server, Slots: 4}}, schedule.Request{Work: schedule.Work{Prompt: 50_000, Answer: 10}})
		if !ok {
			t.Fatal("not placed")
		}
		return p.ID
	}
	place("prefilling")
	own.RecordStart(place("decoding"), time.Millisecond)
	ended := place("ended")
	running := own.OwnPlacements()
	own.RecordEnd(ended)
	until(t, "running placements not recorded", func() { sender.SendRunning([]netip.AddrPort{addr}, running) }, func() bool {
		return receiver.PlacementCount("prefilling") == 1 && receiver.PlacementCount("decoding") == 1 && receiver.PlacementCount("ended") == 0
	})
	pause := func(server string) time.Duration {
		return receiver.PredictPause(time.Millisecond, model.Engine, backend.Server{ID: server, Service: "model", Slots: 4})
	}
	if busy, free := pause("prefilling"), pause("decoding"); busy < 400*time.Millisecond || free > 10*time.Millisecond {
		t.Errorf("predicted pauses: %v while a prompt is prefilled, %v after it", busy, free)
	}
}
