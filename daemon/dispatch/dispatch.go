// Package dispatch runs admitted requests: it places a request on an engine, relays
// the stream of tokens, and if an engine fails resumes the stream on another engine
// without missing or duplicated tokens.
//
// # Usage
//
//	d := dispatch.New(loop, peers, engines)
//	o, err := d.Run(ctx, request, func(p engine.Piece) error { return write(p.Text) })
package dispatch

import (
	"context"
	"sync/atomic"
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
	defaultMaxAttempts   = 3
	defaultRetryFraction = 0.1
	cancelTimeout        = 2 * time.Second
	// maxRetryDelay bounds the random delay before another attempt, so that the
	// requests of a failed engine are not all retried at the same time.
	maxRetryDelay = 50 * time.Millisecond
)

var (
	// ErrCallerGone marks the error of a request whose caller no longer reads the answer.
	ErrCallerGone = errors.New("the caller disconnected")
	// ErrStopping is the cause with which the context of a request is canceled if the daemon
	// stops before the request has ended.
	ErrStopping = errors.New("the daemon is stopping")
)

type (
	// Request is an admitted generation request.
	Request struct {
		ID           string
		Workspace    template.Template
		Model        template.Model
		Path         string
		Body         []byte // the caller's JSON; must stay valid until Run returns
		Tokens       int
		MaxTokens    int
		Chain        []uint64
		ResumeOffset int // offset of the first token that the caller wants
		Arrival      time.Time
		Deadline     time.Time
	}

	// Outcome describes how a request was served.
	Outcome struct {
		Engine       string
		FirstToken   time.Duration // since the arrival
		Tokens       int
		PromptTokens int
		CachedTokens int
		Finish       string
		Attempts     int
	}

	// Dispatcher runs requests. It is safe for concurrent use.
	Dispatcher struct {
		loop        *control.Loop
		peers       *peers.Client
		engines     *engine.Client
		budgets     *limit.RetryBudgets
		metrics     *telemetry.Metrics
		ring        *Ring
		background  func(func())
		maxAttempts int
		suspects    *suspects
	}

	// Option configures a dispatcher in [New].
	Option func(*Dispatcher)

	// run is the state of one request.
	run struct {
		*Dispatcher
		request       Request
		prompt        route.Prompt
		emit          func(engine.Piece) error
		excluded      map[string]bool
		nextOffset    int          // of the next token to relay
		pieces        atomic.Int64 // that engines have sent
		reservationID string       // of the group's memory, empty if there is none
		// reserveTries counts the tries to reserve a group. Each try has a
		// reservation ID of its own.
		reserveTries       int
		waitForGroupsUntil time.Time // limit for waiting for more urgent groups; zero before the first choice
		usedFreeResume     bool      // the resume that takes no retry from the budget was used
		outcome            Outcome
		record             Record
		cachedIdentity     quarantine.Identity // computed on first use; see identity
	}
)

// WithAttempts sets the maximum number of attempts at one request.
func WithAttempts(n int) Option { return func(d *Dispatcher) { d.maxAttempts = n } }

// WithBudgets sets the retry budgets.
func WithBudgets(b *limit.RetryBudgets) Option { return func(d *Dispatcher) { d.budgets = b } }

// WithMetrics sets the metrics that the dispatcher updates.
func WithMetrics(m *telemetry.Metrics) Option { return func(d *Dispatcher) { d.metrics = m } }

// WithRing sets where the dispatcher stores the records of requests.
func WithRing(r *Ring) Option { return func(d *Dispatcher) { d.ring = r } }

// WithBackground sets the function that starts background work, which may outlive its
// request.
func WithBackground(f func(func())) Option { return func(d *Dispatcher) { d.background = f } }

// New returns a dispatcher that reads the daemon's control state from l, and calls
// other daemons through p and engines through e.
func New(l *control.Loop, p *peers.Client, e *engine.Client, os ...Option) *Dispatcher {
	d := &Dispatcher{
		loop:        l,
		peers:       p,
		engines:     e,
		budgets:     limit.NewRetryBudgets(defaultRetryFraction),
		metrics:     telemetry.NewMetrics(),
		ring:        NewRing(),
		background:  func(f func()) { go f() },
		maxAttempts: defaultMaxAttempts,
		suspects:    newSuspects(),
	}
	for _, o := range os {
		o(d)
	}
	return d
}

