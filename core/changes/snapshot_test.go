package changes_test

import (
	"context"
	"fmt"
	"testing"

	"slipcrank.example/core/changes"
	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
)

// applied returns a log with n changes, each of a new workspace, and a book of
// them all.
func applied(t *testing.T, s store.Store, n int, os ...changes.Option) (*changes.Log, *template.Set) {
	t.Helper()
	ctx := context.Background()
	l := changes.New(s, os...)
	b := template.NewSet()
	for i := range n {
		c, err := l.Apply(ctx, fmt.Sprint(i), example(fmt.Sprint("w", i), i%101), 0)
		if err != nil {
			t.Fatal(err)
		}
		b = b.Apply([]template.Change{c})
	}
	return l, b
}

func save(t *testing.T, l *changes.Log, b *template.Set) {
	t.Helper()
	if err := l.SaveSnapshot(context.Background(), b); err != nil {
		t.Fatal(err)
	}
}

func TestSnapshotStartsANewDaemon(t *testing.T) {
	ctx := context.Background()
	l, _ := applied(t, store.NewMemory().Store(), 5)
	cs, err := l.After(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	save(t, l, template.NewSet().Apply(cs[:3]))
	b, err := l.LoadSnapshot(ctx)
	if err != nil || b.Number() != 3 {
		t.Fatalf("the snapshot is at %d, %v", b.Number(), err)
	}
	rest, err := l.After(ctx, b.Number())
	if err != nil {
		t.Fatal(err)
	}
	if got := b.Apply(rest); got.Number() != 5 || len(got.Templates()) != 5 {
		t.Errorf("snapshot and changes give number %d with %d templates", got.Number(), len(got.Templates()))
	}
}

// TestPausedSaverPutsNoOlderSnapshotInForce pauses a daemon at each of its
// steps while another stores a newer snapshot and trims the log after it.
func TestPausedSaverPutsNoOlderSnapshotInForce(t *testing.T) {
	ctx := context.Background()
	for name, pause := range map[string]func(s *store.Store, meanwhile func()){
		"before the object": func(s *store.Store, meanwhile func()) {
			put := s.PutObject
			s.PutObject = func(ctx context.Context, name string, b []byte) error {
				meanwhile()
				return put(ctx, name, b)
			}
		},
		"before the row": func(s *store.Store, meanwhile func()) {
			commit := s.Commit
			s.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
				meanwhile()
				return commit(ctx, ws)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := store.NewMemory().Store()
			l, newest := applied(t, s, 20, changes.WithRetention(3))
			cs, err := l.After(ctx, 0)
			if err != nil {
				t.Fatal(err)
			}
			paused := s
			pause(&paused, func() {
				save(t, l, newest)
				if _, err := l.Trim(ctx); err != nil {
					t.Fatal(err)
				}
			})
			save(t, changes.New(paused), template.NewSet().Apply(cs[:5]))
			if b, err := l.LoadSnapshot(ctx); err != nil || b.Number() != newest.Number() {
				t.Errorf("the snapshot in force is at %d, %v, want %d", b.Number(), err, newest.Number())
			}
		})
	}
}

func TestTrimKeepsLogAndObjectsBounded(t *testing.T) {
	ctx := context.Background()
	const reach, n = 10, 400
	m := store.NewMemory()
	l, b := applied(t, m.Store(), n, changes.WithRetention(reach))
	if d, err := l.Trim(ctx); d != 0 || err != nil {
		t.Errorf("without a snapshot %d changes were trimmed, %v", d, err)
	}
	cs, err := l.After(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	for at := 100; at <= n; at += 50 {
		save(t, l, template.NewSet().Apply(cs[:at]))
		if _, err := l.Trim(ctx); err != nil {
			t.Fatal(err)
		}
	}
	left, err := l.After(ctx, 0)
	if err != nil || len(left) != reach || left[0].Number != n-reach+1 {
		t.Errorf("the log has %d changes, %v, want the last %d", len(left), err, reach)
	}
	if o := m.Objects(); len(o) > 2 {
		t.Errorf("%d snapshots are kept, want the newest and the one before: %v", len(o), o)
	}
	again, err := l.Apply(ctx, "0", example("w0", 0), 0)
	if tmpl, _ := b.Template("w0"); err != nil || again.Number != 1 || again.Template.Version != tmpl.Version {
		t.Errorf("a repeat of a trimmed change got %+v, %v", again, err)
	}
}
