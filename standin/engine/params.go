package engine

import (
	"time"

	protocol "slipcrank.example/clients/engine"
)

type (
	// Params are the parameters of the step-time model. They are configurable, since
	// the figures of the users' real engines are not known.
	Params struct {
		// StepBase is the duration of a step without work.
		StepBase time.Duration
		// StepPerStream is the time that each decoding stream adds to a step.
		StepPerStream time.Duration
		// PrefillRate is in prompt tokens per second.
		PrefillRate float64
		// ChunkTokens is the maximum number of prompt tokens per step.
		ChunkTokens int
		// MaxStreams is the maximum number of streams in a batch.
		MaxStreams int
		// KVTokens is the size of the KV memory, in tokens.
		KVTokens int
		// ReportLag is the minimum age of load reports.
		ReportLag time.Duration
		// EventLag is the minimum age of the cache events that are returned.
		EventLag time.Duration
		// LoadTime is the time that loading a model copy takes.
		LoadTime time.Duration
		// ChecksFence is set if orders with a fence out of date are refused.
		ChecksFence bool
	}

	// Option configures an [Engine].
	Option func(*Engine)
)

// DefaultParams returns the parameters of the development system.
func DefaultParams() Params {
	return Params{
		StepBase:      12 * time.Millisecond,
		StepPerStream: 100 * time.Microsecond,
		PrefillRate:   80_000,
		ChunkTokens:   1024,
		MaxStreams:    64,
		KVTokens:      400_000,
		ReportLag:     300 * time.Millisecond,
		EventLag:      200 * time.Millisecond,
		LoadTime:      time.Second,
		ChecksFence:   true,
	}
}

// WithParams sets the parameters of the step-time model.
func WithParams(p Params) Option { return func(e *Engine) { e.params = p } }

// WithCopies adds model copies that are loaded from the start.
func WithCopies(cs ...protocol.Copy) Option {
	return func(e *Engine) { e.copies = append(e.copies, cs...) }
}

// WithFatalPrompts sets a function that reports whether a prompt crashes the engine.
// For such a prompt the engine only closes the connection; f has to stop the engine.
func WithFatalPrompts(f func(prompt string) bool) Option { return func(e *Engine) { e.fatal = f } }

// WithDropEvent sets a function that reports whether the cache event with this number
// is lost.
func WithDropEvent(f func(number uint64) bool) Option {
	return func(e *Engine) { e.dropEvent = f }
}

// WithIncarnation sets the incarnation. The default is the Unix time of [New] in
// nanoseconds.
func WithIncarnation(n uint64) Option { return func(e *Engine) { e.incarnation = n } }
