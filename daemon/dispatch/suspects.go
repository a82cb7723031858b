package dispatch

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/boottime"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
)

const (
	// probeTime bounds the question whether an engine on which a request broke has
	// ended: ten times the longest way between halls.
	probeTime = 50 * time.Millisecond
	// lookTime bounds the same look for another daemon, for which no caller waits.
	lookTime = 500 * time.Millisecond
	// suspectPause lies before each further attempt at a suspect: copies that come
	// to several daemons break together, and each daemon has to hear from the
	// others first. Without it a prompt that came to three daemons at once ended
	// five engines in one run of three.
	suspectPause = 100 * time.Millisecond
	// apartPause is the longest pause between two looks for a free engine.
	apartPause = 50 * time.Millisecond
)

type (
	// suspects are the requests under which engines ended. It is safe for use by
	// many goroutines.
	suspects struct {
		book  *quarantine.Registry
		clock *boottime.Clock
		tell  func([]quarantine.Record)

		mu     sync.Mutex
		apart  map[string]int // requests that run apart, by engine
		roster *quarantine.Roster
		seen   *control.View // that the roster has
	}
)

// WithSuspectSender sets who tells other daemons of requests under which engines ended.
func WithSuspectSender(tell func([]quarantine.Record)) Option {
	return func(d *Dispatcher) { d.suspects.tell = tell }
}

func newSuspects() *suspects {
	return &suspects{
		book: quarantine.NewRegistry(), clock: boottime.New(),
		tell:   func([]quarantine.Record) {},
		apart:  map[string]int{},
		roster: quarantine.NewRoster(),
	}
}

// MergeSuspects takes in what another daemon knows of requests under which engines
// ended.
func (d *Dispatcher) MergeSuspects(rs []quarantine.Record) {
	for _, r := range rs {
		if err := r.Validate(); err != nil {
			event.SuspectUnusable.Warn("error", err)
			continue
		}
		d.suspects.note(d.suspects.book.Merge(r, d.suspects.clock.Now()))
		d.witness(r)
	}
}

// note writes what has changed.
func (s *suspects) note(changes []quarantine.Change) {
	for _, k := range changes {
		if k.Removed {
			event.SuspectForgotten.Info("print", k.Record.Fingerprint, "workspace", k.Record.Workspace)
			continue
		}
		event.SuspectChanged.Warn("print", k.Record.Fingerprint, "workspace", k.Record.Workspace, "stage", k.Stage, "ended", len(k.Record.Crashes))
	}
}

// enter notes that a suspect runs on an engine. The returned function ends that.
func (s *suspects) enter(addr string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apart[addr]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.apart[addr]--; s.apart[addr] == 0 {
			delete(s.apart, addr)
		}
	}
}

// free reports whether no suspect of this daemon runs on an engine.
func (s *suspects) free(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apart[addr] == 0
}

// identity is what makes two attempts the same request.
func (r Request) identity() quarantine.Request {
	return quarantine.Request{Workspace: r.Workspace.Workspace, Method: http.MethodPost, Target: r.Path, Body: r.Body}
}

// identity returns the request's digests. Its body is hashed once.
func (x *run) identity() quarantine.Identity {
	if x.digests.Fingerprint == (quarantine.Fingerprint{}) {
		x.digests = x.request.identity().Identity()
	}
	return x.digests
}

// stage is what becomes of the request. Its body is hashed only if a suspect looks
// like it.
func (x *run) stage() quarantine.Stage {
	if !x.suspects.book.MayContain(x.request.identity().HeadHash()) {
		return quarantine.Clear
	}
	x.suspects.note(x.suspects.book.Expire(x.suspects.clock.Now()))
	x.suspects.check(x.loop.View())
	return x.suspects.book.Stage(x.identity().Fingerprint)
}

