package upkeep

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc"

	"slipcrank.example/core/changes"
	"slipcrank.example/core/member"
	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/peers"
	"slipcrank.example/peer/wire"
)

// peerWithChange is a daemon that has one template change.
type peerWithChange struct {
	wire.UnimplementedPeerServer
	change []byte
}

func (p peerWithChange) Changes(context.Context, *wire.ChangesRequest) (*wire.ChangesReply, error) {
	return &wire.ChangesReply{Number: 1, Changes: [][]byte{p.change}}, nil
}

// TestChangeIsFetchedFromPeerWhilePlatformHangs checks that a change is read
// from another daemon while the platform accepts requests and never answers.
func TestChangeIsFetchedFromPeerWhilePlatformHangs(t *testing.T) {
	change, err := json.Marshal(template.Change{Number: 1, ID: "x", Template: template.Template{
		Workspace: "till", CredentialSHA256: []string{strings.Repeat("ab", 32)}, Version: 1,
	}})
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	wire.RegisterPeerServer(g, peerWithChange{change: change})
	defer g.Stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.Serve(listener) }()
	hanging := store.NewMemory().Store()
	hanging.Read = func(ctx context.Context, _ []store.Ref) ([]store.Row, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := control.New(member.Member{Addr: "127.0.0.1:1", Hall: "oslo-a", Incarnation: 1})
	go l.Run(ctx)
	l.Do(ctx, func(s *control.State) {
		s.MergeMembers([]member.Member{{Addr: listener.Addr().String(), Hall: "oslo-a", Incarnation: 1}})
		s.ObserveTemplateNumber(1)
	})
	client := peers.NewClient()
	defer client.Close()
	New(l, client, WithChanges(changes.New(hanging))).readTemplates(ctx)
	if n := l.View().Templates.Number(); n != 1 {
		t.Errorf("the daemon is at change %d, want change 1 of the other daemon", n)
	}
	if !l.View().PlatformDown {
		t.Error("the view does not report the platform as down")
	}
}
