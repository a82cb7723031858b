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
	"slipcrank.example/core/directory"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/core/reach"
	"slipcrank.example/core/route"
	"slipcrank.example/daemon/control"
	"slipcrank.example/daemon/event"
)

const (
	// probeTimeout bounds the probe whether an engine has crashed after an attempt on
	// it failed. It is ten times the highest latency between halls.
	probeTimeout = 50 * time.Millisecond
	// witnessProbeTimeout bounds the same probe by a witness, for which no caller
	// waits.
	witnessProbeTimeout = 500 * time.Millisecond
	// suspectRetryDelay precedes each further attempt at a suspect. Copies of a
	// request that run at several daemons fail at the same time, and each daemon
	// first has to receive the records of the others. Without the delay, a prompt
	// sent to three daemons at once crashed five engines in one run of three.
	suspectRetryDelay = 100 * time.Millisecond
	// maxFreeEnginePollDelay bounds the random delay between two searches for an
	// engine without suspects.
	maxFreeEnginePollDelay = 50 * time.Millisecond
)

type (
	// suspects tracks the requests that were running on engines when these crashed.
	// It is safe for concurrent use.
	suspects struct {
		registry *quarantine.Registry
		clock    *boottime.Clock
		send     func([]quarantine.Record)

		mu         sync.Mutex
		running    map[string]int // number of isolated requests, by engine
		roster     *quarantine.Roster
		rosterView *control.View // the view that was last applied to roster
	}
)

// WithSuspectSender sets the function that sends records of suspects to other
// daemons.
func WithSuspectSender(send func([]quarantine.Record)) Option {
	return func(d *Dispatcher) { d.suspects.send = send }
}

func newSuspects() *suspects {
	return &suspects{
		registry: quarantine.NewRegistry(), clock: boottime.New(),
		send:    func([]quarantine.Record) {},
		running: map[string]int{},
		roster:  quarantine.NewRoster(),
	}
}

// MergeSuspects merges records of suspects received from another daemon, and probes
// the engines for which this daemon is a witness. Malformed records are logged and
// ignored.
func (d *Dispatcher) MergeSuspects(rs []quarantine.Record) {
	for _, r := range rs {
		if err := r.Validate(); err != nil {
			event.SuspectRecordUnusable.Warn("error", err)
			continue
		}
		d.suspects.logChanges(d.suspects.registry.Merge(r, d.suspects.clock.Now()))
		d.probeAsWitness(r)
	}
}

// logChanges logs stage changes and removals of suspects.
func (s *suspects) logChanges(changes []quarantine.Change) {
	for _, change := range changes {
		if change.Removed {
			event.SuspectRemoved.Info("print", change.Record.Fingerprint, "workspace", change.Record.Workspace)
			continue
		}
		event.SuspectChanged.Warn("print", change.Record.Fingerprint, "workspace", change.Record.Workspace, "stage", change.Stage, "ended", len(change.Record.Crashes))
	}
}

// trackRun counts a suspect as running on an engine until the returned function is
// called.
func (s *suspects) trackRun(addr string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[addr]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.running[addr]--; s.running[addr] == 0 {
			delete(s.running, addr)
		}
	}
}

// noneRunningOn reports whether no suspect of this daemon is running on an engine.
func (s *suspects) noneRunningOn(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[addr] == 0
}

// quarantineRequest returns the properties that identify the request across attempts.
func (r Request) quarantineRequest() quarantine.Request {
	return quarantine.Request{Workspace: r.Workspace.Workspace, Method: http.MethodPost, Target: r.Path, Body: r.Body}
}

// identity returns the digests of the request. The body is hashed only once.
func (x *run) identity() quarantine.Identity {
	if x.cachedIdentity.Fingerprint == (quarantine.Fingerprint{}) {
		x.cachedIdentity = x.request.quarantineRequest().Identity()
	}
	return x.cachedIdentity
}

// stage returns the request's stage of quarantine. The body is hashed only if a
// suspect has the same head hash.
func (x *run) stage() quarantine.Stage {
	if !x.suspects.registry.MayContain(x.request.quarantineRequest().HeadHash()) {
		return quarantine.Clear
	}
	x.suspects.logChanges(x.suspects.registry.Expire(x.suspects.clock.Now()))
	x.suspects.reconcile(x.loop.View())
	return x.suspects.registry.Stage(x.identity().Fingerprint)
}

// awaitConfirmation waits while the crashes recorded against the request are yet to
// be confirmed; see [quarantine.Registry.AwaitsConfirmation].
func (x *run) awaitConfirmation(ctx context.Context) {
	for x.stage() != quarantine.Clear && x.suspects.registry.AwaitsConfirmation(x.identity().Fingerprint, x.suspects.clock.Now()) {
		if pause.For(ctx, quarantine.ConfirmationPollInterval) != nil {
			return // the placement checks ctx
		}
	}
}

