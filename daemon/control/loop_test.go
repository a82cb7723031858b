package control_test

import (
	"context"
	"testing"

	"slipcrank.example/core/member"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
)

// A change that was reported to an operator as in force must be visible to the
// next command.
func TestDoReturnsAfterViewIsPublished(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	const changes = 2000
	for n := uint64(1); n <= changes; n++ {
		x := template.Change{Number: n, Template: template.Template{Workspace: "till", Version: n}}
		l.loop.Do(context.Background(), func(s *control.State) {
			s.UpdateTemplates(template.Update{Changes: []template.Change{x}})
		})
		if got := l.loop.View().Templates.Number(); got != n {
			t.Fatalf("change %d was applied, but the view is at change %d", n, got)
		}
	}
}

func TestAskReturnsAfterViewIsPublished(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	const hosts = 370
	for n := uint64(1); n <= hosts; n++ {
		m := member.Member{Addr: string(rune('a'+n%26)) + string(rune('a'+n/26)), Hall: "oslo-b", Incarnation: n}
		want, _ := control.Ask(context.Background(), l.loop, func(s *control.State) int {
			s.MergeMembers([]member.Member{m})
			return len(s.Members().All())
		})
		if got := len(l.loop.View().Members); got != want {
			t.Fatalf("the state has %d members, but the view has %d", want, got)
		}
	}
}
