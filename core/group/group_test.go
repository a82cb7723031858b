package group_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"slipcrank.example/core/group"
)

var errFull = errors.New("full")

func candidates(free []int) ([]group.Candidate, int) {
	cs, sum := make([]group.Candidate, len(free)), 0
	for i, f := range free {
		cs[i] = group.Candidate{Addr: fmt.Sprintf("e%02d", i), Free: f}
	}
	sorted := slices.Sorted(slices.Values(free))
	for i := range min(group.MaxMembers, len(sorted)) {
		sum += sorted[len(sorted)-1-i]
	}
	return cs, sum
}

// TestPickAgainstNaive checks that Pick finds a group exactly if the engines with
// the most free memory have enough, and that the members are ordered by address,
// reserve exactly the tokens needed, and stay within their free memory.
func TestPickAgainstNaive(t *testing.T) {
	ps := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	ps.Property("exact total, ordered by address, within free memory", prop.ForAll(func(free []int, tokens int) bool {
		cs, sum := candidates(free)
		ms, err := group.Pick(cs, tokens)
		if sum < tokens {
			return errors.Is(err, group.ErrTooLarge)
		}
		total := 0
		for _, m := range ms {
			i := slices.IndexFunc(cs, func(c group.Candidate) bool { return c.Addr == m.Addr })
			if m.Tokens <= 0 || m.Tokens > cs[i].Free {
				return false
			}
			total += m.Tokens
		}
		inOrder := slices.IsSortedFunc(ms, func(a, b group.Member) int { return strings.Compare(a.Addr, b.Addr) })
		return err == nil && total == tokens && inOrder
	}, gen.SliceOf(gen.IntRange(0, 400_000)), gen.IntRange(1, 1_000_000)))
	ps.TestingRun(t)
}

// engineMemory is the free memory of several engines.
type engineMemory struct {
	mu   sync.Mutex
	free map[string]int
}

func (m *engineMemory) reserve(_ context.Context, x group.Member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.free[x.Addr] < x.Tokens {
		return errFull
	}
	m.free[x.Addr] -= x.Tokens
	return nil
}

// TestConcurrentReservationsLeakNothing has many requests compete for few engines.
// Each reserves everything or nothing, and all memory is free at the end.
func TestConcurrentReservationsLeakNothing(t *testing.T) {
	const engines, total, need = 5, 100, 250
	m := &engineMemory{free: map[string]int{}}
	for i := range engines {
		m.free[fmt.Sprintf("e%02d", i)] = total
	}
	var w sync.WaitGroup
	for i := range 40 {
		w.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			for range 20 {
				m.mu.Lock()
				var cs []group.Candidate
				for a, f := range m.free {
					cs = append(cs, group.Candidate{Addr: a, Free: max(0, f-r.IntN(10))})
				}
				m.mu.Unlock()
				ms, err := group.Pick(cs, need)
				if err != nil {
					continue
				}
				reserved := map[string]bool{}
				err = group.Reserve(context.Background(), ms, func(ctx context.Context, x group.Member) error {
					err := m.reserve(ctx, x)
					reserved[x.Addr] = err == nil
					return err
				}, func(x group.Member) { m.release(x, reserved) })
				if err == nil {
					group.Release(ms, func(x group.Member) { m.release(x, reserved) })
				}
			}
		})
	}
	w.Wait()
	for a, f := range m.free {
		if f != total {
			t.Errorf("%s has %d of %d free at the end", a, f, total)
		}
	}
}

// release releases only what was reserved, as engines do, which identify
// reservations by id.
func (m *engineMemory) release(x group.Member, reserved map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reserved[x.Addr] {
		m.free[x.Addr] += x.Tokens
		reserved[x.Addr] = false
	}
}
