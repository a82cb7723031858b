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

// flaky wraps a store so that writes and reads meet drawn faults.
func flaky(s store.Store, draw func() int) store.Store {
	out := s
	var late [][]store.Write // on their way, with nobody waiting for them
	land := func(ctx context.Context) {
		if len(late) > 0 && draw() < 3 {
			_, _ = s.Commit(ctx, late[0])
			late = late[1:]
		}
	}
	out.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
		land(ctx)
		switch draw() {
		case 0: // never arrived
			return store.Outcome{}, errLost
		case 1: // took effect, and the answer was lost
			_, _ = s.Commit(ctx, ws)
			return store.Outcome{}, errLost
		case 2:
			return store.Outcome{}, store.ErrRefused
		case 3: // takes effect later
			late = append(late, ws)
			return store.Outcome{}, errLost
		default:
			return s.Commit(ctx, ws)
		}
	}
	out.Read = func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
		land(ctx)
		if draw() == 0 {
			return nil, errLost
		}
		return s.Read(ctx, rs)
	}
	return out
}

// naive is the meaning of claims with one lock and no faults.
type naive struct {
	mu   sync.Mutex
	runs map[string]int
}

func (n *naive) run(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[key]++
}

// step is one caller's part in a command sequence: what it does once it has
// the claim.
type step int

const (
	sendAndStore step = iota
	crashBeforeSend
	crashAfterSend
	pauseAndVoid
	loseAnswer
	steps
)

// TestSequencesAgainstNaive runs sequences of claims, crashes, pauses, voids,
// lost answers and withdrawals against a model with one lock.
func TestSequencesAgainstNaive(t *testing.T) {
	ps := gopter.DefaultTestParametersWithSeed(1)
	ps.MinSuccessfulTests = 300
	p := gopter.NewProperties(ps)
	p.Property("a key runs at most once, and not run is true", prop.ForAll(
		func(seed uint64, moves []int) (bad string) {
			synctest.Test(t, func(*testing.T) { bad = play(seed, moves) }) // pauses take no time
			return bad
		},
		gen.UInt64(), gen.SliceOfN(40, gen.IntRange(0, int(steps)*4-1)),
	))
	p.TestingRun(t)
}

// play returns "" if every answer agreed with the model.
func play(seed uint64, moves []int) string {
	ctx := context.Background()
	r := rand.New(rand.NewPCG(seed, 1))
	m := store.NewMemory()
	reg := claim.New(flaky(m.Store(), func() int { return r.IntN(8) }))
	model := &naive{runs: map[string]int{}}
	keys := make([]string, 4)
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
	}
	said := map[string]string{}
	for _, mv := range moves {
		key, what := keys[mv/int(steps)], step(mv%int(steps))
		c, err := reg.Begin(ctx, "w", key)
		switch {
		case fault.Is(err, fault.Undecided):
			_ = c.Withdraw(ctx)
		case err != nil:
			return fmt.Sprintf("unexpected %v", err)
		case c.Owned():
			if bad := act(ctx, c, key, what, model, said); bad != "" {
				return bad
			}
		case c.State() == claim.Done && model.runs[key] != 1:
			return fmt.Sprintf("done, but %d runs", model.runs[key])
		case c.State() == claim.Void:
			said[key] = "not run"
		case c.State() == claim.Open:
			return "a claim that was decided is open"
		}
		if model.runs[key] > 1 {
			return fmt.Sprintf("%d runs", model.runs[key])
		}
		if said[key] == "not run" && model.runs[key] != 0 {
			return "said not run, but ran"
		}
	}
	return ""
}

func act(ctx context.Context, c claim.Claim, key string, what step, model *naive, said map[string]string) string {
	switch what {
	case sendAndStore:
		model.run(key)
		_ = c.Done(ctx, claim.Answer{Status: 200})
	case crashAfterSend:
		model.run(key)
	case loseAnswer:
		model.run(key)
		_ = c.MarkLost(ctx)
	case pauseAndVoid:
		if c.Void(ctx) == nil {
			said[key] = "not run"
		}
	}
	return ""
}

