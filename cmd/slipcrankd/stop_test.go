package main_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"slipcrank.example/core/pause"
)

var (
	stopCount = flag.Int("stops", 1, "how many stops of each kind are played")
	stopSeed  = flag.Uint64("stops.seed", 0, "is added to the seeds of all kinds of stops")
	stopLogs  = flag.String("stops.logs", "", "the directory for the logs of hosts whose kinds of stops fail")
)

const (
	longGrace  = 8 * time.Second
	shortGrace = 4 * time.Second
	// maxThink bounds the pause between two requests of a caller, longThink that of some.
	maxThink, longThink = 400 * time.Millisecond, 5 * time.Second
	longThinkInterval   = 8
	// eagerThink bounds the pause after a refusal of callers that don't wait as told.
	eagerThink = 40 * time.Millisecond
	// exitTimeout is how long after the grace period a process is killed that hasn't exited.
	exitTimeout    = 5 * time.Second
	defaultCallers = 80
	// kindsAtOnce bounds the kinds of stops that are played at the same time: callers that get no
	// processor see the ends of their requests late.
	kindsAtOnce = 4
	// afterExit is how long after the exit of a process its requests may still end.
	afterExit = 1500 * time.Millisecond
)

// stopKind is a kind of planned stops.
type stopKind struct {
	seed       uint64
	grace      time.Duration
	hosts      int           // default defaultHosts
	servers    int           // default defaultServers
	slots      int           // of each server, as listed; default defaultSlots
	faults     stopFaults    // of servers
	callers    int           // default defaultCallers
	longest    time.Duration // of streams; 0 for calls and short streams
	once       time.Duration // longest of calls that may run only once; 0 for other requests
	lateBodies bool          // half of the callers' bodies come after the head
	slow       bool          // callers read about as fast as events come
	mixed      bool          // half of the requests are calls
	eager      bool          // callers hardly wait after a refusal
	signals    []syscall.Signal
	env        []string
	busy       int           // goroutines that keep the processor busy
	overlap    time.Duration // between the stops of all hosts; 0 to stop one
}

// between returns a random duration.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// work returns what a caller asks for next.
func (k stopKind) work(r *rand.Rand) stopWork {
	kind, longest, size := "stream", k.longest, 20
	if k.once > 0 {
		kind, longest = "once", k.once
	} else if longest == 0 || k.mixed && r.IntN(2) == 0 {
		kind, longest = []string{"stream", "once", "call", "call"}[r.IntN(4)], 600*time.Millisecond
	}
	var work stopWork
	if k.lateBodies && r.IntN(2) == 0 {
		work.bodyDelay = between(r, 10*time.Millisecond, 600*time.Millisecond)
	}
	if k.slow {
		size, work.readPause = readBytes/2, between(r, 60*time.Millisecond, 120*time.Millisecond)
	}
	work.path = fmt.Sprintf("/%s/%d/%d/", kind, between(r, 10*time.Millisecond, longest).Milliseconds(), size)
	return work
}

