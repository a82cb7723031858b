package changes_test

import (
	"context"
	"fmt"
	"testing"

	"slipcrank.example/core/changes"
	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
)

// newLogWithChanges returns a log with n changes, each to a new workspace, and the
// set after all of them.
func newLogWithChanges(t *testing.T, s store.Store, n int, os ...changes.Option) (*changes.Log, *template.Set) {
	t.Helper()
	ctx := context.Background()
	l := changes.New(s, os...)
	set := template.NewSet()
	for i := range n {
		c, err := l.Apply(ctx, fmt.Sprint(i), newTemplate(fmt.Sprint("w", i), i%101), 0)
		if err != nil {
			t.Fatal(err)
		}
		set = set.Apply([]template.Change{c})
	}
	return l, set
}

func saveSnapshot(t *testing.T, l *changes.Log, set *template.Set) {
	t.Helper()
	if err := l.SaveSnapshot(context.Background(), set); err != nil {
		t.Fatal(err)
	}
}

func TestNewDaemonStartsFromSnapshot(t *testing.T) {
	ctx := context.Background()
	l, _ := newLogWithChanges(t, store.NewMemory().Store(), 5)
	cs, err := l.After(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	saveSnapshot(t, l, template.NewSet().Apply(cs[:3]))
	set, err := l.LoadSnapshot(ctx)
	if err != nil || set.Number() != 3 {
		t.Fatalf("the snapshot is at change %d, %v, want 3", set.Number(), err)
	}
	later, err := l.After(ctx, set.Number())
	if err != nil {
		t.Fatal(err)
	}
	if got := set.Apply(later); got.Number() != 5 || len(got.Templates()) != 5 {
		t.Errorf("snapshot and later changes give number %d with %d templates, want 5 and 5", got.Number(), len(got.Templates()))
	}
}

// TestPausedSaverDoesNotReplaceNewerSnapshot pauses a daemon before each write of
// SaveSnapshot while another stores a newer snapshot and trims the log. The newer
// snapshot must stay in force.
func TestPausedSaverDoesNotReplaceNewerSnapshot(t *testing.T) {
	ctx := context.Background()
	for name, pause := range map[string]func(s *store.Store, meanwhile func()){
		"before PutObject": func(s *store.Store, meanwhile func()) {
			put := s.PutObject
			s.PutObject = func(ctx context.Context, name string, b []byte) error {
				meanwhile()
				return put(ctx, name, b)
			}
		},
		"before Commit": func(s *store.Store, meanwhile func()) {
			commit := s.Commit
			s.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
				meanwhile()
				return commit(ctx, ws)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := store.NewMemory().Store()
			l, newest := newLogWithChanges(t, s, 20, changes.WithRetention(3))
			cs, err := l.After(ctx, 0)
			if err != nil {
				t.Fatal(err)
			}
			paused := s
			pause(&paused, func() {
				saveSnapshot(t, l, newest)
				if _, err := l.Trim(ctx); err != nil {
					t.Fatal(err)
				}
			})
			saveSnapshot(t, changes.New(paused), template.NewSet().Apply(cs[:5]))
			if set, err := l.LoadSnapshot(ctx); err != nil || set.Number() != newest.Number() {
				t.Errorf("the snapshot in force is at change %d, %v, want %d", set.Number(), err, newest.Number())
			}
		})
	}
}

func TestTrimKeepsLogAndObjectsBounded(t *testing.T) {
	ctx := context.Background()
	const retention, n = 10, 400
	m := store.NewMemory()
	l, set := newLogWithChanges(t, m.Store(), n, changes.WithRetention(retention))
	if d, err := l.Trim(ctx); d != 0 || err != nil {
		t.Errorf("without a snapshot, %d changes were trimmed, %v", d, err)
	}
	cs, err := l.After(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	for number := 100; number <= n; number += 50 {
		saveSnapshot(t, l, template.NewSet().Apply(cs[:number]))
		if _, err := l.Trim(ctx); err != nil {
			t.Fatal(err)
		}
	}
	remaining, err := l.After(ctx, 0)
	if err != nil || len(remaining) != retention || remaining[0].Number != n-retention+1 {
		t.Errorf("the log has %d changes, %v, want the latest %d", len(remaining), err, retention)
	}
	if o := m.Objects(); len(o) > 2 {
		t.Errorf("%d snapshots are kept, want only the newest and the previous one: %v", len(o), o)
	}
	again, err := l.Apply(ctx, "0", newTemplate("w0", 0), 0)
	if tmpl, _ := set.Template("w0"); err != nil || again.Number != 1 || again.Template.Version != tmpl.Version {
		t.Errorf("a repeat of a trimmed change returned %+v, %v", again, err)
	}
}
