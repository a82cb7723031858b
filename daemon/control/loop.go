// Package control owns a daemon's control state: the membership list, the
// directory of engines, the load trackers of the engines that the daemon owns,
// the templates, and the state of the platform.
//
// One goroutine, [Loop.Run], owns the [State]. Other goroutines access it with
// [Loop.Do], [Loop.Post] and [Ask], which run a short function on that
// goroutine. Request handling reads the immutable [View] that the goroutine
// publishes after each change, without taking a lock.
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

const inboxCapacity = 1024

type (
	// Loop runs the goroutine that owns the control state.
	Loop struct {
		inbox chan task
		done  chan struct{}
		view  atomic.Pointer[View]
		state *State
	}

	// task is a function to run on the owning goroutine. Done, unless nil, is
	// called after the view that results from run has been published.
	task struct {
		run  func(*State)
		done func()
	}

	// placeReply is the result of State.place.
	placeReply struct {
		current route.Offer
		ok      bool
	}

	// Option configures a Loop during construction.
	Option func(*State)
)

// WithClock sets the clock, time.Now by default.
func WithClock(f func() time.Time) Option { return func(s *State) { s.now = f } }

// WithRandom sets the source of random numbers.
func WithRandom(r *rand.Rand) Option { return func(s *State) { s.random = r } }

// WithState changes the state before the loop runs.
func WithState(f func(*State)) Option { return f }

// New returns the loop of the daemon self.
func New(self member.Member, os ...Option) *Loop {
	s := &State{
		now:       time.Now,
		random:    rand.New(rand.NewPCG(self.Incarnation, uint64(len(self.Addr)))),
		members:   member.New(self),
		engines:   directory.New(),
		owned:     map[string]*ownedEngine{},
		templates: template.NewSet(),
		dirty:     true,
	}
	for _, o := range os {
		o(s)
	}
	s.demand = placement.NewMeter(s.now())
	l := &Loop{inbox: make(chan task, inboxCapacity), done: make(chan struct{}), state: s}
	l.publish()
	return l
}

// Run owns the state, and runs the functions given to [Loop.Do], [Loop.Post] and
// [Ask], until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case t := <-l.inbox:
			t.run(l.state)
			l.publish()
			if t.done != nil {
				t.done()
			}
		case <-ctx.Done():
			return
		}
	}
}

// publish replaces the view if the state has changed.
func (l *Loop) publish() {
	if !l.state.dirty {
		return
	}
	l.state.dirty = false
	l.view.Store(newView(l.state))
}

// View returns the newest view. It is immutable.
func (l *Loop) View() *View { return l.view.Load() }

// Post queues f to run on the owning goroutine and does not wait for it. Post
// blocks while the queue is full. After the loop has ended, f may be dropped.
func (l *Loop) Post(f func(*State)) {
	select {
	case l.inbox <- task{run: f}:
	case <-l.done:
	}
}

// Do runs f on the owning goroutine and returns once the resulting view has
// been published. Do returns false if the loop or ctx ends first; f may then
// still run later, so f must not write to variables of the caller. Use [Ask]
// to return a result.
func (l *Loop) Do(ctx context.Context, f func(*State)) bool {
	_, ok := Ask(ctx, l, func(s *State) struct{} {
		f(s)
		return struct{}{}
	})
	return ok
}

// Ask runs f on the owning goroutine and returns its result once the resulting
// view has been published. So an operator whose change is reported as in force
// sees the change with the next command. Ask returns the zero value and false
// if the loop or ctx ends first.
func Ask[T any](ctx context.Context, l *Loop, f func(*State) T) (T, bool) {
	var zero T
	var answer T // written and read on the owning goroutine only
	result := make(chan T, 1)
	t := task{
		run:  func(s *State) { answer = f(s) },
		done: func() { result <- answer },
	}
	select {
	case l.inbox <- t:
	case <-ctx.Done():
		return zero, false
	case <-l.done:
		return zero, false
	}
	select {
	case v := <-result:
		return v, true
	case <-ctx.Done():
		return zero, false
	case <-l.done:
		return zero, false
	}
}

// Offers returns the offers for p of the engines that this daemon owns.
func (l *Loop) Offers(ctx context.Context, p route.Prompt) []route.Offer {
	os, _ := Ask(ctx, l, func(s *State) []route.Offer { return s.offers(p) })
	return os
}

// Place records the placement of an attempt on an engine that this daemon owns.
// Place refuses it, and returns the engine's current offer and false, if that
// offer is much worse than o. If the engine is not owned, not up or has
// restarted, the returned offer is empty.
func (l *Loop) Place(ctx context.Context, attempt string, o route.Offer, p route.Prompt) (route.Offer, bool) {
	r, _ := Ask(ctx, l, func(s *State) placeReply {
		current, ok := s.place(attempt, o, p)
		return placeReply{current, ok}
	})
	return r.current, r.ok
}

// AwaitGroup runs [State.AwaitGroup] on the owning goroutine.
func (l *Loop) AwaitGroup(ctx context.Context, addr, id string, priority int64, leave bool) group.WaitStatus {
	t, _ := Ask(ctx, l, func(s *State) group.WaitStatus { return s.AwaitGroup(addr, id, priority, leave) })
	return t
}