// TestPlannedStops stops hosts by signals: none loses a request, and the log names those it cuts.
func TestPlannedStops(t *testing.T) {
	playing := make(chan struct{}, kindsAtOnce)
	for name, k := range map[string]stopKind{
		"late bodies":                     {seed: 1, grace: longGrace, longest: 6 * time.Second, lateBodies: true},
		"late bodies in a short grace":    {seed: 2, grace: shortGrace, longest: 3 * time.Second, lateBodies: true},
		"streams of 6 seconds":            {seed: 3, grace: longGrace, longest: 6 * time.Second},
		"streams of 9 seconds":            {seed: 4, grace: longGrace, longest: 9 * time.Second},
		"streams in a short grace":        {seed: 5, grace: shortGrace, longest: 4 * time.Second},
		"calls and short streams":         {seed: 6, grace: longGrace},
		"silent servers":                  {seed: 7, grace: longGrace, longest: 4 * time.Second, faults: stopFaults{silent: true}},
		"servers that break off":          {seed: 8, grace: longGrace, longest: 6 * time.Second, faults: stopFaults{broken: true}},
		"busy processor":                  {seed: 9, grace: longGrace, longest: 4 * time.Second, lateBodies: true, callers: 200, busy: 1, env: []string{"GOMAXPROCS=1"}},
		"slow readers":                    {seed: 10, grace: longGrace, longest: 4 * time.Second, slow: true},
		"SIGHUP in the stop":              {seed: 11, grace: longGrace, longest: 4 * time.Second, lateBodies: true, signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP}},
		"second SIGTERM in the stop":      {seed: 12, grace: longGrace, longest: 4 * time.Second, lateBodies: true, signals: []syscall.Signal{syscall.SIGTERM}},
		"neighbors stop with overlap":     {seed: 13, grace: longGrace, longest: 6 * time.Second, lateBodies: true, hosts: 3, overlap: 3 * time.Second},
		"eager callers of stopping hosts": {seed: 15, grace: longGrace, longest: 7 * time.Second, lateBodies: true, eager: true, overlap: 500 * time.Millisecond},
		"calls beside stopping neighbors": {seed: 14, grace: longGrace, hosts: 3, overlap: 2 * time.Second},
		"late calls that may run once":    {seed: 20, grace: longGrace, hosts: 3, once: 9 * time.Second, lateBodies: true, eager: true},
		"servers that refuse and fall silent": {
			seed: 16, grace: longGrace, longest: 4 * time.Second, servers: 3, faults: stopFaults{room: 24, pauses: 30},
		},
		"servers that queue": {
			seed: 17, grace: longGrace, longest: 4 * time.Second, mixed: true, slots: 16, faults: stopFaults{room: 14, queue: 6, pauses: 15}, env: []string{"GOMAXPROCS=1"},
		},
		"two servers": {
			seed: 18, grace: longGrace, longest: 4 * time.Second, servers: 2, faults: stopFaults{pauses: 60},
		},
		"neighbors with silent full servers": {
			seed: 19, grace: longGrace, longest: 4 * time.Second, mixed: true, lateBodies: true, servers: 6, hosts: 3, overlap: 3 * time.Second,
			faults: stopFaults{room: 10, pauses: 20}, env: []string{"GOMAXPROCS=1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playing <- struct{}{}
			defer func() { <-playing }()
			k.play(t)
		})
	}
}

// play plays stops of a kind one after the other.
func (k stopKind) play(t *testing.T) {
	seed := k.seed + *stopSeed
	rnd := rand.New(rand.NewPCG(seed, 0))
	w := startStopWorld(t, k)
	for range k.busy {
		go func() {
			for w.ctx.Err() == nil {
			}
		}()
	}
	var callers sync.WaitGroup
	for n := range max(k.callers, defaultCallers) {
		r := rand.New(rand.NewPCG(seed, uint64(n)+1))
		callers.Go(func() { k.call(w, r, fmt.Sprint("caller-", n)) })
	}
	total := map[string]int{}
	for total["stops"] < *stopCount {
		_ = pause.For(w.ctx, between(rnd, time.Second, 2*time.Second))
		k.stopHosts(t, w, rnd, total)
	}
	for _, f := range w.judgeAll(total) {
		t.Error(f)
	}
	t.Log(total)
	if t.Failed() && *stopLogs != "" {
		w.saveLogs(*stopLogs)
	}
	w.cancel()
	callers.Wait()
}

// stopHosts stops one host, or all with overlap, judges the stops, and adds to the counts.
func (k stopKind) stopHosts(t *testing.T, w *stopWorld, rnd *rand.Rand, total map[string]int) {
	hosts := []*stopHost{w.hosts[rnd.IntN(len(w.hosts))]}
	if k.overlap > 0 {
		hosts = w.hosts
	}
	var mu sync.Mutex
	var stops sync.WaitGroup
	for n, h := range hosts {
		after := between(rnd, 0, k.grace/2)
		stops.Go(func() {
			_ = pause.For(w.ctx, time.Duration(n)*k.overlap)
			s := h.stop(k.signals, after)
			if err := h.start(); err != nil {
				t.Error(err)
				return
			}
			_ = pause.For(w.ctx, min(time.Until(s.exited.Add(afterExit)), time.Until(s.signalled.Add(w.grace+time.Second))))
			counts, faults := w.judge(s)
			mu.Lock()
			defer mu.Unlock()
			for name, n := range counts {
				total[name] += n
			}
			for _, f := range faults {
				t.Error(f)
			}
			if err := h.waitUntilServing(); err != nil {
				t.Error(err)
			}
		})
	}
	stops.Wait()
}

