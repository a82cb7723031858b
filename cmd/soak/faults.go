package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/platform/standin"
)

// strike draws faults until ctx ends. Each runs beside the others.
func (w *world) strike(ctx context.Context) {
	faults := []func(context.Context, time.Duration){
		w.killHost, w.pauseHost, w.stopHost, w.reloadHost,
		w.harmStorePath, w.harmStore, w.harmServerPath, w.harmAnswers,
		w.replaceServer, w.changeKeys, w.resetConnections, w.silenceConnections,
	}
	for pause.UpTo(ctx, 2*faultPause) == nil {
		f := faults[w.rnd.IntN(len(faults))]
		d := time.Duration(w.rnd.Int64N(int64(faultTime)))
		f(ctx, d)
	}
}

// later runs f after d, or when ctx ends.
func later(ctx context.Context, d time.Duration, f func()) {
	go func() {
		_ = pause.For(ctx, d) // f undoes a fault in any case
		f()
	}()
}

func (w *world) anyHost() *host { return w.hosts[w.rnd.IntN(len(w.hosts))] }
func (w *world) anySlot() *slot { return w.slots[w.rnd.IntN(len(w.slots))] }

func (w *world) restart(h *host) {
	if err := h.start(); err != nil {
		w.fail("%s does not start: %v", h.name, err)
	}
}

func (w *world) killHost(ctx context.Context, d time.Duration) {
	h := w.anyHost()
	h.signal(syscall.SIGKILL)
	later(ctx, d, func() { w.restart(h) })
}

func (w *world) pauseHost(ctx context.Context, d time.Duration) {
	h := w.anyHost()
	h.signal(syscall.SIGSTOP)
	// Long enough, at times, for keys to lose their proof meanwhile.
	later(ctx, 2*d, func() { h.signal(syscall.SIGCONT) })
}

func (w *world) stopHost(ctx context.Context, d time.Duration) {
	h := w.anyHost()
	h.signal(syscall.SIGTERM)
	later(ctx, grace+d, func() {
		h.signal(syscall.SIGKILL)
		w.restart(h)
	})
}

func (w *world) reloadHost(context.Context, time.Duration) { w.anyHost().signal(syscall.SIGHUP) }

func (w *world) harmStorePath(ctx context.Context, d time.Duration) {
	p := w.anyHost().store
	p.set([]mode{delay, silent, oneWay}[w.rnd.IntN(3)])
	later(ctx, 2*d, func() { p.set(pass) })
}

func (w *world) harmStore(ctx context.Context, d time.Duration) {
	f := []standin.Fault{standin.Refused, standin.Lost, standin.Slow}[w.rnd.IntN(3)]
	r := rand.New(rand.NewPCG(w.rnd.Uint64(), 0))
	w.store.SetFault(func() standin.Fault {
		if r.IntN(3) == 0 {
			return standin.Served
		}
		return f
	})
	w.storeHarmed(true)
	later(ctx, d, func() {
		w.store.SetFault(func() standin.Fault { return standin.Served })
		w.storeHarmed(false)
	})
}

func (w *world) storeHarmed(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harms.set(on)
}

func (w *world) harmServerPath(ctx context.Context, d time.Duration) {
	p := w.anySlot().proxy
	p.set([]mode{delay, silent, oneWay}[w.rnd.IntN(3)])
	later(ctx, d, func() { p.set(pass) })
}

func (w *world) resetConnections(context.Context, time.Duration) {
	if w.rnd.IntN(2) == 0 {
		w.anyHost().store.reset()
		return
	}
	w.anySlot().proxy.reset()
}

// silenceConnections has the open connections of a way fall silent for good.
func (w *world) silenceConnections(context.Context, time.Duration) {
	if w.rnd.IntN(2) == 0 {
		w.anyHost().store.deaden()
		return
	}
	w.anySlot().proxy.deaden()
}

// harmAnswers lets a server lose or break off some of its answers.
func (w *world) harmAnswers(ctx context.Context, d time.Duration) {
	at := w.anySlot()
	at.mu.Lock()
	s := at.server
	at.mu.Unlock()
	r := rand.New(rand.NewPCG(w.rnd.Uint64(), 0))
	some := func() bool { return r.Float64() < faultPart }
	never := func() bool { return false }
	s.SetFaults(some, some)
	later(ctx, d, func() { s.SetFaults(never, never) })
}

// replaceServer ends a server, with or without a word, and starts another at
// its address.
func (w *world) replaceServer(ctx context.Context, d time.Duration) {
	s := w.anySlot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return // it is being replaced
	}
	id := s.id
	leave := time.Duration(0)
	switch w.rnd.IntN(3) {
	case 0:
		w.announce(s, true)
		leave = configDue + 2*d // at times it serves on for long
	case 1: // its entry goes, and it serves on
		w.store.RemoveServer(id)
		leave = configDue + 2*d
	}
	if leave > 0 {
		w.left(id)
	}
	w.replace(ctx, s, leave, d)
}

// replace ends the server of a slot after a time, and starts another one some time
// after that. The slot is locked.
func (w *world) replace(ctx context.Context, s *slot, leave, d time.Duration) {
	old, id, ended := s.http, s.id, s.ended
	s.http = nil
	go func() {
		_ = pause.For(ctx, leave) // it ends in any case
		_ = old.Close()           // its listener is what counts
		<-ended
		w.store.RemoveServer(id)
		_ = pause.For(ctx, d) // the next begins in any case
		if err := w.begin(s); err != nil {
			w.fail("no server at slot %d: %v", s.number, err)
		}
	}()
}

// left notes that the platform has acknowledged a server's leaving.
func (w *world) left(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[id] = time.Now()
}

// changeKeys takes a key away and gives another.
func (w *world) changeKeys(context.Context, time.Duration) {
	w.mu.Lock()
	n := len(w.revoked) + 1
	for k := range w.keys {
		delete(w.keys, k)
		w.revoked[k] = time.Now().Add(time.Hour) // until it is acknowledged
	}
	w.keys[fmt.Sprintf("key-%d", n)] = fmt.Sprintf("workspace-%d", n)
	w.configure()
	now := time.Now()
	for k, at := range w.revoked {
		if at.After(now) {
			w.revoked[k] = now
		}
	}
	w.mu.Unlock()
}

// calm ends all faults.
func (w *world) calm() {
	w.store.SetFault(func() standin.Fault { return standin.Served })
	for _, h := range w.hosts {
		h.store.set(pass)
		h.signal(syscall.SIGCONT)
		w.restart(h)
	}
	for _, s := range w.slots {
		s.proxy.set(pass)
	}
}
