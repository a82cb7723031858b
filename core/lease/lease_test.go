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

const duration = 8 * time.Second

var errLost = errors.New("no answer")

// countHolders returns how many of the leases report at this moment that they are held.
func countHolders(leases []*lease.Lease) int {
	n := 0
	for _, l := range leases {
		if _, ok := l.Held(time.Now()); ok {
			n++
		}
	}
	return n
}

func newLeases(s store.Store, names ...string) []*lease.Lease {
	var leases []*lease.Lease
	for _, n := range names {
		leases = append(leases, lease.New(s, "control/a", n, lease.WithDuration(duration)))
	}
	return leases
}

// TestAtMostOneHolder runs three daemons that compete for one lease, with lost
// requests and answers, slow writes and pauses, for hours of virtual time: at most
// one holds it at any moment, and the fence never falls.
func TestAtMostOneHolder(t *testing.T) {
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
			leases := newLeases(flaky, "one", "two", "three")
			var last uint64
			acquired := 0
			for range 1500 {
				l := leases[r.IntN(len(leases))] // the others are paused meanwhile
				_ = l.AcquireOrRenew(context.Background())
				if n := countHolders(leases); n > 1 {
					t.Fatalf("seed %d: %d holders at once", seed, n)
				}
				if h, ok := l.Held(time.Now()); ok {
					if h.Fence < last {
						t.Fatalf("seed %d: the fence went from %d back to %d", seed, last, h.Fence)
					}
					if h.Fence > last {
						acquired++
					}
					last = h.Fence
				}
				<-time.After(time.Duration(r.IntN(4000)) * time.Millisecond)
			}
			if acquired < 2 {
				t.Errorf("seed %d: the lease was acquired %d times, want at least 2 for the test to be meaningful", seed, acquired)
			}
		})
	}
}

func TestPausedHolderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leases := newLeases(store.NewMemory().Store(), "one", "two")
		acquireOrRenew := func(l *lease.Lease) {
			if err := l.AcquireOrRenew(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		acquireOrRenew(leases[0])
		first, ok := leases[0].Held(time.Now())
		if !ok {
			t.Fatal("the first daemon did not acquire a free lease")
		}
		acquireOrRenew(leases[1])               // observes the row
		<-time.After(duration + duration/4 + 1) // the first holder is paused
		if _, ok := leases[0].Held(time.Now()); ok {
			t.Error("a paused holder still holds the lease after its duration")
		}
		acquireOrRenew(leases[1])
		second, ok := leases[1].Held(time.Now())
		if !ok || second.Fence <= first.Fence {
			t.Fatalf("the second daemon has term %+v, %v after the first daemon's %+v", second, ok, first)
		}
		if wait := time.Until(second.OrdersFrom); wait < lease.OrderLifetime {
			t.Errorf("a new holder waits %v before orders to engines that do not check the fence, want %v", wait, lease.OrderLifetime)
		}
		acquireOrRenew(leases[0]) // resumes after the pause
		if _, ok := leases[0].Held(time.Now()); ok {
			t.Error("the paused holder took the lease back from its new holder")
		}
	})
}

func TestReleasedLeaseIsAvailableImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leases := newLeases(store.NewMemory().Store(), "one", "two")
		ctx := context.Background()
		if err := errors.CombineErrors(leases[0].AcquireOrRenew(ctx), leases[0].Release(ctx)); err != nil {
			t.Fatal(err)
		}
		if err := leases[1].AcquireOrRenew(ctx); err != nil {
			t.Fatal(err)
		}
		if h, ok := leases[1].Held(time.Now()); !ok || h.Fence != 2 {
			t.Errorf("after the release the second daemon has term %+v, %v", h, ok)
		}
		if err := leases[0].AcquireOrRenew(ctx); err != nil || countHolders(leases) != 1 {
			t.Errorf("a released lease was acquired again by the same daemon: %v", err)
		}
	})
}
