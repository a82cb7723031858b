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

// injectFaults draws and injects faults until ctx ends. Faults may overlap.
func (w *world) injectFaults(ctx context.Context) {
	faults := []func(context.Context, time.Duration){
		w.killHost, w.pauseHost, w.stopHost, w.reloadHost,
		w.disturbStorePath, w.injectStoreFaults, w.disturbServerPath, w.injectAnswerFaults,
		w.replaceServer, w.rotateKeys, w.resetConnections, w.blackholeConnections, w.restoreStore, w.cutHosts,
	}
	for pause.UpTo(ctx, 2*w.faultInterval) == nil {
		inject := faults[w.rnd.IntN(len(faults))]
		duration := time.Duration(w.rnd.Int64N(int64(maxFaultTime)))
		inject(ctx, duration)
	}
}

// runAfter runs f after d, or when ctx ends.
func runAfter(ctx context.Context, d time.Duration, f func()) {
	go func() {
		_ = pause.For(ctx, d) // f reverts a fault, so it must also run when ctx ends
		f()
	}()
}

func (w *world) randomHost() *host       { return w.hosts[w.rnd.IntN(len(w.hosts))] }
func (w *world) randomSlot() *serverSlot { return w.slots[w.rnd.IntN(len(w.slots))] }

func (w *world) restartHost(h *host) {
	if err := h.start(); err != nil {
		w.failf("start %s: %v", h.name, err)
	}
}

func (w *world) killHost(ctx context.Context, d time.Duration) {
	h := w.randomHost()
	h.signal(syscall.SIGKILL)
	runAfter(ctx, d, func() { w.restartHost(h) })
}

func (w *world) pauseHost(ctx context.Context, d time.Duration) {
	h := w.randomHost()
	h.signal(syscall.SIGSTOP)
	// Doubled, so that some pauses exceed keyProof and cached keys expire.
	runAfter(ctx, 2*d, func() { h.signal(syscall.SIGCONT) })
}

func (w *world) stopHost(ctx context.Context, d time.Duration) {
	h := w.randomHost()
	h.signal(syscall.SIGTERM)
	runAfter(ctx, h.grace+d, func() {
		h.signal(syscall.SIGKILL)
		w.restartHost(h)
	})
}

func (w *world) reloadHost(context.Context, time.Duration) { w.randomHost().signal(syscall.SIGHUP) }

func (w *world) disturbStorePath(ctx context.Context, d time.Duration) {
	p := w.randomHost().store
	p.setMode([]mode{delayed, blocked, noReplies}[w.rnd.IntN(3)])
	runAfter(ctx, 2*d, func() { p.setMode(forward) })
}

func (w *world) injectStoreFaults(ctx context.Context, d time.Duration) {
	f := []standin.Fault{standin.Refused, standin.Lost, standin.Slow}[w.rnd.IntN(3)]
	r := rand.New(rand.NewPCG(w.rnd.Uint64(), 0))
	w.store.SetFault(func() standin.Fault {
		if r.IntN(3) == 0 {
			return standin.Served
		}
		return f
	})
	w.setStoreDisturbed(true)
	runAfter(ctx, d, func() {
		w.store.SetFault(func() standin.Fault { return standin.Served })
		w.setStoreDisturbed(false)
	})
}

// restoreStore has the store come back from a copy after a short outage, and all that the
// operator and the servers wrote in the meantime written again soon after.
func (w *world) restoreStore(ctx context.Context, d time.Duration) {
	revision := w.store.Revision()
	runAfter(ctx, d/copyAgeDivisor, func() {
		w.setStoreDisturbed(true)
		w.store.SetFault(func() standin.Fault { return standin.Refused })
		_ = pause.For(ctx, d/copyAgeDivisor) // when ctx ends, the store comes back at once
		rewrite := w.store.RestoreCopy(revision)
		w.store.SetFault(func() standin.Fault { return standin.Served })
		_ = pause.For(ctx, d/copyAgeDivisor) // when ctx ends, the rows are written at once
		rewrite()
		w.setStoreDisturbed(false)
	})
}

// copyAgeDivisor makes each phase of a restore that fraction of a fault's duration. A key
// that is revoked in the lost time is known to all hosts again within keyProof.
const copyAgeDivisor = 5

