// Package dispatch takes an admitted request through to its end: it places
// the request on an engine, passes the stream on, and when an engine fails
// resumes the stream on another, with no token missing or doubled.
//
// # Usage
//
//	d := dispatch.New(loop, peers, engines)
//	o, err := d.Run(ctx, request, func(p engine.Piece) error { return write(p.Text) })
package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/deadline"
	"slipcrank.example/core/directory"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/peers"
	"slipcrank.example/daemon/telemetry"
)

const (
	defaultAttempts  = 3
	defaultRetryPart = 0.1
	cancelTimeout    = 2 * time.Second
	// retryPause is the longest pause before another attempt, so that the
	// requests of an engine that died do not all ask at the same time.
	retryPause = 50 * time.Millisecond
)

// ErrCallerGone marks a request whose caller no longer reads the answer.
var ErrCallerGone = errors.New("the caller has gone")

type (
	// Request is an admitted generation request.
	Request struct {
		ID        string
		Workspace template.Template
		Model     template.Model
		Path      string
		Body      []byte // the caller's JSON; it lives until Run returns
		Tokens    int
		MaxTokens int
		Chain     []uint64
		Resume    int // offset of the first token that the caller wants
		Arrival   time.Time
		Deadline  time.Time
	}

	// Outcome tells how a request went.
	Outcome struct {
		Engine       string
		FirstToken   time.Duration // since the arrival
		Tokens       int
		PromptTokens int
		CachedTokens int
		Finish       string
		Attempts     int
	}

	// Dispatcher runs requests. It is safe for use by many goroutines.
	Dispatcher struct {
		loop       *control.Loop
		peers      *peers.Client
		engines    *engine.Client
		budgets    *limit.RetryBudgets
		metrics    *telemetry.Metrics
		explain    *Ring
		background func(func())
		attempts   int
		suspects   *suspects
	}

	// Option changes a dispatcher under construction.
	Option func(*Dispatcher)

	// run is the state of one request.
	run struct {
		*Dispatcher
		request  Request
		prompt   route.Prompt
		emit     func(engine.Piece) error
		excluded map[string]bool
		offset   int    // of the next token to pass on
		holding  string // reservation that pays for the memory, if any
		// reservations counts the tries to reserve, each of which has a name of
		// its own.
		reservations int
		heldUntil    time.Time // until when it waits for more urgent groups; zero before its first choice
		resumed      bool      // the resume that costs no budget has been used
		outcome      Outcome
		record       Record
		digests      quarantine.Identity // worked out where they are needed
	}
)

// WithAttempts bounds the attempts at one request.
func WithAttempts(n int) Option { return func(d *Dispatcher) { d.attempts = n } }

// WithBudgets sets the retry budgets.
func WithBudgets(b *limit.RetryBudgets) Option { return func(d *Dispatcher) { d.budgets = b } }

// WithMetrics sets where the dispatcher counts.
func WithMetrics(m *telemetry.Metrics) Option { return func(d *Dispatcher) { d.metrics = m } }

// WithRing sets where decisions are kept.
func WithRing(r *Ring) Option { return func(d *Dispatcher) { d.explain = r } }

// WithBackground sets what runs the work that goes on beside a request.
func WithBackground(f func(func())) Option { return func(d *Dispatcher) { d.background = f } }

// New returns a dispatcher.
func New(l *control.Loop, p *peers.Client, e *engine.Client, os ...Option) *Dispatcher {
	d := &Dispatcher{
		loop:       l,
		peers:      p,
		engines:    e,
		budgets:    limit.NewRetryBudgets(defaultRetryPart),
		metrics:    telemetry.NewMetrics(),
		explain:    NewRing(),
		background: func(f func()) { go f() },
		attempts:   defaultAttempts,
		suspects:   newSuspects(),
	}
	for _, o := range os {
		o(d)
	}
	return d
}

// Run takes a request to its end. It calls emit for each token in order, from
// one goroutine; an error from emit means that the caller has gone, and frees
// the engine at once. A nil error means that the whole answer was passed on.
func (d *Dispatcher) Run(ctx context.Context, r Request, emit func(engine.Piece) error) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	x := &run{Dispatcher: d, request: r, emit: emit, excluded: map[string]bool{}, prompt: promptOf(r), offset: r.Resume}
	x.record = Record{
		ID: r.ID, Workspace: r.Workspace.Workspace, Model: r.Model.Name,
		Tokens: r.Tokens, Arrival: r.Arrival,
	}
	d.budgets.Earn(r.Workspace.Workspace)
	d.loop.Post(func(s *control.State) {
		s.CountRequest(directory.Copy{Model: r.Model.Name, Version: r.Model.Version}, x.prompt.Memory())
	})
	err := x.all(ctx)
	x.record.Outcome, x.record.FirstToken = "ok", x.outcome.FirstToken
	if err != nil {
		x.record.Outcome = err.Error()
	}
	d.explain.Add(x.record)
	return x.outcome, err
}

func promptOf(r Request) route.Prompt {
	return route.Prompt{
		Workspace:    r.Workspace.Workspace,
		Share:        r.Workspace.Share.NewSite,
		Model:        r.Model.Name,
		Version:      r.Model.Version,
		Tokens:       r.Tokens,
		MaxTokens:    r.MaxTokens,
		Priority:     route.Priority(r.Workspace.Urgency, r.Tokens, r.Arrival, r.Deadline),
		PrefixHashes: route.NewPrefixHashes(r.Chain),
		Deadline:     r.Deadline,
	}
}

