// Package soak is a fault-injection test. It runs the daemons of entry hosts as
// separate processes, injects faults into them and their environment, and
// checks the daemons' guarantees against the observations of callers and
// backend servers.
//
// Faults are drawn from a seed and may overlap:
//
//   - Daemons are killed, paused, stopped, and signalled to reload their settings.
//   - Connections to the platform and to backend servers are delayed, reset,
//     blocked, or blocked in one direction.
//   - The platform refuses requests, is slow, or loses answers.
//   - Backend servers truncate or lose answers, leave, or are replaced by
//     another server at the same address, which is cold at first.
//   - Data halls are evacuated.
//   - Hosts are cut off from all backend servers.
//   - Keys are revoked.
//
// Runs of planned stops have fewer of these faults. In them, hosts are stopped and restarted one
// after the other, with overlap and further signals, while some callers send streams that last
// seconds.
//
// Only processes that were started by this package are ended.
//
// # Usage
//
//	go test ./cmd/soak                                          # one short seed
//	go test ./cmd/soak -args -soak.seeds=50 -soak.for=20s       # many seeds, run by hand
//	go test ./cmd/soak -args -soak.seed=17 -soak.keep=DIR       # one seed, keeping its logs
//	go test ./cmd/soak -args -soak.hosts=30                     # 90 processes
//	go test ./cmd/soak -run PlannedStops -args -soak.seeds=50   # planned stops, run by hand
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
	"slipcrank.example/platform/standin"
)

const (
	hallCount   = 3
	serverCount = 5
	callerCount = 12
	service     = "plain"
	serverPort  = 7200
	// startTimeout is the time within which all hosts must serve after the start,
	// recoveryTimeout the time within which they must serve again after all
	// faults have ended.
	startTimeout    = 15 * time.Second
	recoveryTimeout = 15 * time.Second
	// meanFaultInterval is the mean time between two faults. maxFaultTime is the
	// upper bound of the duration that is drawn for a fault; some faults last a
	// multiple of it.
	meanFaultInterval = 350 * time.Millisecond
	maxFaultTime      = 2500 * time.Millisecond
	// dispatchSlack is the time that a request may take from the check of its key
	// until it reaches a server, under load.
	dispatchSlack = 500 * time.Millisecond
	// undisturbedTime is the time for which a host, the platform and the proxies in
	// between must have been undisturbed before the host is required to send
	// nothing to leaving servers.
	undisturbedTime = 3 * time.Second
	// Every unframedInterval-th stream of a server ends with its connection, and every
	// oldCallerInterval-th request is sent over HTTP/1.0.
	unframedInterval  = 2
	oldCallerInterval = 4
	answerFaultRate   = 0.3 // share of answers that are lost or truncated while a fault lasts
)

// Options configures a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int    // number of hosts in each of three halls, up to 60
	Binary   string // path of slipcrankd
	Dir      string // directory for settings and logs
	// Stops has hosts stopped as planned one after the other, with callers whose requests last
	// seconds, and other faults less often.
	Stops bool
}

type (
	// world is the environment of one run, with all that was observed in it.
	world struct {
		rnd      *rand.Rand
		ipPrefix string // first three octets of all IP addresses, with the dot
		store    *standin.Store
		hosts    []*host
		slots    []*serverSlot
		cuts     *cuts
		// plannedStops says that hosts are stopped as planned all the time.
		plannedStops bool
		// faultInterval is the mean time between two faults, noticeInterval between two notices
		// of servers.
		faultInterval, noticeInterval time.Duration

		mu           sync.Mutex
		version      int64
		validKeys    map[string]string // workspace by key
		revokedAt    map[string]time.Time
		leavingSince map[string]time.Time // by server, when the platform acknowledged that it leaves
		evacuations  []evacuation
		disturbances disturbances // of the platform
		requests     []*request
		failures     []string
	}

	// serverSlot is an address at which backend servers run one after the other.
	serverSlot struct {
		number     int
		proxy      *proxy
		serverAddr string // address of the server behind the proxy

		mu         sync.Mutex
		serverID   string
		server     *standin.Server
		servers    []*standin.Server
		startTimes []time.Time   // of the servers
		closings   disturbances  // when servers were stopped
		httpServer *http.Server  // nil while no server runs
		closed     chan struct{} // closed once the server's listener is closed
	}
)

