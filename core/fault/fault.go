// Package fault defines the typed errors that slipcrank returns to callers and
// operators.
//
// Every error that leaves a daemon has a kind, a message that states the cause,
// and a remedy that states what the reader can do next. The kind determines the
// HTTP status. An error may also carry the delay after which to retry.
//
// # Usage
//
//	err := fault.New(fault.UnknownModel, "model \"m\" is not in the template",
//		"ask GET /v1/models for the models of this workspace")
//	return err.WithRetryAfter(2 * time.Second)
//
// Code that receives an error of unknown origin calls [From], which returns the
// fault in its chain, or a new fault of kind [Internal].
package fault

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the class of a fault. It is part of the public interface: callers may
// branch on it.
type Kind string

// The kinds of fault, in the order in which a request can encounter them.
const (
	BadRequest       Kind = "bad_request"
	Unauthorized     Kind = "unauthorized"
	UnknownWorkspace Kind = "unknown_workspace"
	UnknownModel     Kind = "unknown_model"
	UnknownService   Kind = "unknown_service"
	NotFound         Kind = "not_found"
	TooLarge         Kind = "too_large"
	KeyRequired      Kind = "key_required"
	Draining         Kind = "draining"
	OverShare        Kind = "over_share"
	Overloaded       Kind = "overloaded"
	DeadlineExpired  Kind = "deadline_expired"
	NoEngine         Kind = "no_engine"
	EngineFailed     Kind = "engine_failed"
	EndsEngines      Kind = "ends_engines"
	NotRun           Kind = "not_run"
	Undecided        Kind = "undecided"
	OutcomeUnknown   Kind = "outcome_unknown"
	Conflict         Kind = "conflict"
	PlatformDown     Kind = "platform_unavailable"
	Moved            Kind = "moved"
	Internal         Kind = "internal"
)

var httpStatus = map[Kind]int{
	BadRequest:       http.StatusBadRequest,
	Unauthorized:     http.StatusUnauthorized,
	UnknownWorkspace: http.StatusNotFound,
	UnknownModel:     http.StatusNotFound,
	UnknownService:   http.StatusNotFound,
	NotFound:         http.StatusNotFound,
	TooLarge:         http.StatusRequestEntityTooLarge,
	KeyRequired:      http.StatusBadRequest,
	Draining:         http.StatusServiceUnavailable,
	OverShare:        http.StatusTooManyRequests,
	Overloaded:       http.StatusTooManyRequests,
	DeadlineExpired:  http.StatusGatewayTimeout,
	NoEngine:         http.StatusServiceUnavailable,
	EngineFailed:     http.StatusBadGateway,
	EndsEngines:      http.StatusUnprocessableEntity,
	NotRun:           http.StatusServiceUnavailable,
	Undecided:        http.StatusServiceUnavailable,
	OutcomeUnknown:   http.StatusBadGateway,
	Conflict:         http.StatusConflict,
	PlatformDown:     http.StatusServiceUnavailable,
	Moved:            http.StatusConflict,
	Internal:         http.StatusInternalServerError,
}

// Error is an immutable typed error. The With methods return changed copies.
type Error struct {
	kind       Kind
	message    string
	remedy     string
	retryAfter time.Duration
	cause      error
}

// New returns a fault of kind k. The message states the cause and the remedy
// states what the reader can do; both are shown to callers unchanged and must not
// contain secrets.
func New(k Kind, message, remedy string) *Error {
	return &Error{kind: k, message: message, remedy: remedy}
}

// Newf is [New] with a formatted message. The remedy precedes the format, so that
// the arguments of the format come last.
func Newf(k Kind, remedy, format string, args ...any) *Error {
	return New(k, fmt.Sprintf(format, args...), remedy)
}

// From returns the first fault in err's chain. An error without one becomes an
// [Internal] fault that wraps err. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "the daemon met an unexpected error",
		"ask again; if it stays, send the request id to the operators").WithCause(err)
}

// Is reports whether the first fault in err's chain is of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == k
}

// Error returns kind, message and remedy in one line, followed by the wrapped
// error if there is one.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (remedy: %s)", e.kind, e.message, e.remedy)
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the wrapped error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }

// Message returns the text that states the cause.
func (e *Error) Message() string { return e.message }

// Remedy returns the text that states what the reader can do.
func (e *Error) Remedy() string { return e.remedy }

// RetryAfter returns the delay after which to retry, or 0 if none was set.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status code for the kind of e.
func (e *Error) Status() int {
	if s, ok := httpStatus[e.kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// WithCause returns a copy of e that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.cause = err
	return &c
}

// WithRetryAfter returns a copy of e that asks the reader to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}
