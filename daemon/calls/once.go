package calls

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/claim"
	"slipcrank.example/core/deadline"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/event"
	"slipcrank.example/daemon/telemetry"
)

const (
	// recordTimeout bounds the time to store the outcome of a call, which delays
	// the answer.
	recordTimeout = 2 * time.Second
	// minPollPause and maxPollPause bound the pause, which doubles each time,
	// between two reads of a claim, and between two attempts to update one in the
	// background.
	minPollPause = 50 * time.Millisecond
	maxPollPause = time.Second
	// updateTimeout bounds the attempts to update a claim in the background.
	updateTimeout = 30 * time.Second
)

type (
	// Once runs calls at most once per idempotency key. It is safe for concurrent
	// use.
	Once struct {
		register   *claim.Registry
		metrics    *telemetry.Metrics
		background func(func())
	}

	// Send sends a call. An error marked with [ErrNotSent] means that no part of
	// the call can have reached the service. After any other error the outcome is
	// unknown.
	Send func(ctx context.Context) (claim.Answer, error)
)

// ErrNotSent marks an error that guarantees that the call has not run.
var ErrNotSent = errors.New("nothing was sent")

// NewOnce returns a Once that stores claims in r. It passes functions that update claims,
// for which no caller waits, to background.
func NewOnce(r *claim.Registry, m *telemetry.Metrics, background func(func())) *Once {
	return &Once{register: r, metrics: m, background: background}
}

// Run runs a call unless another request with the same key has run it, and returns its
// answer or the stored answer of that request. Otherwise the fault states what is known:
// not_run (the call has not run, and never will under this key), undecided (this request
// sent nothing, but the store has not confirmed that) or outcome_unknown (the call may
// have run).
func (o *Once) Run(ctx context.Context, workspace, key string, send Send) (claim.Answer, error) {
	c, err := o.register.Begin(ctx, workspace, key)
	if err != nil {
		o.metrics.Count("claims_total", 1, "result", "undecided")
		event.ClaimUndecided.Info("workspace", workspace, "key", key)
		if fault.Is(err, fault.Undecided) {
			o.background(func() { withdraw(c) })
		}
		return claim.Answer{}, err
	}
	if !c.Owned() {
		return o.awaitOther(ctx, workspace, key, c, send)
	}
	if err := deadline.Err(ctx); err != nil { // a process that was paused in Begin must not send late
		return claim.Answer{}, o.recordNotRun(ctx, c, err)
	}
	a, err := send(ctx)
	if err == nil {
		o.store(ctx, c, a)
		return a, nil
	}
	if errors.Is(err, ErrNotSent) {
		return claim.Answer{}, o.recordNotRun(ctx, c, err)
	}
	o.metrics.Count("claims_total", 1, "result", "unknown")
	event.CallOutcomeUnknown.Warn("workspace", workspace, "key", key, "cause", err)
	o.background(func() { markLost(c) })
	return claim.Answer{}, outcomeUnknown(err)
}

// store stores the answer. If that fails, the caller still gets the answer, but later
// requests with the same key don't.
func (o *Once) store(ctx context.Context, c claim.Claim, a claim.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	o.metrics.Count("claims_total", 1, "result", "done")
	if err := c.Done(ctx, a); err != nil {
		event.AnswerNotStored.Error(err)
	}
}

// recordNotRun records that the call was not run, and returns the fault not_run. If that
// fails, it returns the error, by which the call is undecided.
func (o *Once) recordNotRun(ctx context.Context, c claim.Claim, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := c.Void(ctx); err != nil {
		o.metrics.Count("claims_total", 1, "result", "undecided")
		return err
	}
	o.metrics.Count("claims_total", 1, "result", "not_run")
	return notRun().WithCause(cause)
}

// awaitOther answers a request whose key another request has claimed. While that request
// may still be running, it polls the claim until ctx ends. If that request withdraws its
// claim, awaitOther runs the call with a claim of its own.
func (o *Once) awaitOther(ctx context.Context, workspace, key string, c claim.Claim, send Send) (claim.Answer, error) {
	wait := minPollPause
	for {
		switch c.State() {
		case claim.Done:
			o.metrics.Count("claims_total", 1, "result", "replayed")
			return c.Answer(), nil
		case claim.Void:
			return claim.Answer{}, notRun()
		case claim.Lost:
			return claim.Answer{}, outcomeUnknown(nil)
		case claim.Open:
			return o.Run(ctx, workspace, key, send)
		}
		if err := pause.For(ctx, wait); err != nil {
			return claim.Answer{}, outcomeUnknown(err)
		}
		wait = min(2*wait, maxPollPause)
		if current, ok := o.register.Lookup(ctx, workspace, key); ok {
			c = current
		}
	}
}

// withdraw withdraws an undecided claim, so that the key can be used again. If that fails
// and the claim takes effect after all, later requests with the key get the fault
// outcome_unknown, which is safe.
func withdraw(c claim.Claim) {
	retryUpdate(c.Withdraw)
}

// markLost records that there will be no answer, for other requests with the key.
func markLost(c claim.Claim) {
	retryUpdate(c.MarkLost)
}

// retryUpdate calls f until it succeeds or updateTimeout is over.
func retryUpdate(f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
	defer cancel()
	for wait := minPollPause; f(ctx) != nil; wait = min(2*wait, maxPollPause) {
		if pause.For(ctx, wait) != nil {
			return
		}
	}
}

func notRun() *fault.Error {
	return fault.New(fault.NotRun, "the call was not run, and never will be under this key",
		"ask again with a new Idempotency-Key").WithRetryAfter(time.Second)
}

func outcomeUnknown(cause error) error {
	return fault.New(fault.OutcomeUnknown, "the call was sent, and its outcome is not known",
		"ask again with the same Idempotency-Key for what is recorded, or look at the service").
		WithRetryAfter(time.Second).WithCause(cause)
}