func (w *world) setStoreDisturbed(active bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbances.setActive(active)
}

func (w *world) disturbServerPath(ctx context.Context, d time.Duration) {
	p := w.randomSlot().proxy
	p.setMode([]mode{delayed, blocked, noReplies}[w.rnd.IntN(3)])
	runAfter(ctx, d, func() { p.setMode(forward) })
}

func (w *world) resetConnections(context.Context, time.Duration) {
	if w.rnd.IntN(2) == 0 {
		w.randomHost().store.reset()
		return
	}
	w.randomSlot().proxy.reset()
}

// blackholeConnections permanently blocks the open connections of a random proxy.
func (w *world) blackholeConnections(context.Context, time.Duration) {
	if w.rnd.IntN(2) == 0 {
		w.randomHost().store.blackhole()
		return
	}
	w.randomSlot().proxy.blackhole()
}

// injectAnswerFaults makes a server lose or truncate some of its answers.
func (w *world) injectAnswerFaults(ctx context.Context, d time.Duration) {
	s := w.randomSlot()
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	r := rand.New(rand.NewPCG(w.rnd.Uint64(), 0))
	sometimes := func() bool { return r.Float64() < answerFaultRate }
	never := func() bool { return false }
	server.SetFaults(sometimes, sometimes)
	runAfter(ctx, d, func() { server.SetFaults(never, never) })
}

// replaceServer stops a server and starts another one at its address. The old
// server leaves first, by its entry or by the removal of its entry, or stops
// without notice.
func (w *world) replaceServer(ctx context.Context, d time.Duration) {
	s := w.randomSlot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer == nil {
		return // the server is being replaced
	}
	id := s.serverID
	delay := time.Duration(0)
	switch w.rnd.IntN(3) {
	case 0:
		w.putServerEntry(s, true)
		delay = configBound + 2*d // at times it keeps serving long after the bound
	case 1: // its entry is removed while it still serves
		w.store.RemoveServer(id)
		delay = configBound + 2*d
	}
	if delay > 0 {
		w.recordLeaving(id)
	}
	w.scheduleReplacement(ctx, s, delay, d)
}

// scheduleReplacement stops the server of a slot after delay, and starts another
// one gap later. Both happen at once when ctx ends. The caller holds s.mu.
func (w *world) scheduleReplacement(ctx context.Context, s *serverSlot, delay, gap time.Duration) {
	old, id, closed := s.httpServer, s.serverID, s.closed
	s.httpServer = nil
	go func() {
		_ = pause.For(ctx, delay) // when ctx ends, the server stops at once
		s.mu.Lock()
		s.closings.addInstant()
		s.mu.Unlock()
		_ = old.Close() // errors don't matter; closed reports that the listener is gone
		<-closed
		w.store.RemoveServer(id)
		_ = pause.For(ctx, gap) // when ctx ends, the next server starts at once
		if err := w.startServer(s); err != nil {
			w.failf("start a server in slot %d: %v", s.number, err)
		}
	}()
}

// recordLeaving records that the platform has just acknowledged that a server
// leaves.
func (w *world) recordLeaving(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leavingSince[id] = time.Now()
}

// rotateKeys revokes the valid key and adds another one.
func (w *world) rotateKeys(context.Context, time.Duration) {
	w.mu.Lock()
	n := len(w.revokedAt) + 1
	for k := range w.validKeys {
		delete(w.validKeys, k)
		w.revokedAt[k] = time.Now().Add(time.Hour) // in the future until the platform has acknowledged the change
	}
	w.validKeys[fmt.Sprintf("key-%d", n)] = fmt.Sprintf("workspace-%d", n)
	w.putConfig()
	now := time.Now()
	for k, revoked := range w.revokedAt {
		if revoked.After(now) {
			w.revokedAt[k] = now
		}
	}
	w.mu.Unlock()
}

// endFaults ends all faults: it restores the platform and the proxies, and
// resumes or restarts all daemons.
func (w *world) endFaults() {
	w.store.SetFault(func() standin.Fault { return standin.Served })
	for _, h := range w.hosts {
		h.store.setMode(forward)
		h.signal(syscall.SIGCONT)
		w.restartHost(h)
	}
	for _, s := range w.slots {
		s.proxy.setMode(forward)
	}
	w.cuts.endAll()
}
