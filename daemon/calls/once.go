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
	// recordTime bounds the wait for a row to be written once the call is
	// over: the answer must not wait long for it.
	recordTime = 2 * time.Second
	// firstLook and lastLook bound the pauses between two looks at a call
	// that another request has sent.
	firstLook = 50 * time.Millisecond
	lastLook  = time.Second
	// persistTime bounds the tries to tidy a claim up.
	persistTime = 30 * time.Second
)

type (
	// Once runs calls at most once, by their keys.
	Once struct {
		register   *claim.Registry
		metrics    *telemetry.Metrics
		background func(func())
	}

	// Send sends a call. An error marked with [ErrNotSent] means that nothing
	// of it can have reached the service; after any other error the outcome
	// is unknown.
	Send func(ctx context.Context) (claim.Answer, error)
)

// ErrNotSent marks an error after which the call has certainly not run.
var ErrNotSent = errors.New("nothing was sent")

// NewOnce returns a runner of calls over a register of claims. Background runs
// what no caller waits for.
func NewOnce(r *claim.Registry, m *telemetry.Metrics, background func(func())) *Once {
	return &Once{register: r, metrics: m, background: background}
}

// Run runs a call if no other request with the key ever did, and returns its
// answer, or the stored answer of the request that did. The faults not_run,
// undecided and outcome_unknown say what is known otherwise.
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
		return o.follow(ctx, workspace, key, c, send)
	}
	if err := deadline.Err(ctx); err != nil { // a daemon that was paused must not send late
		return claim.Answer{}, o.void(ctx, c, err)
	}
	a, err := send(ctx)
	if err == nil {
		o.store(ctx, c, a)
		return a, nil
	}
	if errors.Is(err, ErrNotSent) {
		return claim.Answer{}, o.void(ctx, c, err)
	}
	o.metrics.Count("claims_total", 1, "result", "unknown")
	event.ClaimUnknown.Warn("workspace", workspace, "key", key, "cause", err)
	o.background(func() { lose(c) })
	return claim.Answer{}, unknown(err)
}

// store records the answer. If that fails the caller still gets it; only a
// repeat will not.
func (o *Once) store(ctx context.Context, c claim.Claim, a claim.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	o.metrics.Count("claims_total", 1, "result", "done")
	if err := c.Done(ctx, a); err != nil {
		event.AnswerNotStored.Error(err)
	}
}

// void records that the call was not run, and returns the fault that says so.
// If it can't be recorded, the fault only says that the call is undecided.
func (o *Once) void(ctx context.Context, c claim.Claim, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	if err := c.Void(ctx); err != nil {
		o.metrics.Count("claims_total", 1, "result", "undecided")
		return err
	}
	o.metrics.Count("claims_total", 1, "result", "not_run")
	return notRun().WithCause(cause)
}

// follow answers a request whose key another request has claimed. While that
// one may still be running it looks again, within the caller's time. If that
// one takes its claim back, the request claims the key itself.
func (o *Once) follow(ctx context.Context, workspace, key string, c claim.Claim, send Send) (claim.Answer, error) {
	wait := firstLook
	for {
		switch c.State() {
		case claim.Done:
			o.metrics.Count("claims_total", 1, "result", "replayed")
			return c.Answer(), nil
		case claim.Void:
			return claim.Answer{}, notRun()
		case claim.Lost:
			return claim.Answer{}, unknown(nil)
		case claim.Open:
			return o.Run(ctx, workspace, key, send)
		}
		if err := pause.For(ctx, wait); err != nil {
			return claim.Answer{}, unknown(err)
		}
		wait = min(2*wait, lastLook)
		if again, ok := o.register.Lookup(ctx, workspace, key); ok {
			c = again
		}
	}
}

// withdraw takes an undecided claim back, so that the key can be used again. If
// it can't, and the claim takes effect after all, a repeat is told that the
// outcome is unknown, which is safe.
func withdraw(c claim.Claim) {
	persist(c.Withdraw)
}

// lose tells the others who ask for the key that no answer will come.
func lose(c claim.Claim) {
	persist(c.MarkLost)
}

// persist tries f until it succeeds or the time for it is over.
func persist(f func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), persistTime)
	defer cancel()
	for wait := firstLook; f(ctx) != nil; wait = min(2*wait, lastLook) {
		if pause.For(ctx, wait) != nil {
			return
		}
	}
}

func notRun() *fault.Error {
	return fault.New(fault.NotRun, "the call was not run, and never will be under this key",
		"ask again with a new Idempotency-Key").WithRetryAfter(time.Second)
}

func unknown(cause error) error {
	return fault.New(fault.OutcomeUnknown, "the call was sent, and its outcome is not known",
		"ask again with the same Idempotency-Key for what is recorded, or look at the service").
		WithRetryAfter(time.Second).WithCause(cause)
}
