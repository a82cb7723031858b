package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	stopDeadline = 15 * time.Second
	stopServers  = 4

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
		log      logBuffer
		cmd      *exec.Cmd
		exited   chan error // has the result of the process
	}

	// stopServer is a backend server that records its runs.
	stopServer struct {
		id     string
		faults func() (silence time.Duration, breaksOff bool)

		mu   sync.Mutex
		runs map[string][]*stopRun // by attempt
	}

	// stopRun is a run of a request on a server.
	stopRun struct {
		from, server string
		began, ended time.Time // ended is zero while it runs
		cut          bool      // by the host
		brokeOff     bool      // by the server
	}

	// stopRequest is a request of a caller.
	stopRequest struct {
		id                       string
		host                     *stopHost
		firstByte, lastByte, end time.Time // lastByte is zero if the request wasn't sent whole
		status                   int
		whole, closes            bool
		err                      error
	}
)

var stopWorlds atomic.Int64

// startStopWorld starts the platform, the servers and hosts until the end of the test.
func startStopWorld(t *testing.T, hosts int, grace time.Duration, env ...string) *stopWorld {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &stopWorld{
		t: t, ctx: ctx, store: standin.NewStore(), grace: grace,
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
	for n := range stopServers {
		s := &stopServer{id: fmt.Sprintf("server-%d", n), runs: map[string][]*stopRun{}}
		s.faults = func() (time.Duration, bool) { return 0, false }
		w.servers = append(w.servers, s)
		w.store.PutServer(backend.Server{ID: s.id, Service: stopService, Addr: w.listen(200+n, s), Hall: "hall-0", Slots: 64})
	}
	for n := range hosts {
		h := &stopHost{w: w, name: fmt.Sprintf("host-%d", n), ip: fmt.Sprintf("%s%d", w.ipPrefix, n+1), env: env}
		h.settings = filepath.Join(t.TempDir(), h.name+".yaml")
		text := fmt.Sprintf(stopSettings, h.name, h.ip, w.storeAt, grace)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	for _, h := range w.hosts {
		h.waitUntilServing()
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

// start starts the process of the host.
func (h *stopHost) start() {
	c := exec.Command(filepath.Join(binDir, "slipcrankd"), "entry")
	c.Env = append(append(os.Environ(), platform.SettingsVariable+"="+h.settings), h.env...)
	c.Stdout, c.Stderr = &h.log, &h.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		h.w.t.Fatal(err)
	}
	exited := make(chan error, 1)
	h.cmd, h.exited = c, exited
	go func() { exited <- c.Wait() }()
	h.w.t.Cleanup(func() { _ = c.Process.Kill() })
}

// waitUntilServing waits until the host answers a call.
func (h *stopHost) waitUntilServing() {
	h.w.t.Helper()
	end := time.Now().Add(waitTimeout)
	for n := 0; time.Now().Before(end); n++ {
		c := &stopCaller{w: h.w, name: fmt.Sprintf("probe-%s-%d", h.name, time.Now().UnixNano())}
		r := c.send(h, stopWork{path: "/call/1/"})
		c.close()
		if r.status == http.StatusOK && r.whole {
			return
		}
		_ = pause.For(h.w.ctx, 20*time.Millisecond)
	}
	h.w.t.Fatalf("%s doesn't serve within %v:\n%s", h.name, waitTimeout, h.log.String())
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
	for i := range all {
		for j := i; j > 0 && all[j].began.Before(all[j-1].began); j-- {
			all[j], all[j-1] = all[j-1], all[j]
		}
	}
	return all
}

// stopEvent returns the n-th event of a stream.
func stopEvent(n, size int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d %s\n\n", n, n, strings.Repeat(".", size))
}

// ServeHTTP runs a request for the time that is in its path: /KIND/MILLISECONDS/...
// A stream has an event every stopGap.
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
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	run := &stopRun{from: from, server: s.id, began: time.Now()}
	s.mu.Lock()
	s.runs[attempt] = append(s.runs[attempt], run)
	silence, breaksOff := s.faults()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.ended = time.Now()
		run.cut = !run.brokeOff && r.Context().Err() != nil
	}()
	w.Header().Set(d.Seal, s.id)
	var ms, size int
	kind := strings.Split(r.URL.Path, "/")
	_, _ = fmt.Sscanf(kind[2]+" "+kind[3], "%d %d", &ms, &size) // zero for others
	work := time.Duration(ms) * time.Millisecond
	if pause.For(r.Context(), silence) != nil {
		return
	}
	if kind[1] != "stream" {
		if pause.For(r.Context(), work) == nil {
			_, _ = io.WriteString(w, stopEvent(1, size)) // a lost connection shows in the context
		}
		return
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get(d.LastEventID), &after) // zero if it has none
	w.Header().Set("Content-Type", "text/event-stream")
	for n, last := after+1, int(work/stopGap); n <= last; n++ {
		if breaksOff && n > after+last/4+1 {
			s.mu.Lock()
			run.brokeOff = true
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, stopEvent(n, size))
		if http.NewResponseController(w).Flush() != nil || n < last && pause.For(r.Context(), stopGap) != nil {
			return
		}
	}
}

const stopGap = 50 * time.Millisecond

type (
	// stopWork is what a caller asks for, and how it sends and reads.
	stopWork struct {
		path      string        // with the kind and the time that the server needs
		bodyDelay time.Duration // from the head to the body
		readPause time.Duration // between two reads of up to readBytes
	}

	// stopCaller sends one request at a time on a connection that it keeps.
	stopCaller struct {
		w    *stopWorld
		name string
		sent int
		host *stopHost
		conn net.Conn
		in   *bufio.Reader
	}

	// slowReader pauses after each read.
	slowReader struct {
		io.Reader
		pause time.Duration
	}
)

// Read implements [io.Reader].
func (r slowReader) Read(b []byte) (int, error) {
	_ = pause.For(context.Background(), r.pause)
	return r.Reader.Read(b[:min(len(b), readBytes)])
}

const readBytes = 4 << 10

func (c *stopCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer. It returns nil if the host can't be reached.
func (c *stopCaller) send(h *stopHost, work stopWork) *stopRequest {
	if c.host != h {
		c.close()
		c.host = h
	}
	c.sent++
	r := &stopRequest{id: fmt.Sprintf("%s-%d", c.name, c.sent), host: h}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", h.ip+":7100", time.Second)
		if err != nil {
			r.err = err
			return r
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	c.exchange(r, work)
	c.w.mu.Lock()
	c.w.requests = append(c.w.requests, r)
	c.w.mu.Unlock()
	if r.err != nil || r.closes {
		c.close()
	}
	return r
}

// exchange sends a request on the caller's connection and reads the answer.
func (c *stopCaller) exchange(r *stopRequest, work stopWork) {
	d := platform.Dialect()
	body := "body of " + r.id
	_ = c.conn.SetDeadline(time.Now().Add(stopDeadline + 5*time.Second))
	defer func() { r.end = time.Now() }()
	r.firstByte = time.Now()
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		work.path, r.id, stopSite, d.AttemptID, r.id, d.Deadline, stopDeadline.Milliseconds(), len(body))
	if work.bodyDelay == 0 {
		head += body
	}
	if _, r.err = io.WriteString(c.conn, head); r.err != nil {
		return
	}
	if work.bodyDelay > 0 {
		_ = pause.For(c.w.ctx, work.bodyDelay)
		if _, r.err = io.WriteString(c.conn, body); r.err != nil {
			return
		}
	}
	r.lastByte = time.Now()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.status, r.closes = resp.StatusCode, resp.Close
	if _, r.err = io.Copy(io.Discard, slowReader{resp.Body, work.readPause}); r.err == nil {
		r.whole = true
	}
}