// blockedError returns a fault if the stage is Blocked, and nil otherwise.
func (x *run) blockedError(s quarantine.Stage) error {
	if s != quarantine.Blocked {
		return nil
	}
	return fault.New(fault.EndsEngines, "engines have ended under this request, one after the other",
		"change the request; operators see which it is in the log, SC1517")
}

// placeIsolated places a suspect on an engine that runs no other suspect of this
// daemon. When many engines crash at once, there are more suspects than engines.
// Requests in stage Suspect then run on any engine, and those in higher stages wait
// for an engine without suspects. When they were refused instead, 10 and 13 of 48
// streams were lost when a third of the engines crashed.
func (x *run) placeIsolated(ctx context.Context, attempt string) (route.Offer, error) {
	for {
		if err := x.blockedError(x.stage()); err != nil {
			return route.Offer{}, err
		}
		v := x.loop.View()
		addr, ok := x.engineWithoutSuspects(v)
		switch {
		case ok:
			return x.placeSuspect(ctx, v, attempt, addr), nil
		case x.stage() == quarantine.Suspect:
			return x.place(ctx, attempt)
		}
		if err := pause.UpTo(ctx, maxFreeEnginePollDelay); err != nil {
			return route.Offer{}, err
		}
	}
}

// engineWithoutSuspects selects an engine that runs no suspect of this daemon, and
// returns false if there is none. All daemons rank the engines in the same order, so
// that copies of a request at several daemons are sent to the same engine and only
// that engine may crash.
func (x *run) engineWithoutSuspects(v *control.View) (string, bool) {
	var names []string
	for _, es := range x.enginesByHall(v) {
		for _, e := range es {
			if !x.excluded[e.Addr] && x.suspects.noneRunningOn(e.Addr) {
				names = append(names, e.Addr)
			}
		}
	}
	return route.Owner(x.request.quarantineRequest().HeadHash().String(), names), len(names) > 0
}

// placeSuspect places a suspect on the engine at addr.
func (x *run) placeSuspect(ctx context.Context, v *control.View, attempt, addr string) route.Offer {
	o := route.Offer{Addr: addr, Incarnation: v.Incarnation(addr)}
	x.recordChoice(Attempt{Attempt: attempt, Decision: route.Decision{Chosen: addr, Reason: "an engine has ended under the request"}})
	if current, ok := x.recordPlacement(ctx, v, attempt, o, x.prompt); ok {
		o.FairnessDelay = current.FairnessDelay
	}
	return o
}

// recordCrash probes the engine on which an attempt failed. If the engine has
// crashed, it records the crash and sends the record to other daemons.
func (x *run) recordCrash(v *control.View, addr string, isolated bool, err error) {
	if errors.IsAny(err, ErrCallerGone, engine.ErrBusy, engine.ErrLeaving, engine.ErrNotSent) || !x.foundDown(v, addr, probeTimeout) {
		return
	}
	start := instanceID(addr, v.Incarnation(addr))
	event.EngineCrashed.Warn("request", x.request.ID, "engine", start, "workspace", x.request.Workspace.Workspace)
	x.suspects.reconcile(v) // adds this incarnation to the roster, to detect a later one
	id := x.identity()
	x.suspects.logChanges(x.suspects.registry.AddCrash(id, quarantine.Crash{
		Server:    quarantine.ServerDigest(start),
		Reporter:  quarantine.ServerDigest(v.Self.Addr),
		Isolated:  isolated,
		Confirmed: len(v.Members) <= 1, // a single daemon has no witnesses, and no others to mislead
	}, x.suspects.clock.Now()))
	r, _ := x.suspects.registry.Lookup(id.Fingerprint, x.suspects.clock.Now())
	x.suspects.send([]quarantine.Record{r})
}

// foundDown reports whether an engine's port is closed, and this daemon reaches another
// engine, of the same hall if that has one. Without a path to them, all ports may look
// closed.
func (d *Dispatcher) foundDown(v *control.View, addr string, timeout time.Duration) bool {
	return d.portClosed(addr, timeout) && reach.AnyReached(controlEngines(v, addr), d.background, func(a string) bool {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := d.engines.Report(ctx, a)
		return err == nil
	})
}

// controlEngines returns a few other engines that must be reachable if the path to an
// engine is sound: some of the same hall if there are any, otherwise of other halls.
func controlEngines(v *control.View, addr string) []string {
	hall := ""
	for _, e := range v.Engines {
		if e.Addr == addr {
			hall = e.Hall
		}
	}
	var local, remote []string
	for _, e := range v.Engines {
		switch {
		case e.Addr == addr || e.Status != directory.Up:
		case e.Hall == hall:
			local = append(local, e.Addr)
		default:
			remote = append(remote, e.Addr)
		}
	}
	return reach.Controls(local, remote)
}

// portClosed reports whether an engine refuses connections, or a proxy in front of it
// closes them.
func (d *Dispatcher) portClosed(addr string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := d.engines.Report(ctx, addr)
	return errors.IsAny(err, syscall.ECONNREFUSED, fasthttp.ErrConnectionClosed)
}
