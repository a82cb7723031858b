// Package platform is a stand-in for the platform, for tests and the development
// system. It provides the transactional table service, the object store, the host
// list with its delay, and rate limits. Its data is in a [store.Memory] unless
// [WithStore] sets another store.
//
// Faults are injected with [Platform.SetFault] for all requests, or with [WithFault]
// for single ones.
//
// # Usage
//
//	p := platform.New()
//	addr, err := p.Serve(ctx, "127.0.0.1:0")
//	p.SetFault(platform.Fault{Down: true})
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/core/store"
	"slipcrank.example/standin/listen"
)

const (
	defaultWriteRate = 300  // commits per second
	defaultReadRate  = 2000 // reads and scans per second
)

var errRateLimit = errors.New("rate limit met; nothing was done")

type (
	// Fault is a fault that is injected into a request.
	Fault struct {
		Down       bool          `json:"down"`
		Delay      time.Duration `json:"delay"`
		LoseAnswer bool          `json:"lose_answer"` // the request takes effect, but its response is lost
	}

	// Platform is the stand-in. Use [New].
	Platform struct {
		store  store.Store
		writes *rate.Limiter
		reads  *rate.Limiter
		decide func(op string) Fault
		lag    time.Duration

		mu    sync.Mutex
		fault Fault
		hosts []timedHosts
		count Counts
	}

	// Counts has the numbers of requests since the start.
	Counts struct {
		Writes  int `json:"writes"`
		Reads   int `json:"reads"`
		Lists   int `json:"lists"`
		Gets    int `json:"gets"` // reads of objects, which are also counted as Reads
		Refused int `json:"refused"`
	}

	// Option configures a [Platform].
	Option func(*Platform)

	timedHosts struct {
		at    time.Time
		hosts []hosts.Host
	}
)

// WithFault sets a function that returns the fault for each request, by its operation:
// "commit", "read", "scan", "put", "get", "delete" or "hosts". It replaces the fault
// of [Platform.SetFault].
func WithFault(f func(op string) Fault) Option { return func(p *Platform) { p.decide = f } }

// WithRates sets the rate limits, in writes and reads per second.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writes = rate.NewLimiter(rate.Limit(writes), int(writes))
		p.reads = rate.NewLimiter(rate.Limit(reads), int(reads))
	}
}

// WithHostLag sets the delay after which readers see the hosts set by
// [Platform.SetHosts].
func WithHostLag(d time.Duration) Option { return func(p *Platform) { p.lag = d } }

// WithStore sets the store of tables and objects; the default is an empty one.
func WithStore(s store.Store) Option { return func(p *Platform) { p.store = s } }

// New returns a platform without data and faults.
func New(os ...Option) *Platform {
	p := &Platform{store: store.NewMemory().Store()}
	p.decide = func(string) Fault { return p.currentFault() }
	WithRates(defaultWriteRate, defaultReadRate)(p)
	for _, o := range os {
		o(p)
	}
	return p
}

// SetFault sets the fault that is injected into all further requests.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// SetHosts sets the host list, which readers see after the delay of [WithHostLag].
func (p *Platform) SetHosts(hs []hosts.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, timedHosts{at: time.Now(), hosts: hs})
}

// Hosts returns the host list that readers see at present.
func (p *Platform) Hosts() []hosts.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-p.lag)
	var out []hosts.Host
	for i, t := range p.hosts {
		if i == 0 || !t.at.After(cutoff) {
			out = t.hosts
		}
	}
	return out
}

// Counts returns the numbers of requests since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// Store returns the store of tables and objects with faults and rate limits applied,
// for use without HTTP.
func (p *Platform) Store() store.Store {
	return store.Store{
		Commit: func(ctx context.Context, ws []store.Write) (store.Outcome, error) {
			return guard(p, "commit", p.writes, func() (store.Outcome, error) { return p.store.Commit(ctx, ws) })
		},
		Read: func(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
			return guard(p, "read", p.reads, func() ([]store.Row, error) { return p.store.Read(ctx, rs) })
		},
		Scan: func(ctx context.Context, table, after string, limit int) ([]store.Row, error) {
			return guard(p, "scan", p.reads, func() ([]store.Row, error) { return p.store.Scan(ctx, table, after, limit) })
		},
		PutObject: func(ctx context.Context, name string, b []byte) error {
			return p.guardWrite("put", func() error { return p.store.PutObject(ctx, name, b) })
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			return guard(p, "get", p.reads, func() ([]byte, error) { return p.store.GetObject(ctx, name) })
		},
		DeleteObject: func(ctx context.Context, name string) error {
			return p.guardWrite("delete", func() error { return p.store.DeleteObject(ctx, name) })
		},
	}
}

// guardWrite is [guard] for writes of objects.
func (p *Platform) guardWrite(op string, f func() error) error {
	_, err := guard(p, op, p.writes, func() (struct{}, error) { return struct{}{}, f() })
	return err
}

// Raw returns the store of tables and objects without faults and rate limits, for
// tests that inspect the stored data.
func (p *Platform) Raw() store.Store { return p.store }

// guard counts the request, applies the fault and the rate limit l, and calls f.
func guard[T any](p *Platform, op string, l *rate.Limiter, f func() (T, error)) (T, error) {
	var zero T
	p.countRequest(op)
	fault := p.decide(op)
	time.Sleep(fault.Delay)
	if fault.Down {
		return zero, errDown
	}
	if !l.Allow() {
		p.mu.Lock()
		p.count.Refused++
		p.mu.Unlock()
		return zero, errors.Mark(errRateLimit, store.ErrRefused)
	}
	v, err := f()
	if fault.LoseAnswer {
		return zero, errDown
	}
	return v, err
}

var errDown = errors.New("no answer from the platform")

func (p *Platform) countRequest(op string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch op {
	case "commit", "put", "delete":
		p.count.Writes++
	case "hosts":
		p.count.Lists++
	case "get":
		p.count.Gets++
		p.count.Reads++
	default:
		p.count.Reads++
	}
}

func (p *Platform) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func statusOf(err error) int {
	if store.IsRefused(err) {
		return http.StatusTooManyRequests
	}
	return http.StatusGatewayTimeout
}

// Serve starts an HTTP server on addr, which runs until ctx ends, and returns the
// address on which it listens.
func (p *Platform) Serve(ctx context.Context, addr string) (string, error) {
	h := &handlers{platform: p, store: p.Store()}
	return listen.Serve(ctx, addr, func(c *fasthttp.RequestCtx) { h.handle(ctx, c) })
}
