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

// unresponsivePeer is a daemon that accepts calls and never answers them.
type unresponsivePeer struct{ wire.UnimplementedPeerServer }

func (unresponsivePeer) Demand(ctx context.Context, _ *wire.DemandRequest) (*wire.DemandReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestUnresponsiveDaemonDoesNotHideDemand checks that a daemon that does not
// answer within the timeout is left out of the hall's demand, while the demand
// of the calling daemon itself is included.
func TestUnresponsiveDaemonDoesNotHideDemand(t *testing.T) {
	g := grpc.NewServer()
	wire.RegisterPeerServer(g, unresponsivePeer{})
	defer g.Stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := control.New(member.Member{Addr: "127.0.0.1:1", Hall: "oslo-a", Incarnation: 1})
	go l.Run(ctx)
	till := directory.Copy{Model: "till", Version: "1"}
	for range 2 { // the view is published once a second function has run
		l.Do(ctx, func(s *control.State) {
			s.MergeMembers([]member.Member{{Addr: listener.Addr().String(), Hall: "oslo-a", Incarnation: 1}})
			s.CountRequest(till, 1000)
		})
	}
	client := peers.NewClient()
	defer client.Close()
	u := New(l, client, WithPeriods(settings.Default().Periods))
	if d := u.hallDemand(ctx, l.View()); d[till] == 0 {
		t.Errorf("the hall's demand is %v, without that of the daemon itself", d)
	}
}
