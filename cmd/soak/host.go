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

// Ports of every host; each has an IP number of its own.
const (
	callersPort = 7100
	readyPort   = 7101
	metricsPort = 7102
	newsPort    = 7103
	storePort   = 7104
)

const settingsText = `host: %s
hall: %s
listen: {callers: "%s:%d", readiness: "%s:%d", metrics: "%s:%d", news: "%s:%d"}
platform: "%s:%d"
bounds:
  key_proof: %s
  config: %s
  grace: %s
  retries: {share: 0.2, extra: 100, span: 10s}
`

// Bounds that the hosts are given.
const (
	keyProof  = 3 * time.Second
	configDue = 2 * time.Second
	grace     = 4 * time.Second
)

// host is one daemon, as a process.
type host struct {
	name, ip string
	binary   string
	settings string
	log      *os.File
	store    *proxy // its way to the platform

	mu     sync.Mutex
	cmd    *exec.Cmd
	killed bool          // the process has been told to end at once
	ended  chan struct{} // closed when it has ended
	paused bool
	struck time.Time // when something was last done to it
	harms  harms     // while it doesn't run, or was just told to stop
	gaps   harms     // while it doesn't run
}

// newHost writes the settings of a host.
func newHost(dir, binary, name, hall, ip string) (*host, error) {
	h := &host{name: name, ip: ip, binary: binary, settings: filepath.Join(dir, name+".yaml")}
	text := fmt.Sprintf(settingsText, name, hall, ip, callersPort, ip, readyPort, ip, metricsPort, ip, newsPort,
		ip, storePort, keyProof, configDue, grace)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(dir, name+".log"))
	h.log = f
	return h, err
}

func (h *host) addr() string { return fmt.Sprintf("%s:%d", h.ip, callersPort) }

// start runs the daemon, if it doesn't run. It waits for the end of one that was killed.
func (h *host) start() error {
	h.mu.Lock()
	killed, ended := h.killed, h.ended
	h.mu.Unlock()
	if killed {
		<-ended
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return nil
	}
	c := exec.Command(h.binary, "entry")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settings)
	c.Stdout, c.Stderr = h.log, h.log
	// A soak that is killed leaves no daemon behind.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended = make(chan struct{})
	h.cmd, h.killed, h.ended, h.struck = c, false, ended, time.Now()
	h.harms.set(false)
	h.harms.note()
	h.gaps.set(false)
	h.gaps.note()
	go func() {
		_ = c.Wait() // how it ended is in its log
		defer close(ended)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.cmd == c {
			h.cmd, h.paused, h.struck = nil, false, time.Now()
			h.harms.set(true)
			h.gaps.set(true)
		}
	}()
	return nil
}

// signal sends a signal to the process that this host started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.struck = time.Now()
	if h.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		h.paused = true
		h.harms.set(true)
		h.gaps.set(true)
	case syscall.SIGCONT:
		h.paused = false
		h.harms.set(false)
		h.gaps.set(false)
	default:
		h.harms.note()
	}
	h.killed = h.killed || s == syscall.SIGKILL
	_ = h.cmd.Process.Signal(s) // it may have ended just now
}

// running reports whether the process is there and not paused, and for how
// long nothing was done to it.
func (h *host) running() (bool, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd != nil && !h.paused, time.Since(h.struck)
}

// stoodStill reports whether the process was paused, or ended or started, at any time of
// a span.
func (h *host) stoodStill(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gaps.within(from, to)
}

// harmed reports whether something was done to the host, or to its way to the
// platform, at any time of a span.
func (h *host) harmed(from, to time.Time) bool {
	h.mu.Lock()
	own := h.harms.within(from, to)
	h.mu.Unlock()
	return own || h.store.harmed(from, to)
}