// awaitVerdict waits while it is undecided whether engines have ended under the
// request.
func (x *run) awaitVerdict(ctx context.Context) {
	for x.stage() != quarantine.Clear && x.suspects.book.AwaitsConfirmation(x.identity().Fingerprint, x.suspects.clock.Now()) {
		if pause.For(ctx, quarantine.ConfirmationPollInterval) != nil {
			return // placing looks at ctx
		}
	}
}

// held refuses a request under which too many engines ended.
func (x *run) held(s quarantine.Stage) error {
	if s != quarantine.Blocked {
		return nil
	}
	return fault.New(fault.EndsEngines, "engines have ended under this request, one after the other",
		"change the request; operators see which it is in the log, SC1517")
}

// placeApart picks an engine for a suspect, on which no other one of this daemon's
// runs. When many engines end at once there are more suspects than engines: those
// under which one has ended then run anywhere, the others wait until one is free.
// Refused, 10 and 13 of 48 streams were lost when a third of the engines died.
func (x *run) placeApart(ctx context.Context, attempt string) (route.Offer, error) {
	for {
		v := x.loop.View()
		addr, ok := x.freeEngine(v)
		switch {
		case ok:
			return x.take(ctx, v, attempt, addr), nil
		case x.stage() == quarantine.Suspect:
			return x.place(ctx, attempt)
		}
		if err := pause.UpTo(ctx, apartPause); err != nil {
			return route.Offer{}, err
		}
	}
}

// freeEngine returns the engine for a suspect, if one is free of others: the first
// in an order that all daemons know, so that copies which come to several daemons
// meet, and one engine can end for all of them.
func (x *run) freeEngine(v *control.View) (string, bool) {
	var names []string
	for _, es := range x.halls(v) {
		for _, e := range es {
			if !x.excluded[e.Addr] && x.suspects.free(e.Addr) {
				names = append(names, e.Addr)
			}
		}
	}
	return route.Owner(x.request.identity().HeadHash().String(), names), len(names) > 0
}

// take places a suspect on an engine.
func (x *run) take(ctx context.Context, v *control.View, attempt, addr string) route.Offer {
	o := route.Offer{Addr: addr, Incarnation: v.Incarnation(addr)}
	x.explainChoice(Attempt{Attempt: attempt, Decision: route.Decision{Chosen: addr, Reason: "an engine has ended under the request"}})
	if now, ok := x.placed(ctx, v, attempt, o, x.prompt); ok {
		o.FairnessDelay = now.FairnessDelay
	}
	return o
}

// inquire finds out whether the engine has ended on which an attempt broke, and
// tells other daemons.
func (x *run) inquire(v *control.View, addr string, apart bool, err error) {
	if errors.IsAny(err, ErrCallerGone, engine.ErrBusy, engine.ErrLeaving, engine.ErrNotSent) || !x.closed(addr, probeTime) {
		return
	}
	start := startOf(addr, v.Incarnation(addr))
	event.EngineEnded.Warn("request", x.request.ID, "engine", start, "workspace", x.request.Workspace.Workspace)
	x.suspects.check(v) // which has this start, if the next view has another
	id := x.identity()
	x.suspects.note(x.suspects.book.AddCrash(id, quarantine.Crash{
		Server:    quarantine.ServerDigest(start),
		Reporter:  quarantine.ServerDigest(v.Self.Addr),
		Isolated:  apart,
		Confirmed: len(v.Members) <= 1, // a daemon that is alone misleads nobody
	}, x.suspects.clock.Now()))
	r, _ := x.suspects.book.Lookup(id.Fingerprint, x.suspects.clock.Now())
	x.suspects.tell([]quarantine.Record{r})
}

// closed reports whether an engine's port is found closed, or a proxy before it
// closes the connection.
func (d *Dispatcher) closed(addr string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_, err := d.engines.Report(ctx, addr)
	return errors.IsAny(err, syscall.ECONNREFUSED, fasthttp.ErrConnectionClosed)
}
