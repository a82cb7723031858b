package main_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"slipcrank.example/platform"
)

// entryHostSettings is the format of an entry host's settings. Its arguments are the IP
// address of the host and the grace period. Nothing serves as the platform.
const entryHostSettings = `host: host-1
hall: hall-a
listen: {callers: "%[1]s:7200", readiness: "%[1]s:7201", metrics: "%[1]s:7202", news: "%[1]s:7203", delegation: "%[1]s:7204"}
platform: "%[1]s:7209"
bounds:
  key_proof: 2s
  config: 800ms
  grace: %[2]s
  retries: {share: 0.2, extra: 100, span: 10s}
`

// newEntryHost returns an entry host that isn't started, and the path of its settings. Each
// process of the tests has addresses of its own.
func newEntryHost(t *testing.T, number int, grace time.Duration) (p *process, path string) {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 60+pid%50, pid/50%250, 1+number)
	path = filepath.Join(t.TempDir(), "local.yaml")
	if err := os.WriteFile(path, fmt.Appendf(nil, entryHostSettings, ip, grace), 0o600); err != nil {
		t.Fatal(err)
	}
	p = &process{t: t, cmd: exec.Command(filepath.Join(binDir, "slipcrankd"), "entry"), addr: ip + ":7200"}
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	return p, path
}

// startEntryHost starts an entry host, and returns it with the path of its settings. The
// process may not have opened its ports yet.
func startEntryHost(t *testing.T, number int, grace time.Duration) (p *process, path string) {
	t.Helper()
	p, path = newEntryHost(t, number, grace)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if t.Failed() {
			t.Logf("log of the host:\n%s", p.log.String())
		}
	})
	return p, path
}

// waitForPort waits until the callers' port is open.
func (p *process) waitForPort() {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		if c, err := net.Dial("tcp4", p.addr); err == nil {
			_ = c.Close()
			return
		}
	}
	p.t.Fatalf("%s is not open after %v", p.addr, waitTimeout)
}

// requireCleanExit waits until the process ends, and checks that it has stopped in order.
func (p *process) requireCleanExit() {
	p.t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			p.t.Errorf("the process exited with %v, want 0", err)
		}
	case <-time.After(waitTimeout):
		p.t.Fatalf("the process has not ended within %v", waitTimeout)
	}
	if _, group := p.log.match(regexp.MustCompile(`("msg":"daemon stopped")`)); group != nil {
		p.t.Error("the process has not logged that it stopped")
	}
}

// TestSignalRightAfterStartDoesNotKill guards against signals that are watched after the ports open.
func TestSignalRightAfterStartDoesNotKill(t *testing.T) {
	for name, tc := range map[string]struct {
		number int
		first  syscall.Signal
	}{
		"SIGTERM":              {0, syscall.SIGTERM},
		"SIGHUP, then SIGTERM": {1, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, _ := startEntryHost(t, tc.number, time.Second)
			p.waitForPort()
			p.signal(tc.first)
			if tc.first == syscall.SIGHUP {
				if _, ok := p.log.waitFor(regexp.MustCompile(`("msg":"settings read again")`)); !ok {
					t.Fatal("the settings were not reloaded")
				}
				p.signal(syscall.SIGTERM)
			}
			p.requireCleanExit()
		})
	}
}

// TestSignalsDoNotEndStopEarly guards against a stop that is cut short by a second signal.
func TestSignalsDoNotEndStopEarly(t *testing.T) {
	t.Parallel()
	const noticeTime = 2800 * time.Millisecond
	p, _ := startEntryHost(t, 2, 4*time.Second)
	p.waitForPort()
	begun := time.Now()
	p.signal(syscall.SIGTERM)
	if _, ok := p.log.waitFor(regexp.MustCompile(`("msg":"daemon draining")`)); !ok {
		t.Fatal("the stop has not begun")
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.signal(s)
	}
	p.requireCleanExit()
	if d := time.Since(begun); d < noticeTime {
		t.Errorf("the stop took %v, want at least %v", d, noticeTime)
	}
}

// TestHangingReloadDoesNotDelayStop guards against a stop that waits until settings have been read.
func TestHangingReloadDoesNotDelayStop(t *testing.T) {
	t.Parallel()
	p, path := startEntryHost(t, 3, time.Second)
	p.waitForPort()
	p.signal(syscall.SIGHUP)
	if _, ok := p.log.waitFor(regexp.MustCompile(`("msg":"settings read again")`)); !ok {
		t.Fatal("the settings were not reloaded")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil { // opening it to read blocks without a writer
		t.Fatal(err)
	}
	for range 8 {
		p.signal(syscall.SIGHUP)
	}
	p.signal(syscall.SIGTERM)
	p.requireCleanExit()
}

// TestHangupKeepsDaemonServing guards against a SIGHUP that ends the process with its streams.
func TestHangupKeepsDaemonServing(t *testing.T) {
	f := startFleet(t, 1, 1)
	const tokens = 100
	resp, err := request(f.daemons[0].addr, "/v1/completions", completionBody(tokens), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b := bufio.NewReader(resp.Body)
	readEvents(b, 5)
	f.daemons[0].signal(syscall.SIGHUP)
	if _, lastID, done := readEvents(b, -1); !done || lastID != fmt.Sprint(tokens) {
		t.Errorf("the stream ended at event %s of %d, end marker %v", lastID, tokens, done)
	}
	if !f.serves(0) {
		t.Error("the daemon does not serve after a SIGHUP")
	}
	f.daemons[0].signal(syscall.SIGTERM)
	f.daemons[0].signal(syscall.SIGHUP)
	if err := f.daemons[0].cmd.Wait(); err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
}
