// Package soak runs the daemons of entry hosts as separate processes, does to
// them and around them what the real world does, and checks the promises from
// what callers and backend servers see.
//
// Faults are drawn from a seed and overlap: processes are killed, paused,
// stopped and told to read their settings again; their ways to the platform
// and to backend servers are delayed, reset, silenced or cut one way; the
// platform refuses, is slow or loses answers; backend servers break answers
// off, lose them, leave or come back as another; keys are taken away. The
// soak ends only processes that it started.
//
// # Usage
//
//	go test ./cmd/soak                                          # one short seed
//	go test ./cmd/soak -args -soak.seeds=50 -soak.for=20s       # many, by hand
//	go test ./cmd/soak -args -soak.seed=17 -soak.keep=DIR       # one again, with its logs
//	go test ./cmd/soak -args -soak.hosts=30                      # 90 processes
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
	"slipcrank.example/platform/standin"
)

const (
	halls       = 3
	serverCount = 5
	callers     = 12
	service     = "plain"
	serverPort  = 7200
	// startTime is for all hosts to serve, recoverTime for all to do so again
	// when every fault has ended.
	startTime   = 15 * time.Second
	recoverTime = 15 * time.Second
	// faultPause is the mean time between two faults, faultTime how long one
	// lasts at most.
	faultPause = 350 * time.Millisecond
	faultTime  = 2500 * time.Millisecond
	// keySlack is for a request to get from the check of its key to a
	// server on a busy machine.
	keySlack = 500 * time.Millisecond
	// touchTime is how long hosts and their ways have to be undisturbed before they
	// owe that no server which leaves gets work.
	touchTime = 3 * time.Second
	faultPart = 0.05
)

// Options of a run.
type Options struct {
	Seed   uint64
	For    time.Duration
	Hosts  int    // in each of three halls, up to 60
	Binary string // slipcrankd
	Dir    string // for settings and logs
}

type (
	// world is one run.
	world struct {
		rnd   *rand.Rand
		base  string // of IP numbers
		store *standin.Store
		hosts []*host
		slots []*slot

		mu       sync.Mutex
		version  int64
		keys     map[string]string // in force
		revoked  map[string]time.Time
		leaving  map[string]time.Time // when servers' leaving was acknowledged
		harms    harms                // of the platform
		requests []*request
		failures []string
	}

	// slot is a place for backend servers, one after the other.
	slot struct {
		number  int
		proxy   *proxy
		backend string // its address behind the proxy

		mu     sync.Mutex
		id     string
		server *standin.Server
		all    []*standin.Server
		http   *http.Server  // nil while there is none
		ended  chan struct{} // closed once its address is free
	}
)

// Run plays one seed and returns the promises that were broken.
func Run(o Options) ([]string, error) {
	w := &world{
		rnd:     rand.New(rand.NewPCG(o.Seed, 1)),
		base:    fmt.Sprintf("127.%d.%d.", 2+os.Getpid()%200, 1+o.Seed%250),
		store:   standin.NewStore(),
		keys:    map[string]string{"key-0": "workspace-0"},
		revoked: map[string]time.Time{},
		leaving: map[string]time.Time{},
	}
	if err := w.build(o); err != nil {
		return nil, err
	}
	defer w.end()
	if err := w.serving(startTime); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.For)
	defer cancel()
	var all sync.WaitGroup
	for n := range callers {
		r := rand.New(rand.NewPCG(o.Seed, uint64(n)+2))
		all.Go(func() { w.call(ctx, r) })
	}
	all.Go(func() { w.strike(ctx) })
	all.Go(func() { w.speak(ctx, rand.New(rand.NewPCG(o.Seed, speakStream))) })
	all.Wait()
	w.calm()
	if err := w.serving(recoverTime); err != nil {
		w.fail("after all faults had ended: %v", err)
	}
	w.checkRuns()
	w.checkNotices()
	return w.failures, nil
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails(fmt.Sprintf(format, args...))
}

// fails notes a broken promise. The world is locked.
func (w *world) fails(what string) { w.failures = append(w.failures, what) }

