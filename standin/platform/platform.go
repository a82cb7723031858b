// Package platform is a small stand-in for the platform: the transactional
// table service, the object store, the host list with its lag, and the weight
// store's rate limit. Its data live in a [store.Memory].
//
// Faults are injected by calls: [Platform.SetFault] for what every request
// meets, and the function field of [WithFault] for what one request meets.
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
	defaultWrites = 300  // commits a second
	defaultReads  = 2000 // reads and scans a second
)

var errRate = errors.New("rate limit met; nothing was done")

type (
	// Fault is what a request to the platform meets.
	Fault struct {
		Down       bool          `json:"down"`
		Delay      time.Duration `json:"delay"`
		LoseAnswer bool          `json:"lose_answer"` // after the action took effect
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

	// Counts of requests since the start.
	Counts struct {
		Writes  int `json:"writes"`
		Reads   int `json:"reads"`
		Lists   int `json:"lists"`
		Gets    int `json:"gets"` // reads of objects, which count as reads too
		Refused int `json:"refused"`
	}

	// Option changes a platform under construction.
	Option func(*Platform)

	timedHosts struct {
		at    time.Time
		hosts []hosts.Host
	}
)

// WithFault sets a seam that decides the fault of each request by its kind:
// "commit", "read", "scan", "put", "get", "delete" or "hosts".
func WithFault(f func(op string) Fault) Option { return func(p *Platform) { p.decide = f } }

// WithRates sets the limits, in commits and reads a second.
func WithRates(writes, reads float64) Option {
	return func(p *Platform) {
		p.writes = rate.NewLimiter(rate.Limit(writes), int(writes))
		p.reads = rate.NewLimiter(rate.Limit(reads), int(reads))
	}
}

// WithHostLag sets how long the host list lags behind [Platform.SetHosts].
func WithHostLag(d time.Duration) Option { return func(p *Platform) { p.lag = d } }

// WithStore sets the tables and objects, in the place of empty ones.
func WithStore(s store.Store) Option { return func(p *Platform) { p.store = s } }

// New returns a platform with no data and no faults.
func New(os ...Option) *Platform {
	p := &Platform{store: store.NewMemory().Store()}
	p.decide = func(string) Fault { return p.currentFault() }
	WithRates(defaultWrites, defaultReads)(p)
	for _, o := range os {
		o(p)
	}
	return p
}

// SetFault sets what every request meets from now on.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// SetHosts sets the host list; readers see it after the lag.
func (p *Platform) SetHosts(hs []hosts.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, timedHosts{at: time.Now(), hosts: hs})
}

// Hosts returns the list as readers see it now.
func (p *Platform) Hosts() []hosts.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	shown := time.Now().Add(-p.lag)
	var out []hosts.Host
	for i, t := range p.hosts {
		if i == 0 || !t.at.After(shown) {
			out = t.hosts
		}
	}
	return out
}

// Counts returns the requests since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// Store returns the tables and objects with the faults and limits in force,
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

// guardWrite is [guard] for a change of an object.
func (p *Platform) guardWrite(op string, f func() error) error {
	_, err := guard(p, op, p.writes, func() (struct{}, error) { return struct{}{}, f() })
	return err
}

// Raw returns the tables and objects without faults and limits, for tests
// that look at what is stored.
func (p *Platform) Raw() store.Store { return p.store }

// guard does f under the limits and the fault of the moment.
func guard[T any](p *Platform, op string, l *rate.Limiter, f func() (T, error)) (T, error) {
	var none T
	p.tally(op)
	x := p.decide(op)
	time.Sleep(x.Delay)
	if x.Down {
		return none, errDown
	}
	if !l.Allow() {
		p.mu.Lock()
		p.count.Refused++
		p.mu.Unlock()
		return none, errors.Mark(errRate, store.ErrRefused)
	}
	v, err := f()
	if x.LoseAnswer {
		return none, errDown
	}
	return v, err
}

var errDown = errors.New("no answer from the platform")

func (p *Platform) tally(op string) {
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

// Serve answers HTTP on addr until ctx ends and returns the address it got.
func (p *Platform) Serve(ctx context.Context, addr string) (string, error) {
	h := &handlers{platform: p, store: p.Store()}
	return listen.Serve(ctx, addr, func(c *fasthttp.RequestCtx) { h.handle(ctx, c) })
}
