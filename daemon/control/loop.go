// Package control owns a daemon's control state: members, engines, ledgers of
// the engines that it owns, templates, and what it knows of the platform.
//
// One goroutine, [Loop.Run], owns the [State]. Others reach it with
// [Loop.Do] and [Loop.Post], which run a short function there. Traffic reads
// the immutable [View] that the goroutine publishes after each change, and
// takes no lock.
//
// # Usage
//
//	l := control.New(self, control.WithClock(time.Now))
//	go l.Run(ctx)
//	l.Post(func(s *control.State) { s.MergeMembers(ms) })
//	v := l.View()
package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"slipcrank.example/core/directory"
	"slipcrank.example/core/group"
	"slipcrank.example/core/member"
	"slipcrank.example/core/placement"
	"slipcrank.example/core/route"
	"slipcrank.example/core/template"
)

const inboxLength = 1024

type (
	// Loop runs the goroutine that owns the control state.
	Loop struct {
		inbox chan work
		done  chan struct{}
		view  atomic.Pointer[View]
		state *State
	}

	// work is a function to run on the owning goroutine, and what to do once
	// its view is out; done may be nil.
	work struct {
		run  func(*State)
		done func()
	}

	// placedReply is what became of a placement.
	placedReply struct {
		now route.Offer
		ok  bool
	}

	// Option changes a loop under construction.
	Option func(*State)
)

// WithClock sets the clock.
func WithClock(f func() time.Time) Option { return func(s *State) { s.now = f } }

// WithRandom sets the source of random numbers.
func WithRandom(r *rand.Rand) Option { return func(s *State) { s.random = r } }

// WithState changes the state before the loop runs.
func WithState(f func(*State)) Option { return f }

// New returns the loop of the daemon self.
func New(self member.Member, os ...Option) *Loop {
	s := &State{
		now:     time.Now,
		random:  rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Addr)))),
		members: member.New(self),
		engines: directory.New(),
		owned:   map[string]*ownedEngine{},
		book:    template.NewSet(),
		dirty:   true,
	}
	for _, o := range os {
		o(s)
	}
	s.demand = placement.NewMeter(s.now())
	l := &Loop{inbox: make(chan work, inboxLength), done: make(chan struct{}), state: s}
	l.publish()
	return l
}

// Run owns the state until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case w := <-l.inbox:
			w.run(l.state)
			l.publish()
			if w.done != nil {
				w.done()
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) publish() {
	if !l.state.dirty {
		return
	}
	l.state.dirty = false
	l.view.Store(newView(l.state))
}

// View returns the newest view. It is immutable.
func (l *Loop) View() *View { return l.view.Load() }

// Post runs f on the owning goroutine, some time later.
func (l *Loop) Post(f func(*State)) {
	select {
	case l.inbox <- work{run: f}:
	case <-l.done:
	}
}

// Do runs f on the owning goroutine and waits for it. It reports false if the
// loop has ended or ctx ends first; f may then still run, later. So f must not
// write to variables of its caller: [Ask] brings results back.
func (l *Loop) Do(ctx context.Context, f func(*State)) bool {
	_, ok := Ask(ctx, l, func(s *State) struct{} {
		f(s)
		return struct{}{}
	})
	return ok
}

// Ask runs f on the owning goroutine and returns its result once the view that
// f leads to is out: an operator who was told that a change is in force reads
// it with the next command. It reports false, with no result, if the loop has
// ended or ctx ends first.
func Ask[T any](ctx context.Context, l *Loop, f func(*State) T) (T, bool) {
	var none T
	var answer T // written and read on the owning goroutine only
	result := make(chan T, 1)
	w := work{
		run:  func(s *State) { answer = f(s) },
		done: func() { result <- answer },
	}
	select {
	case l.inbox <- w:
	case <-ctx.Done():
		return none, false
	case <-l.done:
		return none, false
	}
	select {
	case v := <-result:
		return v, true
	case <-ctx.Done():
		return none, false
	case <-l.done:
		return none, false
	}
}

// Offers returns the predictions of the engines that this daemon owns.
func (l *Loop) Offers(ctx context.Context, p route.Prompt) []route.Offer {
	os, _ := Ask(ctx, l, func(s *State) []route.Offer { return s.offers(p) })
	return os
}

// Place records a placement on an engine that this daemon owns. It reports
// false, with the present offer, if that is much worse than was expected.
func (l *Loop) Place(ctx context.Context, attempt string, o route.Offer, p route.Prompt) (route.Offer, bool) {
	r, _ := Ask(ctx, l, func(s *State) placedReply {
		now, ok := s.place(attempt, o, p)
		return placedReply{now, ok}
	})
	return r.now, r.ok
}

// AwaitGroup is [State.AwaitGroup], for an engine that this daemon owns.
func (l *Loop) AwaitGroup(ctx context.Context, addr, id string, priority int64, leave bool) group.WaitStatus {
	t, _ := Ask(ctx, l, func(s *State) group.WaitStatus { return s.AwaitGroup(addr, id, priority, leave) })
	return t
}