// Run runs a request to its end. It calls emit for each token in order, from one
// goroutine. An error from emit means that the caller has disconnected; Run then
// cancels the attempt, so that the engine frees its memory at once. A nil error means
// that the complete answer was emitted.
func (d *Dispatcher) Run(ctx context.Context, r Request, emit func(engine.Piece) error) (Outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	x := &run{Dispatcher: d, request: r, emit: emit, excluded: map[string]bool{}, prompt: promptOf(r), nextOffset: r.ResumeOffset}
	x.record = Record{
		ID: r.ID, Workspace: r.Workspace.Workspace, Model: r.Model.Name,
		Tokens: r.Tokens, Arrival: r.Arrival,
	}
	d.budgets.Earn(r.Workspace.Workspace)
	d.loop.Post(func(s *control.State) {
		s.CountRequest(directory.Copy{Model: r.Model.Name, Version: r.Model.Version}, x.prompt.Memory())
	})
	err := x.runAttempts(ctx)
	x.record.Outcome, x.record.FirstToken = "ok", x.outcome.FirstToken
	if err != nil {
		x.record.Outcome = err.Error()
	}
	d.ring.Add(x.record)
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

// runAttempts makes attempts until one succeeds or no further one is allowed.
func (x *run) runAttempts(ctx context.Context) error {
	for {
		x.outcome.Attempts++
		err := x.runAttempt(ctx)
		if err == nil {
			return nil
		}
		if final := x.finalError(ctx, err); final != nil {
			return final
		}
		x.metrics.Count("retries_total", 1)
		event.RequestResumed.Info("request", x.request.ID, "offset", x.nextOffset, "cause", err)
		if x.stage() != quarantine.Clear {
			_ = pause.For(ctx, suspectRetryDelay) // an ended ctx is noticed by the next attempt
			continue
		}
		_ = pause.UpTo(ctx, maxRetryDelay)
	}
}

// finalError returns the error that ends the request, or nil if another attempt is
// allowed.
func (x *run) finalError(ctx context.Context, err error) error {
	var f *fault.Error
	switch {
	case errors.Is(err, ErrCallerGone):
		return err
	case errors.Is(context.Cause(ctx), ErrStopping) && (x.request.Repeatable() || notExecuted(err)):
		return stopping()
	case deadline.Err(ctx) != nil:
		return deadlineExpired()
	case errors.As(err, &f):
		return err // a decision on the request, not a failure of an engine
	case !x.request.Repeatable() && !notExecuted(err):
		return fault.New(fault.OutcomeUnknown, "the engine broke off a call that may not be repeated",
			"ask with the same Idempotency-Key for what is recorded").WithCause(err)
	case x.outcome.Attempts >= x.maxAttempts:
		return engineFailed("the engines failed every attempt at the request", err)
	case !x.mayRetry(err):
		return engineFailed("an engine failed, and the workspace has no retries left", err)
	default:
		return nil
	}
}

// mayRetry reports whether the request may be retried. It takes a retry from the
// workspace's budget, except in two cases. An attempt that never reached its engine
// caused no load there. And a stream that had begun may be resumed once at no charge:
// otherwise the failure of an engine with many streams of one workspace would abort
// the streams beyond the budget.
func (x *run) mayRetry(err error) bool {
	if errors.Is(err, engine.ErrNotSent) {
		return true
	}
	if begun := x.nextOffset > x.request.ResumeOffset; begun && !x.usedFreeResume {
		x.usedFreeResume = true
		return true
	}
	return x.budgets.Spend(x.request.Workspace.Workspace)
}

// runAttempt makes one attempt: it places the request on an engine and relays the
// stream.
func (x *run) runAttempt(ctx context.Context) error {
	attempt := uuid.NewString()
	x.awaitConfirmation(ctx)
	v, stage := x.loop.View(), x.stage()
	if err := x.blockedError(stage); err != nil {
		return err
	}
	if x.needsGroup(v) {
		return x.runGroupAttempt(ctx, attempt)
	}
	ctx, span := telemetry.Span(ctx, "attempt", attribute.String("request", x.request.ID))
	place, isolated := x.place, stage != quarantine.Clear
	if isolated {
		place = x.placeIsolated
	}
	o, err := place(ctx, attempt)
	if err != nil {
		telemetry.End(span, err)
		return err
	}
	if err := x.blockedError(x.stage()); err != nil { // it may have waited
		x.reportFinished(attempt, o, 0, false)
		telemetry.End(span, err)
		return err
	}
	span.SetAttributes(attribute.String("engine", o.Addr))
	if isolated {
		defer x.suspects.trackRun(o.Addr)()
	}
	started := time.Now()
	first, err := x.stream(ctx, attempt, o)
	if first > 0 {
		x.metrics.Time("first_token", first)
	}
	x.reportFinished(attempt, o, first, failedByEngine(ctx, err))
	x.record.Attempts[len(x.record.Attempts)-1].Took = time.Since(started)
	if err != nil {
		x.excluded[o.Addr] = true
		x.recordCrash(v, o.Addr, isolated, err)
	} else if isolated {
		x.suspects.registry.ClearAnswered(x.identity().Fingerprint, x.suspects.clock.Now())
	}
	telemetry.End(span, err)
	return err
}

// failedByEngine reports whether the attempt failed because of the engine, not
// because of the caller or the deadline. A refusal by a full or leaving engine is no
// failure.
func failedByEngine(ctx context.Context, err error) bool {
	return err != nil && deadline.Err(ctx) == nil && !errors.IsAny(err, ErrCallerGone, engine.ErrBusy, engine.ErrLeaving)
}

// reportFinished reports the end of an attempt to the engine's owner, in the
// background. If the message is lost, the placement expires at the owner.
func (x *run) reportFinished(attempt string, o route.Offer, first time.Duration, failed bool) {
	owner := x.loop.View().Owner(o.Addr)
	report := func() {
		if owner == x.loop.View().Self.Addr {
			x.loop.Post(func(s *control.State) { s.FinishAttempt(attempt, o.Addr, first, failed) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = x.peers.Finish(ctx, owner, attempt, o.Addr, first, failed)
	}
	x.background(report)
}

// Repeatable reports whether the request may be executed more than once.
func (r Request) Repeatable() bool { return !r.Model.Unrepeatable }

// notExecuted reports whether err proves that the engine did not execute the attempt.
func notExecuted(err error) bool {
	return errors.IsAny(err, engine.ErrBusy, engine.ErrLeaving, engine.ErrNotSent)
}

func deadlineExpired() error {
	return fault.New(fault.DeadlineExpired, "the request did not end within its time",
		"ask again with more time, or at a quieter moment").WithRetryAfter(time.Second)
}

func stopping() error {
	return fault.New(fault.Draining, "this entry host stopped before the request ended",
		"ask again; the balancer will pick another").WithRetryAfter(time.Second)
}

func engineFailed(message string, cause error) error {
	return fault.New(fault.EngineFailed, message, "ask again").WithRetryAfter(time.Second).WithCause(cause)
}
