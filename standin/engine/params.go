package engine

import (
	"time"

	protocol "slipcrank.example/clients/engine"
)

type (
	// Params are the numbers of the step-time model. Users' true numbers are
	// not known, so each is a parameter.
	Params struct {
		// StepBase is the time of a step with no work in it.
		StepBase time.Duration
		// StepPerStream is added for each stream that decodes.
		StepPerStream time.Duration
		// PrefillRate is in prompt tokens a second.
		PrefillRate float64
		// ChunkTokens bounds the prompt tokens of one step.
		ChunkTokens int
		// MaxStreams bounds the streams in a batch.
		MaxStreams int
		// KVTokens is the KV memory, in tokens.
		KVTokens int
		// ReportLag is the age of load reports.
		ReportLag time.Duration
		// EventLag is the age that a cache event reaches before it is shown.
		EventLag time.Duration
		// LoadTime is how long loading a model copy takes.
		LoadTime time.Duration
		// ChecksFence says whether old fencing numbers are refused.
		ChecksFence bool
	}

	// Option changes an engine under construction.
	Option func(*Engine)
)

// DefaultParams returns the numbers used by the dev system.
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

// WithParams sets the numbers of the step-time model.
func WithParams(p Params) Option { return func(e *Engine) { e.params = p } }

// WithCopies sets the model copies that the engine holds at its start.
func WithCopies(cs ...protocol.Copy) Option {
	return func(e *Engine) { e.copies = append(e.copies, cs...) }
}

// WithFatalPrompts sets what is asked of each prompt as its run begins. If it returns
// true, the engine runs it no further: whoever asked has to end the engine.
func WithFatalPrompts(f func(prompt string) bool) Option { return func(e *Engine) { e.deadly = f } }

// WithDropEvent sets a seam that says whether a cache event is lost.
func WithDropEvent(f func(number uint64) bool) Option {
	return func(e *Engine) { e.dropEvent = f }
}

// WithIncarnation sets the incarnation; the default is the time of start.
func WithIncarnation(n uint64) Option { return func(e *Engine) { e.incarnation = n } }
