package upkeep

import (
	"context"
	"net"
	"testing"

	"google.golang.org/grpc"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/member"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/peers"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/peer/wire"
)

// frozen is a daemon that takes calls and does not answer them.
type frozen struct{ wire.UnimplementedPeerServer }

func (frozen) Demand(ctx context.Context, _ *wire.DemandRequest) (*wire.DemandReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestSilentDaemonHidesNoOtherDemand(t *testing.T) {
	g := grpc.NewServer()
	wire.RegisterPeerServer(g, frozen{})
	defer g.Stop()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.Serve(silent) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := control.New(member.Member{Addr: "127.0.0.1:1", Hall: "oslo-a", Incarnation: 1})
	go l.Run(ctx)
	till := directory.Copy{Model: "till", Version: "1"}
	for range 2 { // the view is out once a second function has run
		l.Do(ctx, func(s *control.State) {
			s.MergeMembers([]member.Member{{Addr: silent.Addr().String(), Hall: "oslo-a", Incarnation: 1}})
			s.CountRequest(till, 1000)
		})
	}
	client := peers.NewClient()
	defer client.Close()
	u := New(l, client, WithPeriods(settings.Default().Periods))
	if d := u.hallDemand(ctx, l.View()); d[till] == 0 {
		t.Errorf("the daemon's own demand is lost: %v", d)
	}
}
