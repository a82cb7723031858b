package lease_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/lease"
	"slipcrank.example/core/store"
)

const length = 8 * time.Second

var errLost = errors.New("no answer")

// holders returns how many keepers think at this moment that they hold it.
func holders(ks []*lease.Lease) int {
	n := 0
	for _, k := range ks {
		if _, ok := k.Held(time.Now()); ok {
			n++
		}
	}
	return n
}

func keepers(s store.Store, names ...string) []*lease.Lease {
	var ks []*lease.Lease
	for _, n := range names {
		ks = append(ks, lease.New(s, "control/a", n, lease.WithDuration(length)))
	}
	return ks
}

// TestOneHolderAtATime lets three daemons race for hours of virtual time,
// with lost answers, outages and pauses of any length.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			s := store.NewMemory().Store()
			flaky := s
			flaky.Commit = func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
				switch r.IntN(10) {
				case 0:
					return store.Outcome{}, errLost
				case 1:
					_, _ = s.Commit(ctx, ws)
					return store.Outcome{}, errLost
				case 2:
					<-time.After(time.Duration(r.IntN(3000)) * time.Millisecond)
				}
				return s.Commit(ctx, ws)
			}
			ks := keepers(flaky, "one", "two", "three")
			var last uint64
			taken := 0
			for range 1500 {
				k := ks[r.IntN(len(ks))] // the others are paused meanwhile
				_ = k.AcquireOrRenew(context.Background())
				if n := holders(ks); n > 1 {
					t.Fatalf("seed %d: %d holders at once", seed, n)
				}
				if h, ok := k.Held(time.Now()); ok {
					if h.Fence < last {
						t.Fatalf("seed %d: the fence went from %d back to %d", seed, last, h.Fence)
					}
					if h.Fence > last {
						taken++
					}
					last = h.Fence
				}
				<-time.After(time.Duration(r.IntN(4000)) * time.Millisecond)
			}
			if taken < 2 {
				t.Errorf("seed %d: the lease was taken %d times; nothing was tested", seed, taken)
			}
		})
	}
}

func TestPausedHolderFindsItsLeaseGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ks := keepers(store.NewMemory().Store(), "one", "two")
		step := func(k *lease.Lease) {
			if err := k.AcquireOrRenew(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		step(ks[0])
		first, ok := ks[0].Held(time.Now())
		if !ok {
			t.Fatal("the first did not get a free lease")
		}
		step(ks[1])                         // sees the row
		<-time.After(length + length/4 + 1) // the first is paused
		if _, ok := ks[0].Held(time.Now()); ok {
			t.Error("a holder still holds its lease after its length")
		}
		step(ks[1])
		second, ok := ks[1].Held(time.Now())
		if !ok || second.Fence <= first.Fence {
			t.Fatalf("the second has %+v, %v after the first's %+v", second, ok, first)
		}
		if wait := time.Until(second.OrdersFrom); wait < lease.OrderLifetime {
			t.Errorf("a new holder waits %v before orders that no fence checks, want %v", wait, lease.OrderLifetime)
		}
		step(ks[0]) // wakes and goes on
		if _, ok := ks[0].Held(time.Now()); ok {
			t.Error("the paused holder took the lease back from a living one")
		}
	})
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ks := keepers(store.NewMemory().Store(), "one", "two")
		ctx := context.Background()
		if err := errors.CombineErrors(ks[0].AcquireOrRenew(ctx), ks[0].Release(ctx)); err != nil {
			t.Fatal(err)
		}
		if err := ks[1].AcquireOrRenew(ctx); err != nil {
			t.Fatal(err)
		}
		if h, ok := ks[1].Held(time.Now()); !ok || h.Fence != 2 {
			t.Errorf("after the release the second has %+v, %v", h, ok)
		}
		if err := ks[0].AcquireOrRenew(ctx); err != nil || holders(ks) != 1 {
			t.Errorf("a released keeper took the lease again: %v", err)
		}
	})
}
