package upkeep

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"slipcrank.example/core/changes"
	"slipcrank.example/core/member"
	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
)

// TestFetchFromPlatform has a daemon that knows some changes fetch the rest,
// from a log that may have been trimmed beyond what it knows.
func TestFetchFromPlatform(t *testing.T) {
	const accepted, saved, reach = 30, 25, 5
	for name, known := range map[string]int{"nothing": 0, "a little": 3, "the last of what was trimmed": 19, "most": 28, "all": 30} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			log := changes.New(store.NewMemory().Store(), changes.WithRetention(reach))
			for i := range accepted {
				x := template.Template{
					Workspace: fmt.Sprint("w", i), CredentialSHA256: []string{strings.Repeat("ab", 32)},
					Models: []template.Model{{Name: "m", Version: "1"}}, Urgency: template.Standard,
					Crossover: template.Crossover{State: template.New, Percent: 100},
				}
				if _, err := log.Apply(ctx, fmt.Sprint(i), x, 0); err != nil {
					t.Fatal(err)
				}
			}
			cs, err := log.After(ctx, 0)
			if err != nil {
				t.Fatal(err)
			}
			if err := log.SaveSnapshot(ctx, template.NewSet().Apply(cs[:saved])); err != nil {
				t.Fatal(err)
			}
			if n, err := log.Trim(ctx); n != saved-reach || err != nil {
				t.Fatalf("%d changes were trimmed, %v", n, err)
			}
			l := control.New(member.Member{Addr: "127.0.0.1:7000", Hall: "oslo-a", Incarnation: 1})
			go l.Run(ctx)
			u := New(l, nil, WithChanges(log))
			u.move(ctx, template.Update{Changes: cs[:known]})
			u.fetchFromPlatform(ctx, accepted)
			if b := l.View().Templates; b.Number() != accepted || len(b.Templates()) != accepted {
				t.Errorf("the daemon is at %d with %d templates, want %d", b.Number(), len(b.Templates()), accepted)
			}
		})
	}
}