// stop stops the process of the host by SIGTERM, and sends it further signals at an interval.
func (h *stopHost) stop(signals []syscall.Signal, interval time.Duration) plannedStop {
	s := plannedStop{host: h, log: h.log, signalled: time.Now()}
	p := h.cmd.Process
	_ = p.Signal(syscall.SIGTERM) // fails if it has exited, which its result shows
	for i, sig := range signals {
		time.AfterFunc(time.Duration(i+1)*interval, func() { _ = p.Signal(sig) })
	}
	select {
	case s.err = <-h.exited:
	case <-time.After(h.w.grace + exitTimeout):
		_ = p.Kill()
		s.err = errors.Join(errors.New("killed after the grace period"), <-h.exited)
	}
	s.exited = time.Now()
	return s
}

// call sends requests until the end of the test: on the kept connection as long as its host
// leaves it open, and to another host after a refusal.
func (k stopKind) call(w *stopWorld, r *rand.Rand, name string) {
	c := &stopCaller{w: w, name: name}
	defer c.close()
	var refusing *stopHost
	for w.ctx.Err() == nil {
		h := c.host
		if c.conn == nil {
			h = w.pick(r, refusing)
		}
		refusing = nil
		if r := c.send(h, k.work(r)); r.refused() || r.firstByte.IsZero() {
			refusing = h
			c.close()
		}
		think := maxThink
		switch {
		case k.eager && refusing != nil:
			think = eagerThink
		case r.IntN(longThinkInterval) == 0:
			think = longThink
		}
		_ = pause.For(w.ctx, between(r, 0, think))
	}
}

// pick returns a host for a new connection, as the load balancer chooses it.
func (w *stopWorld) pick(r *rand.Rand, refusing *stopHost) *stopHost {
	var ready []*stopHost
	for _, h := range w.hosts {
		if h.ready.Load() && h != refusing {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		ready = w.hosts
	}
	return ready[r.IntN(len(ready))]
}

// TestSignalRightAfterStart sends a signal to a daemon whose port has just been opened.
func TestSignalRightAfterStart(t *testing.T) {
	for name, sig := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGHUP": syscall.SIGHUP} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startStopWorld(t, stopKind{hosts: 6, grace: shortGrace})
			var wg sync.WaitGroup
			defer wg.Wait()
			for _, h := range w.hosts {
				wg.Go(func() {
					for range *stopCount {
						_ = h.cmd.Process.Kill() // fails if it has exited
						<-h.exited
						if err := h.start(); err != nil {
							t.Error(err)
							return
						}
						h.waitUntilOpen()
						if sig == syscall.SIGHUP {
							_ = h.cmd.Process.Signal(sig) // fails if it has exited, which its result shows
						}
						if s := h.stop(nil, 0); s.err != nil {
							t.Errorf("the daemon exited with %v", s.err)
						}
						if err := h.start(); err != nil {
							t.Error(err)
							return
						}
					}
				})
			}
		})
	}
}

// waitUntilOpen returns as soon as the host accepts connections.
func (h *stopHost) waitUntilOpen() {
	for h.w.ctx.Err() == nil {
		if conn, err := net.Dial("tcp", h.ip+":7100"); err == nil {
			_ = conn.Close()
			return
		}
	}
}

// TestLateBodyInPlannedStopIsNotCut sends heads before streams are refused, and bodies after.
func TestLateBodyInPlannedStopIsNotCut(t *testing.T) {
	w := startStopWorld(t, stopKind{hosts: 1, grace: longGrace})
	h := w.hosts[0]
	var wg sync.WaitGroup
	signalled := time.Now()
	for n := range 10 {
		wg.Go(func() {
			headAt := 2*time.Second + time.Duration(n)*70*time.Millisecond
			_ = pause.For(w.ctx, time.Until(signalled.Add(headAt)))
			c := &stopCaller{w: w, name: fmt.Sprint("late-", n)}
			defer c.close()
			r := c.send(h, stopWork{path: "/stream/6000/0/", bodyDelay: 3200*time.Millisecond - headAt})
			if !r.whole {
				t.Errorf("%s: the body was sent %v after SIGTERM, and the stream ended without a whole answer after %v: %v",
					r.id, r.lastByte.Sub(signalled), r.end.Sub(signalled), r.err)
			}
		})
	}
	if s := h.stop(nil, 0); s.err != nil {
		t.Errorf("the daemon exited with %v", s.err)
	}
	wg.Wait()
	for _, f := range w.judgeAll(map[string]int{}) {
		t.Error(f)
	}
}
