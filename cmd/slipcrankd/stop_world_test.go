package main_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/site"
	"slipcrank.example/platform"
	"slipcrank.example/platform/standin"
)

const (
	stopSite    = "stops.example"
	stopService = "plain"
	// stopDeadline is the deadline of each request and the timeout of each route.
	stopDeadline   = 15 * time.Second
	defaultHosts   = 2
	defaultServers = 4
	// defaultSlots is the number of requests that servers are listed to run at once.
	defaultSlots = 64
	// stopGap is the pause between two events of a stream.
	stopGap = 50 * time.Millisecond
	// Every faultInterval-th run of a faulty server fails, on average.
	faultInterval = 3
	silence       = 3 * time.Second
	// minPause and maxPause bound the silence after which a server goes on by itself.
	minPause, maxPause = 1500 * time.Millisecond, 5 * time.Second

	stopSettings = `host: %[1]s
hall: hall-0
listen: {callers: "%[2]s:7100", readiness: "%[2]s:7101", metrics: "%[2]s:7102", news: "%[2]s:7103", delegation: "%[2]s:7105"}
platform: "%[3]s"
source: %[2]s
bounds: {key_proof: 5s, config: 2s, grace: %[4]s, retries: {share: 0.2, extra: 100, span: 10s}}
`
)

type (
	// stopWorld is a platform, backend servers, and hosts that are stopped.
	stopWorld struct {
		t        *testing.T
		ctx      context.Context
		cancel   context.CancelFunc
		ipPrefix string
		store    *standin.Store
		storeAt  string
		grace    time.Duration
		hosts    []*stopHost
		servers  []*stopServer

		mu       sync.Mutex
		requests []*stopRequest
	}

	// stopHost is an entry host, whose process can be started again.
	stopHost struct {
		w        *stopWorld
		name, ip string
		settings string
		env      []string
		ready    atomic.Bool // as the load balancer sees it

		logs []*logBuffer // of all processes

		// Of the process that was started last.
		log    *logBuffer
		cmd    *exec.Cmd
		exited chan error // has the result
	}

	// stopServer is a backend server that records its runs.
	stopServer struct {
		id string

		mu      sync.Mutex
		runs    map[string][]*stopRun // by attempt
		rnd     *rand.Rand            // draws the runs that fail
		faults  stopFaults
		running chan struct{} // has an element for each run, and the capacity of the room
		waiting int           // requests
	}

	// stopFaults says how servers fail, and which requests they refuse.
	stopFaults struct {
		silent bool // a third of the runs are silent at first
		broken bool // a third of the streams break off
		pauses int  // percent of the runs that are silent for a while, and then go on
		room   int  // runs at once; 0 for any number
		queue  int  // requests that wait for room; more are refused
	}

	// stopRun is a run of a request on a server.
	stopRun struct {
		from, server string
		began, ended time.Time // ended is zero while it runs
		cut          bool      // by the host
		brokeOff     bool      // by the server

		silent, breaksOff bool          // is to be silent at first, or to break off
		pause             time.Duration // a silence, 0 for none
		pauseAt           float64       // the part of the stream before it
		pauseAfterHead    bool          // a silence before the first event is one after the head
	}
)

var stopWorlds atomic.Int64

