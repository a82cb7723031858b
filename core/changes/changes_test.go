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

func newTemplate(workspace string, percent int) template.Template {
	return template.Template{
		Workspace:        workspace,
		CredentialSHA256: []string{strings.Repeat("ab", 32)},
		Models:           []template.Model{{Name: "m", Version: "1"}},
		Urgency:          template.Standard,
		Crossover:        template.Crossover{State: template.Moving, Percent: percent},
	}
}

func TestConcurrentAppliesAcceptOneChange(t *testing.T) {
	ctx := context.Background()
	const racers = 8
	s := store.NewMemory().Store()
	var allRead sync.WaitGroup // makes all racers read before any of them commits
	allRead.Add(racers)
	var reads atomic.Int64
	synchronized := s
	synchronized.Read = func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
		rows, err := s.Read(ctx, rs)
		if reads.Add(1) <= racers {
			allRead.Done()
			allRead.Wait()
		}
		return rows, err
	}
	l := changes.New(synchronized)
	var w sync.WaitGroup
	errs := make([]error, racers)
	for i := range errs {
		w.Go(func() { _, errs[i] = l.Apply(ctx, fmt.Sprint("change-", i), newTemplate("till", i), 0) })
	}
	w.Wait()
	won := 0
	for _, err := range errs {
		switch {
		case err == nil:
			won++
		case !fault.Is(err, fault.Conflict) || !strings.Contains(fault.From(err).Remedy(), "version 1"):
			t.Errorf("a rejected change got %v, want a conflict that states version 1", err)
		}
	}
	if won != 1 {
		t.Errorf("%d of %d racing changes were accepted", won, len(errs))
	}
}

func TestRepeatAfterLostAnswerReturnsSameChange(t *testing.T) {
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
	if _, err := changes.New(flaky).Apply(ctx, "id-1", newTemplate("till", 10), 0); !fault.Is(err, fault.Undecided) {
		t.Fatalf("got %v, want undecided", err)
	}
	l := changes.New(s)
	c, err := l.Apply(ctx, "id-1", newTemplate("till", 10), 0)
	if err != nil || c.Number != 1 || c.Template.Version != 1 {
		t.Errorf("the repeat returned change %+v, %v", c, err)
	}
	if n, err := l.Head(ctx); n != 1 || err != nil {
		t.Errorf("head %d, %v after one change", n, err)
	}
}

// TestDaemonsMatchReplayedChanges applies changes through a faulty store while
// daemons that lag to different degrees fetch them from the log, from snapshots
// and from one another. The set of each daemon must equal the replay of the
// accepted changes up to its number, and its number must never fall.
func TestDaemonsMatchReplayedChanges(t *testing.T) {
	ps := gopter.DefaultTestParametersWithSeed(1)
	ps.MinSuccessfulTests = 150
	p := gopter.NewProperties(ps)
	p.Property("the number of a set never falls, and the set equals the replayed changes", prop.ForAll(runScenario, gen.UInt64()))
	p.TestingRun(t)
}

func runScenario(seed uint64) string {
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
	retention := changes.WithRetention(3)
	log, clean := changes.New(flaky, retention), changes.New(s, retention)
	var accepted []template.Change // never trimmed
	sets := make([]*template.Set, 3)
	recents := make([]template.RecentChanges, 3)
	for i := range sets {
		sets[i] = template.NewSet()
	}
	for i := range 40 {
		ws := fmt.Sprint("w", r.IntN(3))
		t, _ := sets[0].Template(ws)
		_, _ = log.Apply(ctx, fmt.Sprint("id", i), newTemplate(ws, r.IntN(101)), t.Version)
		newlyAccepted, err := clean.After(ctx, uint64(len(accepted)))
		if err != nil {
			return err.Error()
		}
		accepted = append(accepted, newlyAccepted...)
		if r.IntN(4) == 0 {
			_ = log.SaveSnapshot(ctx, sets[r.IntN(3)])
			_, _ = log.Trim(ctx)
		}
		d := r.IntN(3)
		before := sets[d].Number()
		if r.IntN(3) == 0 { // from another daemon, which may lag behind
			source := r.IntN(3)
			u := template.Update{Snapshot: sets[source]}
			if cs, ok := recents[source].After(before); ok {
				u = template.Update{Changes: cs}
			}
			sets[d], recents[d] = sets[d].Update(u, recents[d])
		} else if cs, err := log.After(ctx, before); err == nil {
			u := template.Update{Changes: cs}
			if len(cs) > 0 && cs[0].Number > before+1 {
				if u.Snapshot, err = log.LoadSnapshot(ctx); err != nil {
					return err.Error()
				}
			}
			sets[d], recents[d] = sets[d].Update(u, recents[d])
			if head, _ := clean.Head(ctx); sets[d].Number() != head {
				return fmt.Sprintf("daemon %d fetched changes up to %d, the head is %d", d, sets[d].Number(), head)
			}
		}
		if sets[d].Number() < before {
			return fmt.Sprintf("daemon %d went back from change %d to %d", d, before, sets[d].Number())
		}
	}
	for d, set := range sets {
		if want := replay(accepted, set.Number()); fmt.Sprint(set.Templates()) != want {
			return fmt.Sprintf("daemon %d at change %d has %v, want %s", d, set.Number(), set.Templates(), want)
		}
	}
	return ""
}

// replay returns the templates after the first n changes, printed in order of
// workspace. It is the reference for [template.Set].
func replay(all []template.Change, n uint64) string {
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
