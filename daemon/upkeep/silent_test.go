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

// ahead is a daemon that has one template change.
type ahead struct {
	wire.UnimplementedPeerServer
	change []byte
}

func (a ahead) Changes(context.Context, *wire.ChangesRequest) (*wire.ChangesReply, error) {
	return &wire.ChangesReply{Number: 1, Changes: [][]byte{a.change}}, nil
}

// TestChangeArrivesWhileThePlatformIsSilent has a platform that takes requests
// and never answers, and another daemon that has what was heard of.
func TestChangeArrivesWhileThePlatformIsSilent(t *testing.T) {
	change, err := json.Marshal(template.Change{Number: 1, ID: "x", Template: template.Template{
		Workspace: "till", CredentialSHA256: []string{strings.Repeat("ab", 32)}, Version: 1,
	}})
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	wire.RegisterPeerServer(g, ahead{change: change})
	defer g.Stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = g.Serve(listener) }()
	silent := store.NewMemory().Store()
	silent.Read = func(ctx context.Context, _ []store.Ref) ([]store.Row, error) {
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
	New(l, client, WithChanges(changes.New(silent))).readTemplates(ctx)
	if n := l.View().Templates.Number(); n != 1 {
		t.Errorf("the daemon is at change %d, want 1: another daemon has it", n)
	}
	if !l.View().PlatformDown {
		t.Error("the daemon does not say that the platform is silent")
	}
}
