package changes_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"slipcrank.example/core/changes"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/store"
	"slipcrank.example/core/template"
)

var errLost = errors.New("no answer")

func example(workspace string, percent int) template.Template {
	return template.Template{
		Workspace:        workspace,
		CredentialSHA256: []string{strings.Repeat("ab", 32)},
		Models:           []template.Model{{Name: "m", Version: "1"}},
		Urgency:          template.Standard,
		Crossover:        template.Crossover{State: template.Moving, Percent: percent},
	}
}

func TestRacingOperatorsGetOneChangeAndConflicts(t *testing.T) {
	ctx := context.Background()
	const racers = 8
	s := store.NewMemory().Store()
	var all sync.WaitGroup // each has read before any writes
	all.Add(racers)
	var reads atomic.Int64
	held := s
	held.Read = func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
		rows, err := s.Read(ctx, rs)
		if reads.Add(1) <= racers {
			all.Done()
			all.Wait()
		}
		return rows, err
	}
	l := changes.New(held)
	var w sync.WaitGroup
	errs := make([]error, racers)
	for i := range errs {
		w.Go(func() { _, errs[i] = l.Apply(ctx, fmt.Sprint("change-", i), example("till", i), 0) })
	}
	w.Wait()
	won := 0
	for _, err := range errs {
		switch {
		case err == nil:
			won++
		case !fault.Is(err, fault.Conflict) || !strings.Contains(fault.From(err).Remedy(), "version 1"):
			t.Errorf("a loser got %v, want a conflict that names version 1", err)
		}
	}
	if won != 1 {
		t.Errorf("%d of %d racing changes were accepted", won, len(errs))
	}
}

func TestRepeatAfterLostAnswerIsTheSameChange(t *testing.T) {
	ctx := context.Background()
	s := store.NewMemory().Store()
	flaky, down := s, false
	flaky.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
		_, _ = s.Commit(ctx, ws)
		down = true
		return store.Outcome{}, errLost
	}
	flaky.Read = func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
		if down {
			return nil, errLost
		}
		return s.Read(ctx, rs)
	}
	if _, err := changes.New(flaky).Apply(ctx, "id-1", example("till", 10), 0); !fault.Is(err, fault.Undecided) {
		t.Fatalf("got %v, want undecided", err)
	}
	l := changes.New(s)
	c, err := l.Apply(ctx, "id-1", example("till", 10), 0)
	if err != nil || c.Number != 1 || c.Template.Version != 1 {
		t.Errorf("the repeat got change %+v and %v", c, err)
	}
	if n, err := l.Head(ctx); n != 1 || err != nil {
		t.Errorf("head %d, %v after one change", n, err)
	}
}

// TestDaemonsAgainstNaive has operators change templates through a flaky
// store while daemons read, fetch and lag; each daemon's book must always be a
// prefix of the accepted changes, and never go back.
func TestDaemonsAgainstNaive(t *testing.T) {
	ps := gopter.DefaultTestParametersWithSeed(1)
	ps.MinSuccessfulTests = 150
	p := gopter.NewProperties(ps)
	p.Property("books only move forward along the accepted changes", prop.ForAll(play, gen.UInt64()))
	p.TestingRun(t)
}

func play(seed uint64) string {
	ctx := context.Background()
	r := rand.New(rand.NewPCG(seed, 1))
	s := store.NewMemory().Store()
	flaky := s
	flaky.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
		switch r.IntN(5) {
		case 0:
			return store.Outcome{}, errLost
		case 1:
			_, _ = s.Commit(ctx, ws)
			return store.Outcome{}, errLost
		}
		return s.Commit(ctx, ws)
	}
	reach := changes.WithRetention(3)
	log, clean := changes.New(flaky, reach), changes.New(s, reach)
	var all []template.Change // never trimmed
	books := make([]*template.Set, 3)
	recents := make([]template.RecentChanges, 3)
	for i := range books {
		books[i] = template.NewSet()
	}
	for i := range 40 {
		ws := fmt.Sprint("w", r.IntN(3))
		t, _ := books[0].Template(ws)
		_, _ = log.Apply(ctx, fmt.Sprint("id", i), example(ws, r.IntN(101)), t.Version)
		more, err := clean.After(ctx, uint64(len(all)))
		if err != nil {
			return err.Error()
		}
		all = append(all, more...)
		if r.IntN(4) == 0 {
			_ = log.SaveSnapshot(ctx, books[r.IntN(3)])
			_, _ = log.Trim(ctx)
		}
		d := r.IntN(3)
		before := books[d].Number()
		if r.IntN(3) == 0 { // from another daemon, which may be behind
			o := r.IntN(3)
			u := template.Update{Snapshot: books[o]}
			if cs, ok := recents[o].After(before); ok {
				u = template.Update{Changes: cs}
			}
			books[d], recents[d] = books[d].Update(u, recents[d])
		} else if cs, err := log.After(ctx, before); err == nil {
			u := template.Update{Changes: cs}
			if len(cs) > 0 && cs[0].Number > before+1 {
				if u.Snapshot, err = log.LoadSnapshot(ctx); err != nil {
					return err.Error()
				}
			}
			books[d], recents[d] = books[d].Update(u, recents[d])
			if head, _ := clean.Head(ctx); books[d].Number() != head {
				return fmt.Sprintf("daemon %d fetched up to %d of %d", d, books[d].Number(), head)
			}
		}
		if books[d].Number() < before {
			return fmt.Sprintf("daemon %d went from %d back to %d", d, before, books[d].Number())
		}
	}
	for d, b := range books {
		if want := naive(all, b.Number()); fmt.Sprint(b.Templates()) != want {
			return fmt.Sprintf("daemon %d at %d has %v, want %s", d, b.Number(), b.Templates(), want)
		}
	}
	return ""
}

// naive replays the first n changes into a plain map.
func naive(all []template.Change, n uint64) string {
	m := map[string]template.Template{}
	for _, c := range all {
		if c.Number <= n {
			m[c.Template.Workspace] = c.Template
		}
	}
	var out []template.Template
	for _, t := range m {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b template.Template) int { return strings.Compare(a.Workspace, b.Workspace) })
	return fmt.Sprint(out)
}