// startStopWorld starts the platform, the servers and hosts until the end of the test.
func startStopWorld(t *testing.T, k stopKind) *stopWorld {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &stopWorld{
		t: t, ctx: ctx, cancel: cancel, store: standin.NewStore(), grace: k.grace,
		ipPrefix: fmt.Sprintf("127.%d.%d.", 2+os.Getpid()%200, 1+stopWorlds.Add(1)%250),
	}
	w.storeAt = w.listen(250, w.store)
	route := func(name string, k site.Kind, attempts int) site.Route {
		return site.Route{
			Name: name, Host: stopSite, Prefix: "/" + name + "/", Kind: k, Attempts: attempts, Resume: k == site.Stream,
			Timeout: stopDeadline, Objective: 500 * time.Millisecond, Gap: 500 * time.Millisecond, Public: true,
			Targets: []site.Target{{Service: stopService, Weight: 1}},
		}
	}
	w.store.PutConfig(1, []site.Route{route("call", site.Repeatable, 2), route("once", site.Once, 1), route("stream", site.Stream, 3)},
		[]string{stopService}, map[string]string{"key": "workspace"})
	for n := range cmp.Or(k.servers, defaultServers) {
		s := &stopServer{
			id: fmt.Sprintf("server-%d", n), runs: map[string][]*stopRun{}, running: make(chan struct{}, k.faults.room),
			faults: k.faults, rnd: rand.New(rand.NewPCG(k.seed+*stopSeed, uint64(n)<<32)),
		}
		w.servers = append(w.servers, s)
		w.store.PutServer(backend.Server{ID: s.id, Service: stopService, Addr: w.listen(200+n, s), Hall: "hall-0", Slots: cmp.Or(k.slots, defaultSlots)})
	}
	for n := range cmp.Or(k.hosts, defaultHosts) {
		h := &stopHost{w: w, name: fmt.Sprintf("host-%d", n), ip: fmt.Sprintf("%s%d", w.ipPrefix, n+1), env: k.env}
		h.settings = filepath.Join(t.TempDir(), h.name+".yaml")
		text := fmt.Sprintf(stopSettings, h.name, h.ip, w.storeAt, k.grace)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			t.Fatal(err)
		}
		go h.checkReadiness()
	}
	for _, h := range w.hosts {
		if err := h.waitUntilServing(); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// listen serves an address of the world until the end of the test.
func (w *stopWorld) listen(n int, handler http.Handler) string {
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:7200", w.ipPrefix, n))
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: handler}
	go func() { _ = s.Serve(l) }() // ends with Close
	w.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// start starts the process of the host. It is killed at the end of the test.
func (h *stopHost) start() error {
	c, log := exec.Command(filepath.Join(binDir, "slipcrankd"), "entry"), &logBuffer{}
	c.Env = append(append(os.Environ(), platform.SettingsVariable+"="+h.settings), h.env...)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	h.log, h.cmd, h.exited = log, c, exited
	h.w.mu.Lock()
	h.logs = append(h.logs, log)
	h.w.mu.Unlock()
	go func() { exited <- c.Wait() }()
	context.AfterFunc(h.w.ctx, func() { _ = c.Process.Kill() }) // fails if it has exited
	return nil
}

// saveLogs writes the logs of all processes of hosts to a directory.
func (w *stopWorld) saveLogs(dir string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		for n, log := range h.logs {
			name := fmt.Sprintf("%s-%s-%d.log", filepath.Base(w.t.Name()), h.name, n)
			if err := os.WriteFile(filepath.Join(dir, name), []byte(log.String()), 0o600); err != nil {
				w.t.Error(err)
			}
		}
	}
}

// checkReadiness checks the host once per second, as the load balancer does.
func (h *stopHost) checkReadiness() {
	client := http.Client{Timeout: time.Second}
	for misses := 0; h.w.ctx.Err() == nil; _ = pause.For(h.w.ctx, time.Second) {
		resp, err := client.Get("http://" + h.ip + ":7101/readiness")
		misses++
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		h.ready.Store(misses < 2)
	}
}

// waitUntilServing waits until the host answers a call.
func (h *stopHost) waitUntilServing() error {
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		c := &stopCaller{w: h.w, name: fmt.Sprintf("probe-%s-%d", h.name, time.Now().UnixNano())}
		r := c.send(h, stopWork{path: "/call/1/0/"})
		c.close()
		if r.status == http.StatusOK && r.whole {
			return nil
		}
		_ = pause.For(h.w.ctx, 20*time.Millisecond)
	}
	return fmt.Errorf("%s doesn't serve within %v:\n%s", h.name, waitTimeout, h.log.String())
}

// runsOf returns the runs of a request in the order in which they began.
func (w *stopWorld) runsOf(id string) []stopRun {
	var all []stopRun
	for _, s := range w.servers {
		s.mu.Lock()
		for _, r := range s.runs[id] {
			all = append(all, *r)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b stopRun) int { return a.began.Compare(b.began) })
	return all
}

