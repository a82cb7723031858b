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

// TestFetchFromPlatform checks that a daemon that has the first changes fetches
// the rest from the platform, also if the log has been trimmed past its own last
// change.
func TestFetchFromPlatform(t *testing.T) {
	const accepted, saved, retention = 30, 25, 5
	for name, applied := range map[string]int{"no changes": 0, "a few trimmed changes": 3, "all but the last trimmed change": 19, "most changes": 28, "all changes": 30} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			log := changes.New(store.NewMemory().Store(), changes.WithRetention(retention))
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
			if n, err := log.Trim(ctx); n != saved-retention || err != nil {
				t.Fatalf("Trim deleted %d changes and returned the error %v", n, err)
			}
			l := control.New(member.Member{Addr: "127.0.0.1:7000", Hall: "oslo-a", Incarnation: 1})
			go l.Run(ctx)
			u := New(l, nil, WithChanges(log))
			u.applyTemplates(ctx, template.Update{Changes: cs[:applied]})
			u.fetchFromPlatform(ctx, accepted)
			if ts := l.View().Templates; ts.Number() != accepted || len(ts.Templates()) != accepted {
				t.Errorf("the daemon is at change %d with %d templates, want %d of both", ts.Number(), len(ts.Templates()), accepted)
			}
		})
	}
}
