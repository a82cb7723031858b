package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"slipcrank.example/platform"
)

// Ports of every host. Each host has its own loopback IP address.
const (
	callersPort = 7100
	readyPort   = 7101
	metricsPort = 7102
	newsPort    = 7103
	storePort   = 7104
	// delegationPort is where other hosts send requests that they can't serve.
	delegationPort = 7105
)

const settingsTemplate = `host: %s
hall: %s
listen: {callers: "%s:%d", readiness: "%s:%d", metrics: "%s:%d", news: "%s:%d", delegation: "%s:%d"}
platform: "%s:%d"
source: %s
bounds:
  key_proof: %s
  config: %s
  grace: %s
  retries: {share: 0.2, extra: 100, span: 10s}
`

// Bounds in the settings of the hosts.
const (
	keyProof      = 3 * time.Second
	configBound   = 2 * time.Second
	shutdownGrace = 4 * time.Second
)

// host is an entry host, with its daemon running as a process.
type host struct {
	name, ip string
	binary   string
	grace    time.Duration
	settings string
	log      *os.File
	store    *proxy // proxy in front of the platform

	mu            sync.Mutex
	cmd           *exec.Cmd
	killed        bool          // SIGKILL was sent to the process
	exited        chan struct{} // closed when the process has exited
	paused        bool
	lastDisturbed time.Time    // when the process was last signalled, was started, or exited
	disturbances  disturbances // periods in which it was not running, and signals
	outages       disturbances // periods in which it was not running, and starts
	unplanned     disturbances // periods in which it was paused, or down after a kill
	stops         []plannedStop
}

// hostOption changes a host under construction.
type hostOption func(*host)

// withGrace sets the time between SIGTERM and SIGKILL of a planned stop.
func withGrace(d time.Duration) hostOption { return func(h *host) { h.grace = d } }

// newHost writes the settings of a host and creates its log file.
func newHost(dir, binary, name, hall, ip string, opts ...hostOption) (*host, error) {
	h := &host{name: name, ip: ip, binary: binary, grace: shutdownGrace, settings: filepath.Join(dir, name+".yaml")}
	for _, o := range opts {
		o(h)
	}
	text := fmt.Sprintf(settingsTemplate, name, hall, ip, callersPort, ip, readyPort, ip, metricsPort, ip, newsPort, ip, delegationPort,
		ip, storePort, ip, keyProof, configBound, h.grace)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(dir, name+".log"))
	h.log = f
	return h, err
}

func (h *host) addr() string { return fmt.Sprintf("%s:%d", h.ip, callersPort) }

// start starts the daemon unless it is running. It first waits for the exit of a
// process that was killed.
func (h *host) start() error {
	h.mu.Lock()
	killed, exited := h.killed, h.exited
	h.mu.Unlock()
	if killed {
		<-exited
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return nil
	}
	c := exec.Command(h.binary, "entry")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settings)
	c.Stdout, c.Stderr = h.log, h.log
	// The kernel kills the daemon if this process is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited = make(chan struct{})
	h.cmd, h.killed, h.exited, h.lastDisturbed = c, false, exited, time.Now()
	h.disturbances.setActive(false)
	h.disturbances.addInstant()
	h.outages.setActive(false)
	h.outages.addInstant()
	h.unplanned.setActive(false)
	go func() {
		_ = c.Wait() // the log has the reason of the exit
		defer close(exited)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.cmd == c {
			h.cmd, h.paused, h.lastDisturbed = nil, false, time.Now()
			h.disturbances.setActive(true)
			h.outages.setActive(true)
			if n := len(h.stops); n > 0 && h.stops[n-1].exited.IsZero() {
				h.stops[n-1].exited = time.Now()
			}
		}
	}()
	return nil
}

// signal sends a signal to the host's daemon, if it is running, and records the
// disturbance.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastDisturbed = time.Now()
	if h.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		h.paused = true
		h.disturbances.setActive(true)
		h.outages.setActive(true)
		h.unplanned.setActive(true)
	case syscall.SIGCONT:
		h.paused = false
		h.disturbances.setActive(false)
		h.outages.setActive(false)
		h.unplanned.setActive(false)
	default:
		h.disturbances.addInstant()
	}
	switch n := len(h.stops); s {
	case syscall.SIGTERM:
		if n == 0 || !h.stops[n-1].exited.IsZero() {
			h.stops = append(h.stops, plannedStop{at: time.Now()})
		}
	case syscall.SIGKILL:
		stopping := n > 0 && h.stops[n-1].exited.IsZero()
		if stopping {
			h.stops[n-1].killed = true
		}
		if !stopping || time.Since(h.stops[n-1].at) < h.grace {
			h.unplanned.setActive(true)
		}
	}
	h.killed = h.killed || s == syscall.SIGKILL
	_ = h.cmd.Process.Signal(s) // fails if the process has just exited
}

// running reports whether the process is running and not paused, and the time
// since it was last disturbed.
func (h *host) running() (bool, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd != nil && !h.paused, time.Since(h.lastDisturbed)
}

// hadOutage reports whether the process was paused, not running, or started at any
// time in [from, to].
func (h *host) hadOutage(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outages.overlap(from, to)
}

// disturbedDuring reports whether the host or its proxy to the platform was
// disturbed at any time in [from, to].
func (h *host) disturbedDuring(from, to time.Time) bool {
	h.mu.Lock()
	disturbed := h.disturbances.overlap(from, to)
	h.mu.Unlock()
	return disturbed || h.store.disturbedDuring(from, to)
}
