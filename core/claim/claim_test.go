package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"slipcrank.example/core/claim"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/store"
)

var errLost = errors.New("no answer")

// flaky returns s with faults injected: draw decides for each call whether the
// request or its answer is lost, refused or delayed.
func flaky(s store.Store, draw func() int) store.Store {
	out := s
	var delayed [][]store.Write // sent, not yet applied, and no longer awaited
	applyDelayed := func(ctx context.Context) {
		if len(delayed) > 0 && draw() < 3 {
			_, _ = s.Commit(ctx, delayed[0])
			delayed = delayed[1:]
		}
	}
	out.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
		applyDelayed(ctx)
		switch draw() {
		case 0: // the request is lost
			return store.Outcome{}, errLost
		case 1: // the write takes effect and its answer is lost
			_, _ = s.Commit(ctx, ws)
			return store.Outcome{}, errLost
		case 2:
			return store.Outcome{}, store.ErrRefused
		case 3: // the write takes effect later
			delayed = append(delayed, ws)
			return store.Outcome{}, errLost
		default:
			return s.Commit(ctx, ws)
		}
	}
	out.Read = func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
		applyDelayed(ctx)
		if draw() == 0 {
			return nil, errLost
		}
		return s.Read(ctx, rs)
	}
	return out
}

// runModel is the reference model: it counts the runs of each key under one lock.
type runModel struct {
	mu   sync.Mutex
	runs map[string]int
}

func (n *runModel) run(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[key]++
}

// callerAction is what a caller does once it owns the claim.
type callerAction int

const (
	sendAndComplete callerAction = iota
	crashBeforeSend
	crashAfterSend
	voidAfterPause
	markLost
	actionCount
)

// TestCommandSequencesMatchModel checks random sequences of claims, crashes,
// pauses, voids, lost answers and withdrawals over a faulty store against a model
// that counts runs: no key runs twice, and no key that is reported as not run
// has run.
func TestCommandSequencesMatchModel(t *testing.T) {
	ps := gopter.DefaultTestParametersWithSeed(1)
	ps.MinSuccessfulTests = 300
	p := gopter.NewProperties(ps)
	p.Property("a key runs at most once, and not at all if reported as not run", prop.ForAll(
		func(seed uint64, moves []int) (bad string) {
			synctest.Test(t, func(*testing.T) { bad = runSequence(seed, moves) }) // virtual time
			return bad
		},
		gen.UInt64(), gen.SliceOfN(40, gen.IntRange(0, int(actionCount)*4-1)),
	))
	p.TestingRun(t)
}

// runSequence executes the moves and returns a description of the first
// disagreement with the model, or "".
func runSequence(seed uint64, moves []int) string {
	ctx := context.Background()
	r := rand.New(rand.NewPCG(seed, 1))
	m := store.NewMemory()
	reg := claim.New(flaky(m.Store(), func() int { return r.IntN(8) }))
	model := &runModel{runs: map[string]int{}}
	keys := make([]string, 4)
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
	}
	reported := map[string]string{}
	for _, move := range moves {
		key, action := keys[move/int(actionCount)], callerAction(move%int(actionCount))
		c, err := reg.Begin(ctx, "w", key)
		switch {
		case fault.Is(err, fault.Undecided):
			_ = c.Withdraw(ctx)
		case err != nil:
			return fmt.Sprintf("unexpected %v", err)
		case c.Owned():
			if violation := performAction(ctx, c, key, action, model, reported); violation != "" {
				return violation
			}
		case c.State() == claim.Done && model.runs[key] != 1:
			return fmt.Sprintf("done, but %d runs", model.runs[key])
		case c.State() == claim.Void:
			reported[key] = "not run"
		case c.State() == claim.Open:
			return "Begin returned an open claim"
		}
		if model.runs[key] > 1 {
			return fmt.Sprintf("%d runs", model.runs[key])
		}
		if reported[key] == "not run" && model.runs[key] != 0 {
			return "reported as not run, but ran"
		}
	}
	return ""
}

func performAction(ctx context.Context, c claim.Claim, key string, action callerAction, model *runModel, reported map[string]string) string {
	switch action {
	case sendAndComplete:
		model.run(key)
		_ = c.Done(ctx, claim.Answer{Status: 200})
	case crashAfterSend:
		model.run(key)
	case markLost:
		model.run(key)
		_ = c.MarkLost(ctx)
	case voidAfterPause:
		if c.Void(ctx) == nil {
			reported[key] = "not run"
		}
	}
	return ""
}

func TestWithdrawnKeyCanBeClaimedAgain(t *testing.T) {
	ctx := context.Background()
	good := store.NewMemory().Store()
	key := uuid.Must(uuid.NewV7()).String()
	readable := false
	bad := good
	bad.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
		o, err := good.Commit(ctx, ws)
		if readable {
			return o, err
		}
		return store.Outcome{}, errLost
	}
	bad.Read = func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
		if readable {
			return good.Read(ctx, rs)
		}
		return nil, errLost
	}
	c, err := claim.New(bad).Begin(ctx, "w", key)
	if !fault.Is(err, fault.Undecided) {
		t.Fatalf("got %v, want undecided", err)
	}
	if other, err := claim.New(good).Begin(ctx, "w", key); err != nil || other.Owned() {
		t.Fatalf("a second caller owns the key before the withdrawal: %v", err)
	}
	if err := c.Withdraw(ctx); err == nil {
		t.Fatal("Withdraw succeeded although the store does not answer")
	}
	readable = true
	if err := c.Withdraw(ctx); err != nil {
		t.Fatalf("withdraw: %v", err)
	}
	if other, err := claim.New(good).Begin(ctx, "w", key); err != nil || !other.Owned() {
		t.Errorf("the key can't be claimed after the withdrawal: %v", err)
	}
}

