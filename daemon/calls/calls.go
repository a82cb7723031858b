// Package calls sends calls to plain services, those that aren't model engines.
// Repeatable calls are retried on other hosts within the workspace's retry budget.
// All others run at most once per idempotency key.
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
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
)

const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Deadline-Ms"
	// maxRetryPause bounds the random pause before a retry.
	maxRetryPause = 50 * time.Millisecond
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
		Body        []byte // must not change until Run returns
		Deadline    time.Time
		// OldSite sends the call to the old site. The claim of a key is stored in
		// the same row for both sites.
		OldSite bool
	}

	// Client sends calls. It is safe for concurrent use.
	Client struct {
		loop     *control.Loop
		web      *web.Client // for repeatable calls
		onceWeb  *web.Client // for all others
		once     *Once
		budgets  *limit.RetryBudgets
		attempts int
	}

	// Option configures a Client.
	Option func(*Client)
)

// WithBudgets sets the retry budgets of the workspaces.
func WithBudgets(b *limit.RetryBudgets) Option { return func(c *Client) { c.budgets = b } }

// WithAttempts sets the maximum number of attempts at a repeatable call.
func WithAttempts(n int) Option { return func(c *Client) { c.attempts = n } }

// New returns a Client that sends repeatable calls by w. All others wait for their answers
// until their deadlines, whatever the stall timeout of w, since no other host may answer them.
func New(l *control.Loop, w *web.Client, o *Once, os ...Option) *Client {
	const defaultRetryShare, defaultAttempts = 0.1, 3
	c := &Client{
		loop: l, web: w, onceWeb: web.New(web.WithStallTimeout(template.MaxDeadline)), once: o,
		budgets: limit.NewRetryBudgets(defaultRetryShare), attempts: defaultAttempts,
	}
	for _, o := range os {
		o(c)
	}
	return c
}

// Run sends a call and returns the service's answer, whatever its HTTP status.
func (c *Client) Run(ctx context.Context, call Call) (claim.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	c.budgets.Earn(call.Workspace)
	if call.Repeatable {
		return c.sendRepeatable(ctx, call)
	}
	return c.once.Run(ctx, call.Workspace, call.Key, func(ctx context.Context) (claim.Answer, error) {
		return c.sendOnce(ctx, call)
	})
}

// sendRepeatable sends a call to one host after the other until one answers.
func (c *Client) sendRepeatable(ctx context.Context, call Call) (claim.Answer, error) {
	hs := c.hosts(call)
	if len(hs) == 0 {
		return claim.Answer{}, noHost(call.Service)
	}
	for n := 0; ; n++ {
		a, err := c.send(ctx, c.web, hs[n%len(hs)], call)
		switch {
		case err == nil:
			return a, nil
		case deadline.Err(ctx) != nil:
			return claim.Answer{}, fault.New(fault.DeadlineExpired, "the service did not answer in time",
				"ask again with more time").WithRetryAfter(time.Second).WithCause(err)
		case n+1 >= c.attempts || !c.budgets.Spend(call.Workspace):
			return claim.Answer{}, fault.New(fault.EngineFailed, "the service failed", "ask again").
				WithRetryAfter(time.Second).WithCause(err)
		}
		_ = pause.UpTo(ctx, maxRetryPause)
	}
}

// sendOnce sends a call to the first host to which a connection can be opened. It tries
// the next host only if nothing was sent to the previous one.
func (c *Client) sendOnce(ctx context.Context, call Call) (claim.Answer, error) {
	hs := c.hosts(call)
	if len(hs) == 0 {
		return claim.Answer{}, errors.Mark(noHost(call.Service), ErrNotSent)
	}
	var last error
	for _, h := range hs {
		if err := deadline.Err(ctx); err != nil {
			return claim.Answer{}, errors.Mark(err, ErrNotSent)
		}
		a, err := c.send(ctx, c.onceWeb, h, call)
		if err == nil || !web.NotSent(err) {
			return a, err
		}
		last = err
	}
	return claim.Answer{}, errors.Mark(last, ErrNotSent)
}

// hosts returns the hosts to which a call may be sent.
func (c *Client) hosts(call Call) []hosts.Host {
	if call.OldSite {
		return c.loop.View().OldSite()
	}
	return c.loop.View().ServiceHosts(call.Service)
}

// send sends a call to a host.
func (c *Client) send(ctx context.Context, w *web.Client, h hosts.Host, call Call) (claim.Answer, error) {
	r, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	defer fasthttp.ReleaseResponse(a)
	r.Header.SetMethod(fasthttp.MethodPost)
	r.SetRequestURI("http://" + h.Addr + call.Path)
	r.Header.SetContentType(call.ContentType)
	r.Header.Set(headerKey, call.Key)
	r.Header.Set(headerDeadline, strconv.FormatInt(time.Until(call.Deadline).Milliseconds(), 10))
	r.SetBodyRaw(call.Body)
	if err := w.Do(ctx, r, a); err != nil {
		return claim.Answer{}, errors.Wrapf(err, "call %s", call.Service)
	}
	b, err := web.ReadBody(a)
	if err != nil {
		return claim.Answer{}, errors.Wrapf(err, "read answer of %s", call.Service)
	}
	return claim.Answer{Status: a.StatusCode(), ContentType: string(a.Header.ContentType()), Body: b}, nil
}

func noHost(service string) error {
	return fault.Newf(fault.UnknownService, "see slipcrank hosts for the services that are known",
		"no live host runs the service %s", service).WithRetryAfter(time.Second)
}