// runCount counts the runs of this process. Listeners of earlier ones may still be open, so
// each run has addresses of its own.
var runCount atomic.Int64

// Run runs the faults of one seed and returns a message for each violated
// guarantee. The error reports that the environment could not be started.
func Run(opts Options) ([]string, error) {
	w := &world{
		rnd:          rand.New(rand.NewPCG(opts.Seed, 1)),
		ipPrefix:     nextIPPrefix(),
		store:        standin.NewStore(),
		plannedStops: opts.Stops,

		faultInterval:  meanFaultInterval,
		noticeInterval: meanNoticeInterval,
		cuts:           newCuts(),
		validKeys:      map[string]string{"key-0": "workspace-0"},
		revokedAt:      map[string]time.Time{},
		leavingSince:   map[string]time.Time{},
	}
	if opts.Stops {
		w.faultInterval = calmFactor * meanFaultInterval
	}
	if opts.Stops && opts.Seed%2 == 0 {
		w.noticeInterval = calmFactor * meanNoticeInterval
	}
	if err := w.start(opts); err != nil {
		return nil, err
	}
	defer w.killHosts()
	if err := w.waitUntilServing(startTimeout); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), opts.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for n := range callerCount {
		rnd := rand.New(rand.NewPCG(opts.Seed, uint64(n)+2))
		wg.Go(func() { w.runCaller(ctx, rnd) })
	}
	if opts.Stops {
		wg.Go(func() { w.injectStops(ctx, rand.New(rand.NewPCG(opts.Seed, stopStream))) })
		for n := range min(slowCallersPerHost*len(w.hosts), maxSlowCallers) {
			rnd := rand.New(rand.NewPCG(opts.Seed, stopStream+1+uint64(n)))
			wg.Go(func() { w.runSlowCaller(ctx, rnd) })
		}
	}
	wg.Go(func() { w.injectFaults(ctx) })
	wg.Go(func() { w.injectNotices(ctx, rand.New(rand.NewPCG(opts.Seed, noticeStream))) })
	wg.Go(func() { w.injectEvacuations(ctx, rand.New(rand.NewPCG(opts.Seed, evacuationStream))) })
	wg.Wait()
	w.endFaults()
	if err := w.waitUntilServing(recoveryTimeout); err != nil {
		w.failf("after the end of all faults: %v", err)
	}
	w.checkRuns()
	w.checkNotices()
	w.checkCuts()
	w.checkStops()
	return w.failures, nil
}

// nextIPPrefix returns the first three numbers of IP addresses that no other run of this
// process uses, nor most other processes.
func nextIPPrefix() string {
	return fmt.Sprintf("127.%d.%d.", 2+os.Getpid()%200, 1+runCount.Add(1)%250)
}

func (w *world) failf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addFailure(fmt.Sprintf(format, args...))
}

// addFailure records a violated guarantee. The caller holds w.mu.
func (w *world) addFailure(message string) { w.failures = append(w.failures, message) }