// stopEvent returns the n-th event of a stream.
func stopEvent(n, size int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d %s\n\n", n, n, strings.Repeat(".", size))
}

// answerOf returns the events that a request with a path gets from servers.
func answerOf(path string) string {
	kind := strings.Split(path, "/")
	ms, _ := strconv.Atoi(kind[2]) // the tests' callers send numbers
	size, _ := strconv.Atoi(kind[3])
	if kind[1] != "stream" {
		return stopEvent(1, size)
	}
	var all strings.Builder
	for n := range time.Duration(ms) * time.Millisecond / stopGap {
		all.WriteString(stopEvent(int(n)+1, size))
	}
	return all.String()
}

// admit waits until there is room for a run, and reports whether it may begin.
func (s *stopServer) admit(ctx context.Context) bool {
	s.mu.Lock()
	mayWait := s.waiting < s.faults.queue || len(s.running) < s.faults.room
	if mayWait {
		s.waiting++
	}
	s.mu.Unlock()
	if !mayWait {
		return s.faults.room == 0
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin records the beginning of a run.
func (s *stopServer) begin(attempt string, r *http.Request) *stopRun {
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	run := &stopRun{from: from, server: s.id, began: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[attempt] = append(s.runs[attempt], run)
	run.silent = s.faults.silent && s.rnd.IntN(faultInterval) == 0
	run.breaksOff = s.faults.broken && s.rnd.IntN(faultInterval) == 0
	if s.rnd.IntN(100) < s.faults.pauses {
		run.pause, run.pauseAt, run.pauseAfterHead = between(s.rnd, minPause, maxPause), s.rnd.Float64(), s.rnd.IntN(2) == 0
	}
	return run
}

// end records the end of a run.
func (s *stopServer) end(run *stopRun, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.ended = time.Now()
	run.cut = !run.brokeOff && r.Context().Err() != nil
	if s.faults.room > 0 {
		<-s.running
	}
}

// ServeHTTP runs a request as its path says, /KIND/MILLISECONDS/BYTES/...: for how long, with
// events of what size. A stream has an event every stopGap.
func (s *stopServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := platform.Dialect()
	attempt := r.Header.Get(d.AttemptID)
	w.Header().Set(d.AttemptID, attempt)
	if want := r.Header.Get(d.ExpectInstance); want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.admit(r.Context()) {
		w.Header().Set(d.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := s.begin(attempt, r)
	defer s.end(run, r)
	w.Header().Set(d.Seal, s.id)
	if run.silent && pause.For(r.Context(), silence) != nil {
		return
	}
	kind := strings.Split(r.URL.Path, "/")
	if kind[1] == "stream" {
		s.stream(w, r, run)
		return
	}
	ms, _ := strconv.Atoi(kind[2])
	if pause.For(r.Context(), run.pause+time.Duration(ms)*time.Millisecond) == nil {
		_, _ = io.WriteString(w, answerOf(r.URL.Path)) // a lost connection shows in the context
	}
}

// stream answers with the events of a stream that the caller hasn't got.
func (s *stopServer) stream(w http.ResponseWriter, r *http.Request, run *stopRun) {
	after, _ := strconv.Atoi(r.Header.Get(platform.Dialect().LastEventID)) // zero if it has none
	events := strings.SplitAfter(answerOf(r.URL.Path), "\n\n")
	last := len(events) - 1 // what follows the last event is empty
	pauseAt := after + 1 + int(run.pauseAt*float64(max(last-after, 0)))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= last; n++ {
		if run.pause > 0 && n == pauseAt {
			if run.pauseAfterHead {
				_ = http.NewResponseController(w).Flush() // a lost connection shows in the context
			}
			if pause.For(r.Context(), run.pause) != nil {
				return
			}
		}
		if run.breaksOff && n > after+last/4+1 {
			s.mu.Lock()
			run.brokeOff = true
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, events[n-1])
		if http.NewResponseController(w).Flush() != nil || n < last && pause.For(r.Context(), stopGap) != nil {
			return
		}
	}
}