// build starts the platform, backend servers and hosts.
func (w *world) build(o Options) error {
	storeAddr := w.base + "250:7000"
	l, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, w.store) }() // ends with the process
	w.configure()
	for n := range serverCount {
		s := &slot{number: n, backend: fmt.Sprintf("%s%d:%d", w.base, 200+n, serverPort+1)}
		if s.proxy, err = newProxy(fmt.Sprintf("%s%d:%d", w.base, 200+n, serverPort), s.backend); err != nil {
			return err
		}
		w.slots = append(w.slots, s)
		if err := w.begin(s); err != nil {
			return err
		}
	}
	for n := range halls * o.Hosts {
		h, err := newHost(o.Dir, o.Binary, fmt.Sprintf("host-%d", n), fmt.Sprintf("hall-%d", n%halls), fmt.Sprintf("%s%d", w.base, n+1))
		if err != nil {
			return err
		}
		if h.store, err = newProxy(fmt.Sprintf("%s:%d", h.ip, storePort), storeAddr); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the next configuration with the keys in force.
func (w *world) configure() {
	w.version++
	route := func(name string, k site.Kind, attempts int) site.Route {
		return site.Route{
			Name: name, Host: callerHost, Prefix: "/" + name + "/", Kind: k, Attempts: attempts, Resume: k == site.Stream,
			Timeout: deadline, Objective: 200 * time.Millisecond, Gap: 200 * time.Millisecond,
			Targets: []site.Target{{Service: service, Weight: 1}},
		}
	}
	w.store.PutConfig(w.version, []site.Route{
		route("safe", site.Repeatable, 2), route("once", site.Once, 1), route("stream", site.Stream, 2),
	}, []string{service}, w.keys)
}

// begin starts the next backend server of a slot.
func (w *world) begin(s *slot) error {
	l, err := listenAgain(context.Background(), s.backend)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = fmt.Sprintf("s%d-%d", s.number, len(s.all)+1)
	s.server = standin.NewServer(s.id, service)
	s.all = append(s.all, s.server)
	s.http = &http.Server{Handler: s.server}
	s.ended = make(chan struct{})
	go func(h *http.Server, ended chan struct{}) {
		_ = h.Serve(l) // ends with Close
		close(ended)
	}(s.http, s.ended)
	w.announce(s, false)
	return nil
}

// announce writes the entry of the slot's server. The slot is locked.
func (w *world) announce(s *slot, draining bool) {
	w.store.PutServer(backend.Server{
		ID: s.id, Service: service, Addr: s.proxy.listener.Addr().String(), Hall: "hall-0", Slots: 8, Draining: draining,
	})
}

func (w *world) anyKey(rnd *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.keys {
		if rnd.IntN(2) == 0 {
			return k
		}
	}
	for k := range w.revoked {
		return k
	}
	return "key-0"
}

// serving waits until each host answers a request.
func (w *world) serving(limit time.Duration) error {
	t := &http.Transport{}
	defer t.CloseIdleConnections()
	end := time.Now().Add(limit)
	for _, h := range w.hosts {
		for {
			r := &request{kind: "safe", key: w.liveKey(), host: h}
			r.attempt, r.token = fmt.Sprintf("p%d", serial.Add(1)), "probe"
			w.send(t, r)
			if r.status == http.StatusOK && !r.cut {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s serves nothing within %v: status %d", h.name, limit, r.status)
			}
			time.Sleep(callerPause)
		}
	}
	return nil
}

func (w *world) liveKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.keys {
		return k
	}
	return ""
}

// end stops what the run has started.
func (w *world) end() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
}

// checkRuns compares what servers ran with what callers were told.
func (w *world) checkRuns() {
	runs := map[string][]standin.Run{}
	ways := map[string]*proxy{} // by server
	for _, s := range w.slots {
		s.mu.Lock()
		for _, b := range s.all {
			for _, r := range b.Runs() {
				runs[r.Attempt] = append(runs[r.Attempt], r)
				ways[r.Server] = s.proxy
			}
		}
		s.mu.Unlock()
	}
	w.mu.Lock()
	requests, revoked := w.requests, w.revoked
	w.mu.Unlock()
	for _, q := range requests {
		rs := runs[q.attempt]
		if q.kind == "once" && len(rs) > 1 {
			w.fail("request %s, to run once, ran %d times", q.attempt, len(rs))
		}
		if q.kind == "once" && len(rs) > 0 && promises(q.status) {
			w.fail("request %s was refused with %d and has run", q.attempt, q.status)
		}
		for _, r := range rs {
			w.checkRun(q, r, revoked)
			w.checkLeaving(q, r, ways[r.Server])
		}
	}
}

func (w *world) checkRun(q *request, r standin.Run, revoked map[string]time.Time) {
	if r.Key != "" {
		w.fail("request %s: the server was shown the key", q.attempt)
	}
	if want := "workspace" + q.key[len("key"):]; r.Workspace != want {
		w.fail("request %s ran for %s, its key is of %s", q.attempt, r.Workspace, want)
	}
	if r.Token != q.token {
		w.fail("request %s ran as %s, sent as %s", q.attempt, r.Token, q.token)
	}
	if at, ok := revoked[q.key]; ok && r.At.After(at.Add(keyProof+keySlack)) {
		w.fail("request %s ran %v after its key was taken away", q.attempt, r.At.Sub(at))
	}
}

// checkLeaving looks whether a server that was leaving got work from a host that had
// been undisturbed, with its ways, for as long as it may need to hear of it.
func (w *world) checkLeaving(q *request, r standin.Run, way *proxy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, leaves := w.leaving[r.Server]
	if !leaves || !r.At.After(at.Add(configDue+keySlack)) {
		return
	}
	from := r.At.Add(-touchTime)
	if w.harms.within(from, r.At) || q.host.harmed(from, r.At) || way.harmed(from, r.At) {
		return
	}
	w.fails(fmt.Sprintf("request %s of %s ran on %s, %v after its leaving was acknowledged", q.attempt, q.host.name, r.Server, r.At.Sub(at)))
}

func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