// start starts the platform, the backend servers and the hosts.
func (w *world) start(opts Options) error {
	storeAddr := w.ipPrefix + "250:7000"
	l, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, w.store) }() // serves until the process exits
	w.store.SetCold(coldRate, coldTime)
	w.putConfig()
	for n := range serverCount {
		s := &serverSlot{number: n, serverAddr: fmt.Sprintf("%s%d:%d", w.ipPrefix, 200+n, serverPort+1)}
		if s.proxy, err = newProxy(fmt.Sprintf("%s%d:%d", w.ipPrefix, 200+n, serverPort), s.serverAddr, w.cuts); err != nil {
			return err
		}
		w.slots = append(w.slots, s)
		if err := w.startServer(s); err != nil {
			return err
		}
	}
	for n := range hallCount * opts.Hosts {
		h, err := newHost(opts.Dir, opts.Binary, fmt.Sprintf("host-%d", n), fmt.Sprintf("hall-%d", n%hallCount), fmt.Sprintf("%s%d", w.ipPrefix, n+1), w.hostOptions()...)
		if err != nil {
			return err
		}
		if h.store, err = newProxy(fmt.Sprintf("%s:%d", h.ip, storePort), storeAddr, nil); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// putConfig writes the next version of the configuration, with the valid keys.
func (w *world) putConfig() {
	w.version++
	route := func(name string, k site.Kind, attempts int) site.Route {
		return site.Route{
			Name: name, Host: siteHost, Prefix: "/" + name + "/", Kind: k, Attempts: attempts, Resume: k == site.Stream,
			Timeout: requestDeadline, Objective: 200 * time.Millisecond, Gap: 200 * time.Millisecond,
			Targets: []site.Target{{Service: service, Weight: 1}},
		}
	}
	routes := []site.Route{route("safe", site.Repeatable, 2), route("once", site.Once, 1), route("stream", site.Stream, 2)}
	if w.plannedStops {
		slow := route(slowKind, site.Stream, 2)
		slow.Name, slow.Timeout, slow.Gap = "slow", slowDeadline, maxEventGap
		routes = append(routes, slow)
	}
	w.store.PutConfig(w.version, routes, []string{service}, w.validKeys)
}

// startServer starts the next backend server of a slot.
func (w *world) startServer(s *serverSlot) error {
	l, err := listenWhenFree(context.Background(), s.serverAddr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverID = fmt.Sprintf("s%d-%d", s.number, len(s.servers)+1)
	s.server = standin.NewServer(s.serverID, service)
	streams := 0
	s.server.SetUnframed(func() bool {
		streams++
		return streams%unframedInterval == 0
	})
	s.servers, s.startTimes = append(s.servers, s.server), append(s.startTimes, time.Now())
	s.httpServer = &http.Server{Handler: s.server}
	s.closed = make(chan struct{})
	go func(h *http.Server, ended chan struct{}) {
		_ = h.Serve(l) // returns after Close
		close(ended)
	}(s.httpServer, s.closed)
	w.putServerEntry(s, false)
	return nil
}

// putServerEntry writes the platform's entry for the slot's server. The caller
// holds s.mu.
func (w *world) putServerEntry(s *serverSlot, draining bool) {
	b := backend.Server{
		ID: s.serverID, Service: service, Addr: s.proxy.listener.Addr().String(), Hall: s.hall(), Slots: 8, Draining: draining,
	}
	if len(s.servers) > 1 {
		b.ColdLeft = max(coldTime-time.Since(s.startTimes[len(s.servers)-1]), 0)
	}
	w.store.PutServer(b)
}

// hall returns the data hall of the slot's servers.
func (s *serverSlot) hall() string { return fmt.Sprintf("hall-%d", s.number%hallCount) }

// randomKey returns a valid key or a revoked one.
func (w *world) randomKey(rnd *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.validKeys {
		if rnd.IntN(2) == 0 {
			return k
		}
	}
	for k := range w.revokedAt {
		return k
	}
	return "key-0"
}

// waitUntilServing waits until each host has answered a request with success.
func (w *world) waitUntilServing(timeout time.Duration) error {
	t := &http.Transport{}
	defer t.CloseIdleConnections()
	end := time.Now().Add(timeout)
	for _, h := range w.hosts {
		for {
			r := &request{kind: "safe", key: w.validKey(), host: h}
			r.attempt, r.token = fmt.Sprintf("p%d", lastAttempt.Add(1)), "probe"
			w.send(t, r, false)
			if r.status == http.StatusOK && !r.incomplete {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s did not serve a request within %v: last status %d", h.name, timeout, r.status)
			}
			time.Sleep(callerInterval)
		}
	}
	return nil
}

func (w *world) validKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.validKeys {
		return k
	}
	return ""
}

// killHosts kills the daemons, paused ones included.
func (w *world) killHosts() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
}

