// Package engine is a stand-in for a model engine, for tests and the development
// system. It simulates continuous batching with a step-time model, limited KV memory
// with a prefix cache, priorities, resumption at an offset, cancellation, KV memory
// reservations, delayed load reports, cache events with delays and gaps, and fenced
// orders.
//
// An Engine works in memory and takes the time from package time, so it can run in
// a synctest bubble. [Engine.Serve] adds an HTTP server.
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
	// ErrNoCopy is returned for a job whose model or version is not loaded.
	ErrNoCopy = errors.New("the engine does not hold this copy")
	// ErrTooLarge is returned for a job that needs more memory than the engine has,
	// and for an unknown holding.
	ErrTooLarge = errors.New("the job needs more memory than the engine has")
)

type (
	// Job is one attempt at a generation.
	Job struct {
		Request       string
		Attempt       string
		Model         string
		Version       string   // empty for any
		Prompt        int      // length in tokens
		Chain         []uint64 // chained hashes of the prompt's blocks
		MaxTokens     int
		Resume        int
		Priority      int64 // lower is more urgent
		Seed          uint64
		ReservationID string // holding that provides the memory; empty for none
	}

	// Engine is the stand-in. Use [New].
	Engine struct {
		params      Params
		incarnation uint64
		dropEvent   func(uint64) bool
		fatal       func(prompt string) bool // see [WithFatalPrompts]

		mu       sync.Mutex
		wake     chan struct{} // signals that Run may have work
		copies   []protocol.Copy
		role     protocol.Role
		leaving  bool
		fence    uint64 // highest received
		waiting  []*stream
		running  []*stream
		arrivals uint64 // number of jobs submitted
		used     int    // KV tokens in use or reserved
		cache    *cache
		holdings map[string]*holding
		links    map[string][]link // by holding id
		reports  []timedReport
		totals   Totals
	}

	// Totals has counts since the start of the engine.
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
		pending int // prompt tokens not yet prefilled
		cached  int // prompt tokens found in the prefix cache
		next    int // offset of the next token
		memory  int // KV tokens allocated, 0 if a holding provides the memory
		closed  bool
	}
)

// New returns an engine, which processes no jobs until [Engine.Run] is called.
func New(os ...Option) *Engine {
	e := &Engine{
		params:      DefaultParams(),
		incarnation: uint64(time.Now().UnixNano()),
		dropEvent:   func(uint64) bool { return false },
		fatal:       func(string) bool { return false },
		wake:        make(chan struct{}, 1),
		role:        protocol.Mixed,
		holdings:    map[string]*holding{},
		links:       map[string][]link{},
	}
	for _, o := range os {
		o(e)
	}
	e.cache = newCache()
	return e
}

// Submit queues a job and returns the channel for its pieces. The channel is closed
// after the end marker or, if the attempt is canceled, without one.
func (e *Engine) Submit(j Job) (<-chan protocol.Piece, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, protocol.ErrLeaving
	}
	if !e.hasCopy(j.Model, j.Version) {
		return nil, ErrNoCopy
	}
	need := j.Prompt + j.MaxTokens
	if need > e.capacityFor(j.ReservationID) {
		return nil, ErrTooLarge
	}
	e.arrivals++
	s := &stream{
		job:     j,
		arrival: e.arrivals,
		out:     make(chan protocol.Piece, max(j.MaxTokens-j.Resume, 0)+1),
		next:    j.Resume,
		pending: j.Prompt,
		memory:  need,
	}
	if _, ok := e.holdings[j.ReservationID]; ok {
		s.memory = 0 // the holding is already counted as used
	}
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, compareUrgency)
	e.totals.Started++
	e.notify()
	return s.out, nil
}

// Cancel ends an attempt and frees its memory immediately.
func (e *Engine) Cancel(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.job.Attempt == attempt {
			e.remove(s)
			e.totals.Cancelled++
		}
	}
	e.notify()
}

// Leave makes the engine refuse new jobs and report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Totals returns the counts since the start of the engine.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.totals
}

// Used returns the KV memory in use or reserved, in tokens.
func (e *Engine) Used() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	return e.used
}

// Run processes jobs until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := e.plan()
		if d == 0 {
			e.waitForWork(ctx)
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

// waitForWork waits for a call of notify, or until the next holding expires: a queued
// job may need its memory.
func (e *Engine) waitForWork(ctx context.Context) {
	t := time.NewTimer(e.nextExpiry())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-e.wake:
	case <-t.C:
	}
}

// notify makes [Engine.Run] look for work.
func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) hasCopy(model, version string) bool {
	return slices.ContainsFunc(e.copies, func(c protocol.Copy) bool {
		return c.Model == model && (version == "" || c.Version == version)
	})
}

// remove removes s from the batch or the queue, frees its memory and closes its
// channel.
func (e *Engine) remove(s *stream) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.used -= s.memory
	}
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if !s.closed {
		s.closed = true
		close(s.out)
	}
}

// compareUrgency sorts by priority, then by arrival.
func compareUrgency(a, b *stream) int {
	return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.arrival, b.arrival))
}
