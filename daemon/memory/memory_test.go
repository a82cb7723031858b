package memory_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/grant"
	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/memory"
)

// server is a backend server's memory, in a bubble's time.
type server struct {
	mu     sync.Mutex
	until  time.Time // of the reservation
	refuse bool
	lose   int           // so many answers to reservations are lost
	late   time.Duration // those are carried out so much later
	orders []time.Time
}

var errLost = errors.New("no answer")

func (s *server) reserve(hold time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, time.Now())
	if s.refuse {
		return memory.ErrInsufficientMemory
	}
	if s.lose > 0 {
		s.lose--
		time.AfterFunc(s.late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.until = time.Now().Add(hold)
		})
		return errLost
	}
	s.until = time.Now().Add(hold)
	return nil
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Time{}
	s.orders = append(s.orders, time.Now())
}

func (s *server) held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until)
}

func keeper(servers map[string]*server, l *decision.Log, os ...memory.Option) *memory.Reserver {
	return memory.New(memory.Orders{
		Reserve: func(_ context.Context, addr, _ string, _ int, hold time.Duration) error {
			return servers[addr].reserve(hold)
		},
		Release: func(_ context.Context, addr, _ string) error {
			servers[addr].release()
			return nil
		},
	}, l, os...)
}

func after(d time.Duration) {
	_ = pause.For(context.Background(), d) // never ends early
	synctest.Wait()
}

func TestHold(t *testing.T) {
	for name, tc := range map[string]struct {
		a, b *server
		held bool // both, while it is wanted
	}{
		"both have room":               {&server{}, &server{}, true},
		"one has none":                 {&server{}, &server{refuse: true}, false},
		"one is lost and never comes":  {&server{}, &server{lose: 1, late: time.Hour}, false},
		"one is carried out too late":  {&server{}, &server{lose: 1, late: 5 * time.Second}, false},
		"one is carried out very late": {&server{lose: 1, late: 12 * time.Second}, &server{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := decision.New(io.Discard)
				defer l.Close()
				servers := map[string]*server{"a": tc.a, "b": tc.b}
				h, err := keeper(servers, l).Reserve(context.Background(), "id", []memory.Share{{Addr: "a", Tokens: 5}, {Addr: "b", Tokens: 5}})
				if (err == nil) != tc.held {
					t.Fatalf("got %v", err)
				}
				if h != nil {
					after(10 * time.Second)
					if !tc.a.held() || !tc.b.held() {
						t.Error("a reservation lapsed while it was wanted")
					}
					h.Release()
				}
				// An order that comes late sets memory aside for no longer
				// than the pause between two releases.
				freed := time.Duration(0)
				for range 40 {
					after(500 * time.Millisecond)
					if freed += 500 * time.Millisecond; tc.a.held() || tc.b.held() {
						freed = 0
					}
				}
				if freed < 5*time.Second {
					t.Errorf("memory was held %v before the end", freed)
				}
			})
		})
	}
}

// TestOrdersStayWithinALimit holds memory of one server for eight prompts, and has the
// server name a limit meanwhile.
func TestOrdersStayWithinALimit(t *testing.T) {
	const (
		span    = 4 * time.Second
		limit   = 1
		allowed = 11 // 1.5 times what the limit allows in that span, and 5
	)
	synctest.Test(t, func(t *testing.T) {
		l := decision.New(io.Discard)
		defer l.Close()
		s, ledger, begun := &server{}, grant.NewBuckets(), time.Now()
		var limited atomic.Bool
		k := keeper(map[string]*server{"a": s}, l, memory.WithLimiter(func(context.Context, string) (bool, time.Duration) {
			if !limited.Load() {
				return true, 0
			}
			return ledger.Take("a", limit, time.Since(begun))
		}))
		var holds []*memory.Reservation
		for n := range 8 {
			h, err := k.Reserve(t.Context(), fmt.Sprint(n), []memory.Share{{Addr: "a", Tokens: 1}})
			if err != nil {
				t.Fatal(err)
			}
			holds = append(holds, h)
		}
		limited.Store(true)
		from := time.Now()
		after(2 * span)
		for _, h := range holds {
			h.Release()
		}
		after(2 * span)
		for i, at := range s.orders {
			n := 0
			for n < len(s.orders)-i && s.orders[i+n].Before(at.Add(span)) {
				n++
			}
			if at.After(from) && n > allowed {
				t.Errorf("%d orders in %v, allowed %d", n, span, allowed)
			}
		}
		if s.held() {
			t.Error("memory is held after the end")
		}
	})
}