// allRuns returns what servers ran by attempt, in the order of the arrivals, and the slot of each
// server.
func (w *world) allRuns() (map[string][]standin.Run, map[string]*serverSlot) {
	runs := map[string][]standin.Run{}
	slots := map[string]*serverSlot{}
	for _, s := range w.slots {
		s.mu.Lock()
		for _, server := range s.servers {
			for _, run := range server.Runs() {
				runs[run.Attempt] = append(runs[run.Attempt], run)
				slots[run.Server] = s
			}
		}
		s.mu.Unlock()
	}
	for _, rs := range runs {
		slices.SortFunc(rs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	}
	return runs, slots
}

// checkRuns compares the requests that servers ran with the answers that callers
// got.
func (w *world) checkRuns() {
	runs, slots := w.allRuns()
	w.mu.Lock()
	requests, revokedAt := w.requests, w.revokedAt
	w.mu.Unlock()
	for _, req := range requests {
		reqRuns := runs[req.attempt]
		if req.kind == "once" && len(reqRuns) > 1 {
			w.failf("request %s, which may run only once, ran %d times", req.attempt, len(reqRuns))
		}
		if req.kind == "once" && len(reqRuns) > 0 && claimsNotRun(req.status) {
			w.failf("request %s was refused with status %d but ran", req.attempt, req.status)
		}
		for _, run := range reqRuns {
			w.checkRun(req, run, revokedAt)
			w.checkLeavingServer(req, run, slots[run.Server].proxy)
			w.checkEvacuation(req, run, slots[run.Server])
		}
	}
}

func (w *world) checkRun(req *request, run standin.Run, revokedAt map[string]time.Time) {
	if run.Key != "" {
		w.failf("request %s: the key was forwarded to the server", req.attempt)
	}
	if want := "workspace" + req.key[len("key"):]; run.Workspace != want {
		w.failf("request %s ran for %s, but its key belongs to %s", req.attempt, run.Workspace, want)
	}
	if run.Token != req.token {
		w.failf("request %s ran with token %s, but was sent with %s", req.attempt, run.Token, req.token)
	}
	if revoked, ok := revokedAt[req.key]; ok && run.At.After(revoked.Add(keyProof+dispatchSlack)) {
		w.failf("request %s ran %v after its key was revoked", req.attempt, run.At.Sub(revoked))
	}
}

// checkLeavingServer checks that a server got no request later than allowed
// after the platform had acknowledged that it leaves. Runs are skipped if the
// platform, the host or the proxy of the server was disturbed within the
// undisturbedTime before, since the host may then not have received the entry.
func (w *world) checkLeavingServer(req *request, run standin.Run, p *proxy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since, leaving := w.leavingSince[run.Server]
	if !leaving || !run.At.After(since.Add(configBound+dispatchSlack)) {
		return
	}
	if w.disturbedBefore(req, run, p) {
		return
	}
	w.addFailure(fmt.Sprintf("request %s of %s ran on %s, %v after the platform acknowledged that this server leaves", req.attempt, req.host.name, run.Server, run.At.Sub(since)))
}

// disturbedBefore reports whether the platform, the host that received a request, the host
// that sent it to the server or the proxy of the server was disturbed within the
// undisturbedTime before a run. The caller holds w.mu.
func (w *world) disturbedBefore(req *request, run standin.Run, p *proxy) bool {
	from := run.At.Add(-undisturbedTime)
	sender := w.hostAt(p.clientOf(run.From, run.At))
	return w.disturbances.overlap(from, run.At) || req.host.disturbedDuring(from, run.At) || p.disturbedDuring(from, run.At) ||
		sender != nil && sender != req.host && sender.disturbedDuring(from, run.At)
}

// hostAt returns the host with an IP address, or nil.
func (w *world) hostAt(ip string) *host {
	for _, h := range w.hosts {
		if h.ip == ip {
			return h
		}
	}
	return nil
}

// claimsNotRun reports whether a status guarantees that the request was not run.
func claimsNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}
