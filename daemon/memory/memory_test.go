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

// server simulates the memory of a backend server, within a synctest bubble.
type server struct {
	mu            sync.Mutex
	reservedUntil time.Time
	refuse        bool
	lose          int           // number of reserve orders whose answers are lost
	delay         time.Duration // after which those orders are executed
	orders        []time.Time   // when orders arrived
}

var errLost = errors.New("no answer")

func (s *server) reserve(ttl time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, time.Now())
	if s.refuse {
		return memory.ErrInsufficientMemory
	}
	if s.lose > 0 {
		s.lose--
		time.AfterFunc(s.delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reservedUntil = time.Now().Add(ttl)
		})
		return errLost
	}
	s.reservedUntil = time.Now().Add(ttl)
	return nil
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservedUntil = time.Time{}
	s.orders = append(s.orders, time.Now())
}

func (s *server) reserved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.reservedUntil)
}

func newReserver(servers map[string]*server, l *decision.Log, os ...memory.Option) *memory.Reserver {
	return memory.New(memory.Orders{
		Reserve: func(_ context.Context, addr, _ string, _ int, ttl time.Duration) error {
			return servers[addr].reserve(ttl)
		},
		Release: func(_ context.Context, addr, _ string) error {
			servers[addr].release()
			return nil
		},
	}, l, os...)
}

// advance lets the bubble's time advance.
func advance(d time.Duration) {
	_ = pause.For(context.Background(), d) // never ends early
	synctest.Wait()
}

func TestReserve(t *testing.T) {
	for name, tc := range map[string]struct {
		a, b     *server
		reserved bool // on both servers, until Release
	}{
		"both have free memory":            {&server{}, &server{}, true},
		"one has none":                     {&server{}, &server{refuse: true}, false},
		"one order is lost":                {&server{}, &server{lose: 1, delay: time.Hour}, false},
		"one order is executed after 5 s":  {&server{}, &server{lose: 1, delay: 5 * time.Second}, false},
		"one order is executed after 12 s": {&server{lose: 1, delay: 12 * time.Second}, &server{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := decision.New(io.Discard)
				defer l.Close()
				servers := map[string]*server{"a": tc.a, "b": tc.b}
				res, err := newReserver(servers, l).Reserve(context.Background(), "id", []memory.Share{{Addr: "a", Tokens: 5}, {Addr: "b", Tokens: 5}})
				if (err == nil) != tc.reserved {
					t.Fatalf("got %v", err)
				}
				if res != nil {
					advance(10 * time.Second)
					if !tc.a.reserved() || !tc.b.reserved() {
						t.Error("a reservation expired before Release")
					}
					res.Release()
				}
				// An order that is executed late reserves memory for no longer
				// than the pause between two releases.
				free := time.Duration(0)
				for range 40 {
					advance(500 * time.Millisecond)
					if free += 500 * time.Millisecond; tc.a.reserved() || tc.b.reserved() {
						free = 0
					}
				}
				if free < 5*time.Second {
					t.Errorf("memory was still reserved %v before the end", free)
				}
			})
		})
	}
}

// TestOrdersStayWithinARateLimit reserves memory of one server for eight prompts, and
// has the server report a rate limit meanwhile.
func TestOrdersStayWithinARateLimit(t *testing.T) {
	const (
		span    = 4 * time.Second
		limit   = 1
		allowed = 11 // 1.5 times the limit in that span, plus 5
	)
	synctest.Test(t, func(t *testing.T) {
		l := decision.New(io.Discard)
		defer l.Close()
		s, buckets, start := &server{}, grant.NewBuckets(), time.Now()
		var limited atomic.Bool
		r := newReserver(map[string]*server{"a": s}, l, memory.WithLimiter(func(context.Context, string) (bool, time.Duration) {
			if !limited.Load() {
				return true, 0
			}
			return buckets.Take("a", limit, time.Since(start))
		}))
		var reservations []*memory.Reservation
		for n := range 8 {
			res, err := r.Reserve(t.Context(), fmt.Sprint(n), []memory.Share{{Addr: "a", Tokens: 1}})
			if err != nil {
				t.Fatal(err)
			}
			reservations = append(reservations, res)
		}
		limited.Store(true)
		limitedSince := time.Now()
		advance(2 * span)
		for _, res := range reservations {
			res.Release()
		}
		advance(2 * span)
		for i, at := range s.orders {
			n := 0
			for n < len(s.orders)-i && s.orders[i+n].Before(at.Add(span)) {
				n++
			}
			if at.After(limitedSince) && n > allowed {
				t.Errorf("%d orders in %v, allowed %d", n, span, allowed)
			}
		}
		if s.reserved() {
			t.Error("memory is still reserved after Release")
		}
	})
}