func TestWithdrawnKeyCanBeUsedAgain(t *testing.T) {
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
		t.Fatalf("another has the claim before it was withdrawn: %v", err)
	}
	if err := c.Withdraw(ctx); err == nil {
		t.Fatal("withdrawn while the store does not answer")
	}
	readable = true
	if err := c.Withdraw(ctx); err != nil {
		t.Fatalf("withdraw: %v", err)
	}
	if other, err := claim.New(good).Begin(ctx, "w", key); err != nil || !other.Owned() {
		t.Errorf("the key can't be used after the withdrawal: %v", err)
	}
}

// TestLateWriteBlocksNoKey has the writes of an undecided claim take effect
// after it was withdrawn, as they do when a cut link heals.
func TestLateWriteBlocksNoKey(t *testing.T) {
	for name, tc := range map[string]struct {
		before bool // whether an earlier claim on the key was withdrawn too
		lost   int  // how many of the writes took effect at once, unanswered
	}{
		"all late":                       {},
		"all late, on a withdrawn key":   {before: true},
		"the first took effect":          {lost: 1},
		"the first, on a withdrawn key":  {before: true, lost: 1},
		"all took effect, none answered": {lost: 3},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			good := store.NewMemory().Store()
			key := uuid.Must(uuid.NewV7()).String()
			var late [][]store.Write
			undecided := func(lost int) {
				healed := false
				bad := good
				bad.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
					if healed {
						return good.Commit(ctx, ws)
					}
					if lost--; lost >= 0 {
						_, _ = good.Commit(ctx, ws)
					} else {
						late = append(late, ws)
					}
					return store.Outcome{}, errLost
				}
				reads := 0
				bad.Read = func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
					if reads++; healed || (reads == 1 && lost < 0) {
						return good.Read(ctx, rs) // so that it sees a withdrawn key
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
			if tc.before {
				undecided(0)
			}
			undecided(tc.lost)
			for _, ws := range late {
				_, _ = good.Commit(ctx, ws)
			}
			if other, err := claim.New(good).Begin(ctx, "w", key); err != nil || !other.Owned() {
				t.Errorf("after late writes the key is %q, %v", other.State(), err)
			}
		})
	}
}

func TestKeys(t *testing.T) {
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
		"fresh":        {old.String(), now, true},
		"none":         {"", now, false},
		"not a uuid":   {"order-17", now, false},
		"version 4":    {uuid.NewString(), now, false},
		"a day old":    {old.String(), now.Add(claim.KeyLife + time.Minute), false},
		"ahead":        {old.String(), now.Add(-time.Hour), false},
		"a clock away": {old.String(), now.Add(-time.Minute), true},
	} {
		t.Run(name, func(t *testing.T) {
			if err := claim.CheckKey(tc.key, tc.now); (err == nil) != tc.ok {
				t.Errorf("CheckKey gave %v", err)
			}
		})
	}
	if claim.RowLife <= claim.KeyLife {
		t.Error("rows must live longer than keys are accepted")
	}
}

func TestBatcherDecidesEachRowAlone(t *testing.T) {
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
				want = claim.Differs
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

func TestBatcherOrdersOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := claim.NewBatcher(store.NewMemory().Store())
		go g.Run(ctx)
		var mu sync.Mutex
		tally := map[claim.Result]int{}
		var w sync.WaitGroup
		for range 20 {
			w.Go(func() {
				r, _ := g.Write(ctx, store.Write{Table: "claims", Key: "same", Value: []byte("y")})
				mu.Lock()
				defer mu.Unlock()
				tally[r]++
			})
		}
		w.Wait()
		if tally[claim.Written] != 1 || tally[claim.Differs] != 19 {
			t.Errorf("got %v, want one written and the others differing", tally)
		}
	})
}