// TestDelayedWriteDoesNotBlockKey applies the writes of an undecided claim after
// its withdrawal, as happens when a network partition heals.
func TestDelayedWriteDoesNotBlockKey(t *testing.T) {
	for name, tc := range map[string]struct {
		withdrawnBefore bool // an earlier claim on the key was also withdrawn
		unanswered      int  // number of writes that take effect at once, without an answer
	}{
		"all delayed":                         {},
		"all delayed, key withdrawn before":   {withdrawnBefore: true},
		"first applied":                       {unanswered: 1},
		"first applied, key withdrawn before": {withdrawnBefore: true, unanswered: 1},
		"all applied, none answered":          {unanswered: 3},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			good := store.NewMemory().Store()
			key := uuid.Must(uuid.NewV7()).String()
			var delayed [][]store.Write
			beginUndecided := func(unanswered int) {
				healed := false
				bad := good
				bad.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
					if healed {
						return good.Commit(ctx, ws)
					}
					if unanswered--; unanswered >= 0 {
						_, _ = good.Commit(ctx, ws)
					} else {
						delayed = append(delayed, ws)
					}
					return store.Outcome{}, errLost
				}
				reads := 0
				bad.Read = func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
					if reads++; healed || (reads == 1 && unanswered < 0) {
						return good.Read(ctx, rs) // so that Begin sees the open row of a withdrawn key
					}
					return nil, errLost
				}
				c, err := claim.New(bad).Begin(ctx, "w", key)
				if !fault.Is(err, fault.Undecided) {
					t.Fatalf("got %v, want undecided", err)
				}
				healed = true
				if err := c.Withdraw(ctx); err != nil {
					t.Fatalf("withdraw: %v", err)
				}
			}
			if tc.withdrawnBefore {
				beginUndecided(0)
			}
			beginUndecided(tc.unanswered)
			for _, ws := range delayed {
				_, _ = good.Commit(ctx, ws)
			}
			if other, err := claim.New(good).Begin(ctx, "w", key); err != nil || !other.Owned() {
				t.Errorf("after the delayed writes the state of the key is %q, %v", other.State(), err)
			}
		})
	}
}

func TestCheckKey(t *testing.T) {
	now := time.Now()
	old, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		key string
		now time.Time
		ok  bool
	}{
		"fresh":             {old.String(), now, true},
		"empty":             {"", now, false},
		"not a UUID":        {"order-17", now, false},
		"version 4":         {uuid.NewString(), now, false},
		"expired":           {old.String(), now.Add(claim.KeyLifetime + time.Minute), false},
		"far in the future": {old.String(), now.Add(-time.Hour), false},
		"within clock skew": {old.String(), now.Add(-time.Minute), true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := claim.CheckKey(tc.key, tc.now); (err == nil) != tc.ok {
				t.Errorf("CheckKey gave %v", err)
			}
		})
	}
	if claim.RowLifetime <= claim.KeyLifetime {
		t.Error("rows must be kept for longer than keys are accepted")
	}
}

func TestBatcherDecidesEachRowSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m := store.NewMemory()
		g := claim.NewBatcher(m.Store())
		go g.Run(ctx)
		if _, err := m.Store().Commit(ctx, []store.Write{{Table: "claims", Key: "k3", Value: []byte("x"), Expect: store.Any}}); err != nil {
			t.Fatal(err)
		}
		before, _ := m.Counts()
		const rows = 100
		results := make([]claim.Result, rows)
		var w sync.WaitGroup
		for i := range rows {
			w.Go(func() {
				results[i], _ = g.Write(ctx, store.Write{Table: "claims", Key: fmt.Sprintf("k%d", i), Value: []byte("y")})
			})
		}
		w.Wait()
		for i, r := range results {
			want := claim.Written
			if i == 3 {
				want = claim.ConditionFailed
			}
			if r != want {
				t.Errorf("row %d: result %d, want %d", i, r, want)
			}
		}
		after, _ := m.Counts()
		if after-before > 2 {
			t.Errorf("%d rows took %d transactions, want at most 2", rows, after-before)
		}
	})
}

func TestBatcherSerializesWritesToOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := claim.NewBatcher(store.NewMemory().Store())
		go g.Run(ctx)
		var mu sync.Mutex
		results := map[claim.Result]int{}
		var w sync.WaitGroup
		for range 20 {
			w.Go(func() {
				r, _ := g.Write(ctx, store.Write{Table: "claims", Key: "same", Value: []byte("y")})
				mu.Lock()
				defer mu.Unlock()
				results[r]++
			})
		}
		w.Wait()
		if results[claim.Written] != 1 || results[claim.ConditionFailed] != 19 {
			t.Errorf("got %v, want one write written and the others with a failed condition", results)
		}
	})
}
