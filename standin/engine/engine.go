// Package engine is a small stand-in for a model engine: continuous batching
// by a step-time model, limited KV memory with a prefix cache, priorities,
// resume by offset, cancel, KV reservations, lagging load reports, cache
// events that come late and with gaps, and fenced orders.
//
// The core is in memory and takes its time from package time, so that it runs
// in a synctest bubble too. [Engine.Serve] puts it behind HTTP.
//
// # Usage
//
//	e := engine.New(engine.WithParams(p), engine.WithCopies(c))
//	go e.Run(ctx)
//	stream, err := e.Submit(engine.Job{...})
//	for p := range stream { ... }
package engine

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	protocol "slipcrank.example/clients/engine"
)

var (
	// ErrNoCopy is a job for a model or version that is not loaded.
	ErrNoCopy = errors.New("the engine does not hold this copy")
	// ErrTooLarge is a job that could never fit the memory.
	ErrTooLarge = errors.New("the job needs more memory than the engine has")
)

type (
	// Job is one attempt at a generation.
	Job struct {
		Request       string
		Attempt       string
		Model         string
		Version       string   // any, if empty
		Prompt        int      // tokens
		Chain         []uint64 // names of the prompt's blocks
		MaxTokens     int
		Resume        int
		Priority      int64 // lower is more urgent
		Seed          uint64
		ReservationID string // reservation that pays for the memory
	}

	// Engine is the stand-in. Use [New].
	Engine struct {
		params      Params
		incarnation uint64
		dropEvent   func(uint64) bool
		deadly      func(prompt string) bool

		mu      sync.Mutex
		wake    chan struct{}
		copies  []protocol.Copy
		role    protocol.Role
		leaving bool
		fence   uint64
		waiting []*stream
		running []*stream
		arrived uint64
		used    int
		cache   *cache
		holds   map[string]*holding
		links   map[string][]link // by holding id
		reports []timedReport
		done    Totals
	}

	// Totals counts what the engine did since its start.
	Totals struct {
		Started       int `json:"started"`
		Finished      int `json:"finished"`
		Cancelled     int `json:"cancelled"`
		PrefillTokens int `json:"prefill_tokens"`
		OutputTokens  int `json:"output_tokens"`
	}

	timedReport struct {
		at     time.Time
		report protocol.Report
	}

	stream struct {
		job     Job
		arrival uint64
		out     chan protocol.Piece
		pending int // prompt tokens not prefilled yet
		cached  int
		next    int // offset of the next token
		memory  int // tokens of KV memory that it occupies
		gone    bool
	}
)

// New returns an engine that does nothing until [Engine.Run].
func New(os ...Option) *Engine {
	e := &Engine{
		params:      DefaultParams(),
		incarnation: uint64(time.Now().UnixNano()),
		dropEvent:   func(uint64) bool { return false },
		deadly:      func(string) bool { return false },
		wake:        make(chan struct{}, 1),
		role:        protocol.Mixed,
		holds:       map[string]*holding{},
		links:       map[string][]link{},
	}
	for _, o := range os {
		o(e)
	}
	e.cache = newCache()
	return e
}

// Submit queues a job. The channel carries its pieces; it is closed after the
// end marker, or without one if the attempt was cancelled.
func (e *Engine) Submit(j Job) (<-chan protocol.Piece, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, protocol.ErrLeaving
	}
	if !e.holdsCopy(j.Model, j.Version) {
		return nil, ErrNoCopy
	}
	need := j.Prompt + j.MaxTokens
	if need > e.capacityFor(j.ReservationID) {
		return nil, ErrTooLarge
	}
	e.arrived++
	s := &stream{
		job:     j,
		arrival: e.arrived,
		out:     make(chan protocol.Piece, max(j.MaxTokens-j.Resume, 0)+1),
		next:    j.Resume,
		pending: j.Prompt,
		memory:  need,
	}
	if _, ok := e.holds[j.ReservationID]; ok {
		s.memory = 0 // the reservation has paid
	}
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, byUrgency)
	e.done.Started++
	e.rouse()
	return s.out, nil
}

// Cancel ends an attempt and frees its memory at once.
func (e *Engine) Cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.job.Attempt == attempt {
			e.remove(s)
			e.done.Cancelled++
		}
	}
	e.rouse()
}

// Leave makes the engine refuse new work and say so in its reports.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Totals returns the counts since the start.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.done
}

// Used returns the KV memory that is occupied or reserved, in tokens.
func (e *Engine) Used() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	return e.used
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := e.plan()
		if d == 0 {
			e.rest(ctx)
			continue
		}
		t := time.NewTimer(d)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
			e.step()
		}
	}
}

// rest waits until there may be something to do: somebody says so, or a holding
// expires, whose memory a waiting job may need.
func (e *Engine) rest(ctx context.Context) {
	t := time.NewTimer(e.nextExpiry())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-t.C:
	}
}

func (e *Engine) rouse() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) holdsCopy(model, version string) bool {
	return slices.ContainsFunc(e.copies, func(c protocol.Copy) bool {
		return c.Model == model && (version == "" || c.Version == version)
	})
}

// remove takes s out of the engine, frees its memory and closes its stream.
func (e *Engine) remove(s *stream) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.used -= s.memory
	}
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if !s.gone {
		s.gone = true
		close(s.out)
	}
}

func byUrgency(a, b *stream) int {
	return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.arrival, b.arrival))
}
