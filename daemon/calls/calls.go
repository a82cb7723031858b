// Package calls sends calls to plain services, which stand beside the model
// engines. Calls that may be repeated are tried on other hosts under the
// workspace's retry budget. The others run at most once, by the caller's key.
//
// # Usage
//
//	c := calls.New(loop, web, once, calls.WithBudgets(b))
//	a, err := c.Run(ctx, calls.Call{...})
package calls

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/clients/web"
	"slipcrank.example/core/claim"
	"slipcrank.example/core/deadline"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/control"
)

const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline-Ms"
	// retryPause is the longest pause before a call is tried again.
	retryPause = 50 * time.Millisecond
)

type (
	// Call is one call to a plain service.
	Call struct {
		Workspace   string
		Service     string
		Path        string
		Repeatable  bool
		Key         string
		ContentType string
		Body        []byte // it lives until Run returns
		Deadline    time.Time
		// OldSite says that the call goes to the old site. A key is claimed
		// in the same row wherever it goes.
		OldSite bool
	}

	// Caller sends calls. It is safe for use by many goroutines.
	Caller struct {
		loop     *control.Loop
		web      *web.Client
		once     *Once
		budgets  *limit.RetryBudgets
		attempts int
	}

	// Option changes a caller under construction.
	Option func(*Caller)
)

// WithBudgets sets the retry budgets.
func WithBudgets(b *limit.RetryBudgets) Option { return func(c *Caller) { c.budgets = b } }

// WithAttempts bounds the attempts at one call.
func WithAttempts(n int) Option { return func(c *Caller) { c.attempts = n } }

// New returns a caller.
func New(l *control.Loop, w *web.Client, o *Once, os ...Option) *Caller {
	const defaultPart, defaultAttempts = 0.1, 3
	c := &Caller{loop: l, web: w, once: o, budgets: limit.NewRetryBudgets(defaultPart), attempts: defaultAttempts}
	for _, o := range os {
		o(c)
	}
	return c
}

// Run sends a call and returns the service's answer, whatever its status.
func (c *Caller) Run(ctx context.Context, x Call) (claim.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	c.budgets.Earn(x.Workspace)
	if x.Repeatable {
		return c.repeat(ctx, x)
	}
	return c.once.Run(ctx, x.Workspace, x.Key, func(ctx context.Context) (claim.Answer, error) {
		return c.sendOnce(ctx, x)
	})
}

// repeat tries hosts until one answers.
func (c *Caller) repeat(ctx context.Context, x Call) (claim.Answer, error) {
	hs := c.hosts(x)
	if len(hs) == 0 {
		return claim.Answer{}, noHost(x.Service)
	}
	for n := 0; ; n++ {
		a, err := c.send(ctx, hs[n%len(hs)], x)
		switch {
		case err == nil:
			return a, nil
		case deadline.Err(ctx) != nil:
			return claim.Answer{}, fault.New(fault.DeadlineExpired, "the service did not answer in time",
				"ask again with more time").WithRetryAfter(time.Second).WithCause(err)
		case n+1 >= c.attempts || !c.budgets.Spend(x.Workspace):
			return claim.Answer{}, fault.New(fault.EngineFailed, "the service failed", "ask again").
				WithRetryAfter(time.Second).WithCause(err)
		}
		_ = pause.UpTo(ctx, retryPause)
	}
}

// sendOnce sends to the first host to which a connection can be opened.
func (c *Caller) sendOnce(ctx context.Context, x Call) (claim.Answer, error) {
	hs := c.hosts(x)
	if len(hs) == 0 {
		return claim.Answer{}, errors.Mark(noHost(x.Service), ErrNotSent)
	}
	var last error
	for _, h := range hs {
		if err := deadline.Err(ctx); err != nil {
			return claim.Answer{}, errors.Mark(err, ErrNotSent)
		}
		a, err := c.send(ctx, h, x)
		if err == nil || !web.NotSent(err) {
			return a, err
		}
		last = err
	}
	return claim.Answer{}, errors.Mark(last, ErrNotSent)
}

// hosts returns where a call may go.
func (c *Caller) hosts(x Call) []hosts.Host {
	if x.OldSite {
		return c.loop.View().OldSite()
	}
	return c.loop.View().ServiceHosts(x.Service)
}

func (c *Caller) send(ctx context.Context, h hosts.Host, x Call) (claim.Answer, error) {
	r, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	defer fasthttp.ReleaseResponse(a)
	r.Header.SetMethod(fasthttp.MethodPost)
	r.SetRequestURI("http://" + h.Addr + x.Path)
	r.Header.SetContentType(x.ContentType)
	r.Header.Set(headerKey, x.Key)
	r.Header.Set(headerDeadline, strconv.FormatInt(time.Until(x.Deadline).Milliseconds(), 10))
	r.SetBodyRaw(x.Body)
	if err := c.web.Do(ctx, r, a); err != nil {
		return claim.Answer{}, errors.Wrapf(err, "call %s", x.Service)
	}
	b, err := web.ReadBody(a)
	if err != nil {
		return claim.Answer{}, errors.Wrapf(err, "read answer of %s", x.Service)
	}
	return claim.Answer{Status: a.StatusCode(), ContentType: string(a.Header.ContentType()), Body: b}, nil
}

func noHost(service string) error {
	return fault.Newf(fault.UnknownService, "see slipcrank hosts for the services that are known",
		"no live host runs the service %s", service).WithRetryAfter(time.Second)
}
