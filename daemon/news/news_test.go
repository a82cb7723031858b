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

const patience = 20 * time.Second

// listen returns news on a free port, with the board that it fills.
func listen(t *testing.T, host uint32) (*news.News, *schedule.Scheduler, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	addr := c.LocalAddr().(*net.UDPAddr).AddrPort()
	b := schedule.New(host)
	start := time.Now()
	n := news.New(c, b, decision.New(io.Discard), func() time.Duration { return time.Since(start) })
	go n.Run()
	t.Cleanup(func() { _ = n.Close() })
	return n, b, addr
}

func TestPlacementsAreHeard(t *testing.T) {
	there, _, _ := listen(t, 1)
	_, board, addr := listen(t, 2)
	there.SetRoutes(broadcast.Routes{Direct: []netip.AddrPort{addr}})
	p := schedule.Placement{
		ID: schedule.ID{Host: 1, Number: 5}, Lead: "a", Helpers: []string{"b"},
		MemoryShares: []schedule.MemoryShare{{Server: "b", Tokens: 100}}, Work: schedule.Work{Prompt: 1000, Answer: 10},
		Gap: time.Second, Objective: time.Second, FirstToken: time.Second,
	}
	// A datagram may be lost, so each is told again until it is heard.
	until(t, "the placement counts on lead and helper", func() { there.Placed(p) }, func() bool {
		return board.PlacementCount("a") == 1 && board.PlacementCount("b") == 1
	})
	until(t, "its end is heard", func() { there.Ended(p.ID) }, func() bool { return board.PlacementCount("a") == 0 })
	until(t, "a server that fails is reported", func() { there.Failed(1, "c"); there.Failed(3, "c") }, func() bool {
		p, ok := board.Place(0, site.Service{Name: "plain"}, []backend.Server{{ID: "c"}, {ID: "d"}, {ID: "e"}}, schedule.Request{})
		board.RecordEnd(p.ID)
		return ok && p.Lead != "c"
	})
	until(t, "the host counts as alive", func() { there.Alive(1) }, func() bool { return board.HostAlive(1, 0) })
}

// TestWorkspacesAreHeard has a host hear whose prompts engines read.
func TestWorkspacesAreHeard(t *testing.T) {
	there, _, _ := listen(t, 1)
	_, board, addr := listen(t, 2)
	there.SetRoutes(broadcast.Routes{Direct: []netip.AddrPort{addr}})
	heavy := schedule.HashWorkspace("heavy")
	until(t, "a placement is heard", func() {
		there.Placed(schedule.Placement{
			ID: schedule.ID{Host: 1, Number: 5}, Service: "model", Lead: "a", Workspace: heavy,
			Work: schedule.Work{Prompt: 90_000}, FirstToken: time.Minute,
		})
	}, func() bool { return board.PlacementCount("a") == 1 })
	model := site.Service{Name: "model", Engine: &site.Engine{Slots: 4, Memory: 1e6, StepTime: time.Millisecond, PrefillRate: 1e5, PrefillChunk: 2048}}
	for name, holds := range map[string]bool{"heavy": true, "light": false} {
		p, ok := board.Place(0, model, []backend.Server{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}}, schedule.Request{
			Work: schedule.Work{Prompt: 10_000}, Workspace: schedule.HashWorkspace(name),
		})
		board.RecordEnd(p.ID)
		if most := p.Share.Fraction > 0.8; !ok || most != holds {
			t.Errorf("%s holds %.2f of the engines' time", name, p.Share.Fraction)
		}
	}
}

func TestMalformedNewsIsDropped(t *testing.T) {
	there, _, _ := listen(t, 1)
	_, board, addr := listen(t, 2)
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, b := range [][]byte{nil, {0xff}, []byte("no news"), {0xa1, 0x01}} {
		_, _ = c.Write(b)
	}
	there.SetRoutes(broadcast.Routes{Direct: []netip.AddrPort{addr}})
	p := schedule.Placement{ID: schedule.ID{Host: 1, Number: 1}, Lead: "a"}
	until(t, "news is heard after it", func() { there.Placed(p) }, func() bool { return board.PlacementCount("a") == 1 })
}

func until(t *testing.T, what string, do func(), done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		do()
		if done() {
			return
		}
		_ = pause.For(context.Background(), 5*time.Millisecond) // never ends early
	}
	t.Fatalf("not within %v: %s", patience, what)
}