// all makes attempts until one succeeds or no more are allowed.
func (x *run) all(ctx context.Context) error {
	for {
		x.outcome.Attempts++
		err := x.once(ctx)
		if err == nil {
			return nil
		}
		if final := x.final(ctx, err); final != nil {
			return final
		}
		x.metrics.Count("retries_total", 1)
		event.RequestResumed.Info("request", x.request.ID, "offset", x.offset, "cause", err)
		if x.stage() != quarantine.Clear {
			_ = pause.For(ctx, suspectPause) // all looks at ctx
			continue
		}
		_ = pause.UpTo(ctx, retryPause)
	}
}

// final returns the error that ends the request, or nil if another attempt is
// allowed.
func (x *run) final(ctx context.Context, err error) error {
	var f *fault.Error
	switch {
	case errors.Is(err, ErrCallerGone):
		return err
	case deadline.Err(ctx) != nil:
		return expired()
	case errors.As(err, &f):
		return err // a decision, not a failure of an engine
	case !x.request.Repeatable() && !certainlyNotRun(err):
		return fault.New(fault.OutcomeUnknown, "the engine broke off a call that may not be repeated",
			"ask with the same Idempotency-Key for what is recorded").WithCause(err)
	case x.outcome.Attempts >= x.attempts:
		return engineFailed("the engines failed every attempt at the request", err)
	case !x.mayRetry(err):
		return engineFailed("an engine failed, and the workspace has no retries left", err)
	default:
		return nil
	}
}

// mayRetry reports whether the request may be tried again, and takes the retry
// out of the workspace's budget if it puts load on the engines anew. An
// attempt that never reached its engine has put none there. And a stream that
// had begun may be resumed once for nothing, or else the death of an engine
// with many streams of one workspace would lose those beyond the budget.
func (x *run) mayRetry(err error) bool {
	if errors.Is(err, engine.ErrNotSent) {
		return true
	}
	if begun := x.offset > x.request.Resume; begun && !x.resumed {
		x.resumed = true
		return true
	}
	return x.budgets.Spend(x.request.Workspace.Workspace)
}

// once makes one attempt: it places the request and passes the stream on.
func (x *run) once(ctx context.Context) error {
	attempt := uuid.NewString()
	x.awaitVerdict(ctx)
	v, stage := x.loop.View(), x.stage()
	if err := x.held(stage); err != nil {
		return err
	}
	if x.large(v) {
		return x.largeOnce(ctx, attempt)
	}
	ctx, span := telemetry.Span(ctx, "attempt", attribute.String("request", x.request.ID))
	place, apart := x.place, stage != quarantine.Clear
	if apart {
		place = x.placeApart
	}
	o, err := place(ctx, attempt)
	if err != nil {
		telemetry.End(span, err)
		return err
	}
	span.SetAttributes(attribute.String("engine", o.Addr))
	if apart {
		defer x.suspects.enter(o.Addr)()
	}
	started := time.Now()
	first, err := x.stream(ctx, attempt, o)
	if first > 0 {
		x.metrics.Time("first_token", first)
	}
	x.finish(attempt, o, first, failedByEngine(ctx, err))
	x.record.Attempts[len(x.record.Attempts)-1].Took = time.Since(started)
	if err != nil {
		x.excluded[o.Addr] = true
		x.inquire(v, o.Addr, apart, err)
	} else if apart {
		x.suspects.book.ClearAnswered(x.identity().Fingerprint, x.suspects.clock.Now())
	}
	telemetry.End(span, err)
	return err
}

// failedByEngine reports whether the engine, not the caller or the clock,
// ended the attempt. A full or leaving engine has not failed.
func failedByEngine(ctx context.Context, err error) bool {
	return err != nil && deadline.Err(ctx) == nil && !errors.IsAny(err, ErrCallerGone, engine.ErrBusy, engine.ErrLeaving)
}

// finish tells the engine's owner that an attempt has ended. Nobody waits for
// it, and if it gets lost the placement expires.
func (x *run) finish(attempt string, o route.Offer, first time.Duration, failed bool) {
	owner := x.loop.View().Owner(o.Addr)
	tell := func() {
		if owner == x.loop.View().Self.Addr {
			x.loop.Post(func(s *control.State) { s.FinishAttempt(attempt, o.Addr, first, failed) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = x.peers.Finish(ctx, owner, attempt, o.Addr, first, failed)
	}
	x.background(tell)
}

// Repeatable reports whether the request may run more than once.
func (r Request) Repeatable() bool { return !r.Model.Unrepeatable }

func certainlyNotRun(err error) bool {
	return errors.IsAny(err, engine.ErrBusy, engine.ErrLeaving, engine.ErrNotSent)
}

func expired() error {
	return fault.New(fault.DeadlineExpired, "the request did not end within its time",
		"ask again with more time, or at a quieter moment").WithRetryAfter(time.Second)
}

func engineFailed(message string, cause error) error {
	return fault.New(fault.EngineFailed, message, "ask again").WithRetryAfter(time.Second).WithCause(cause)
}
