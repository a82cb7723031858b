package main_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"slipcrank.example/clients/hosts"
	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/template"
)

const (
	waitTimeout   = 60 * time.Second
	operatorToken = "process-test"
)

var binDir string

// TestMain builds the binaries of the client and the daemon once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "slipcrank")
	if err != nil {
		panic(err)
	}
	out, err := exec.Command("go", "build", "-o", dir, "slipcrank.example/cmd/slipcrank", "slipcrank.example/cmd/slipcrankd").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running client or daemon.
type process struct {
	t             *testing.T
	cmd           *exec.Cmd
	addr          string // address of a stand-in, or callers' address of a daemon
	operatorsAddr string // operators' address of a daemon
	peerAddr      string // address of a daemon for other daemons
	log           logBuffer
}

// startProcess starts a binary until the end of the test. Stand-ins, which are
// subcommands of slipcrank, print their address as the first line.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(filepath.Join(binDir, name), args...)}
	p.cmd.Stderr = &p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if t.Failed() {
			t.Logf("log of %s %v:\n%s", name, args, p.log.String())
		}
	})
	if name == "slipcrank" {
		line, err := bufio.NewReader(out).ReadString('\n')
		if err != nil {
			t.Fatalf("%s %v: %v", name, args, err)
		}
		p.addr = strings.TrimSpace(line)
	}
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v: %v", s, err)
	}
}

func startStandin(t *testing.T, kind string, flags ...string) *process {
	t.Helper()
	return startProcess(t, "slipcrank", append(append([]string{"standin"}, flags...), kind)...)
}

func startDaemon(t *testing.T, hall, platform string) *process {
	t.Helper()
	return startDaemonWith(t, hall, platform, "")
}

// startDaemonWith starts a daemon with extra lines of settings. The daemon listens
// on ports that the system chooses and that it logs, since a port chosen by the
// test could be taken by another process before the daemon opens it.
func startDaemonWith(t *testing.T, hall, platform, extra string) *process {
	t.Helper()
	digest := sha256.Sum256([]byte(operatorToken))
	yaml := fmt.Sprintf("hall: %s\nplatform: %s\noperator_token_sha256: %s\nlisten:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  operators: 127.0.0.1:0\nperiods:\n  lease: 2s\ndrain:\n  notice: 200ms\n%s",
		hall, platform, hex.EncodeToString(digest[:]), extra)
	path := filepath.Join(t.TempDir(), "slipcrankd.yaml")
	if err := os.WriteFile(path, []byte(yaml), 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, "slipcrankd", "--settings", path)
	p.addr, p.operatorsAddr, p.peerAddr = p.loggedAddr("callers"), p.loggedAddr("operators"), p.loggedAddr("peers")
	return p
}

// loggedAddr waits for the daemon's ready event and returns its value for a key.
func (p *process) loggedAddr(key string) string {
	p.t.Helper()
	v, ok := p.log.waitFor(regexp.MustCompile(`"SC1101 daemon ready".* ` + key + `="([^"]+)"`))
	if !ok {
		p.t.Fatalf("the daemon did not log that it is ready within %v", waitTimeout)
	}
	return v
}

// fleet is a small fleet of separate processes.
type fleet struct {
	t                *testing.T
	platform, runner *process
	engines, daemons []*process
}

func startFleet(t *testing.T, daemons, engines int, runnerFlags ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: startStandin(t, "platform"), runner: startStandin(t, "runner", runnerFlags...)}
	list := []hosts.Host{{Addr: f.runner.addr, Hall: "leon", Role: hosts.Service, Service: "vouchers"}}
	for range engines {
		e := startStandin(t, "engine")
		f.engines = append(f.engines, e)
		list = append(list, hosts.Host{Addr: e.addr, Hall: "leon", Role: hosts.Engine, ChecksFence: true})
	}
	for range daemons {
		d := startDaemon(t, "leon", f.platform.addr)
		f.daemons = append(f.daemons, d)
		list = append(list, hosts.Host{Addr: d.peerAddr, Hall: "leon", Role: hosts.Entry})
	}
	f.control(f.platform, "/control/hosts", map[string]any{"hosts": list}, nil)
	f.eventually("a daemon answers operators", func() bool { return f.apply(devel.Templates()[0]) == nil })
	f.eventually("all daemons serve", func() bool {
		for _, d := range f.daemons {
			if s, _ := f.complete(d, 2, ""); s != http.StatusOK {
				return false
			}
		}
		return true
	})
	return f
}

// eventually waits until ok is true, and ends the test after waitTimeout. condition
// describes what is waited for.
func (f *fleet) eventually(condition string, ok func() bool) {
	f.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(waitTimeout)
	for !ok() {
		select {
		case <-ticker.C:
		case <-timeout:
			f.t.Fatalf("not within %v: %s", waitTimeout, condition)
		}
	}
}

// control posts in as JSON to a control endpoint of a stand-in and decodes the
// answer into out, unless out is nil.
func (f *fleet) control(p *process, path string, in, out any) {
	f.t.Helper()
	b, err := json.Marshal(in)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.Post("http://"+p.addr+path, "application/json", bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if out == nil {
		return
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		f.t.Fatal(err)
	}
}

// apply applies a template through daemon 0 with the operators' client.
func (f *fleet) apply(t template.Template) error {
	b, err := t.YAML()
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(binDir, "slipcrank"), "template", "--addr", f.daemons[0].operatorsAddr, "apply", "-")
	c.Env = append(os.Environ(), "SLIPCRANK_TOKEN="+operatorToken)
	c.Stdin = bytes.NewReader(b)
	return c.Run()
}

// request posts a request to a daemon as a workspace.
func request(addr, path, body string, header map[string]string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+devel.Credential("till"))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return http.DefaultClient.Do(r)
}

func completionBody(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"one two three","max_tokens":%d,"stream":true}`, devel.Model, tokens)
}

// complete returns the status and the text of a streamed completion that resumes
// after the event lastID. The text is "" if the end marker is missing.
func (f *fleet) complete(d *process, tokens int, lastID string) (int, string) {
	resp, err := request(d.addr, "/v1/completions", completionBody(tokens), map[string]string{"Last-Event-ID": lastID})
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _, done := readEvents(bufio.NewReader(resp.Body), -1)
	if !done {
		return resp.StatusCode, ""
	}
	return resp.StatusCode, text
}

// readEvents reads events until the end of the stream or, if maxTokens is not
// negative, until it has read that many tokens. It returns their text, the ID of
// the last event, and whether the end marker was read.
func readEvents(b *bufio.Reader, maxTokens int) (text, lastID string, done bool) {
	for n := 0; maxTokens < 0 || n < maxTokens; {
		line, err := b.ReadString('\n')
		if err != nil {
			return text, lastID, done
		}
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 && c.Choices[0].Text != "" {
			text += c.Choices[0].Text
			n++
		}
	}
	return text, lastID, done
}

// TestStreamOfKilledEngineIsComplete kills an engine in the middle of a stream. The
// caller must get each token exactly once.
func TestStreamOfKilledEngineIsComplete(t *testing.T) {
	f := startFleet(t, 2, 3)
	const tokens = 200
	_, want := f.complete(f.daemons[0], tokens, "")
	resp, err := request(f.daemons[0].addr, "/v1/completions", completionBody(tokens), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b := bufio.NewReader(resp.Body)
	head, _, _ := readEvents(b, 20)
	f.streamingEngine().signal(syscall.SIGKILL)
	tail, _, done := readEvents(b, -1)
	if !done || head+tail != want {
		t.Errorf("after the engine was killed, the answer has %d characters and end marker %v, want %d characters",
			len(head+tail), done, len(want))
	}
}

// busiest returns the engine that is running a stream.
func (f *fleet) streamingEngine() *process {
	f.t.Helper()
	for _, e := range f.engines {
		resp, err := http.Get("http://" + e.addr + "/engine/holdings")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if bytes.Contains(b, []byte(`"stream"`)) {
			return e
		}
	}
	f.t.Fatal("no engine runs a stream")
	return nil
}

// TestStreamOfKilledDaemonResumesAtOtherDaemon kills a daemon in the middle of a
// stream. Its caller resumes the stream at the other daemon, whose own stream must
// be unaffected.
func TestStreamOfKilledDaemonResumesAtOtherDaemon(t *testing.T) {
	f := startFleet(t, 2, 2)
	const tokens = 150
	_, want := f.complete(f.daemons[1], tokens, "")
	var streams [2]*bufio.Reader
	for i := range streams {
		resp, err := request(f.daemons[i].addr, "/v1/completions", completionBody(tokens), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		streams[i] = bufio.NewReader(resp.Body)
	}
	head, lastID, _ := readEvents(streams[0], 10)
	f.daemons[0].signal(syscall.SIGKILL)
	more, moreID, done := readEvents(streams[0], -1)
	if done {
		t.Error("the stream of the killed daemon ended with the end marker")
	}
	if moreID != "" {
		head, lastID = head+more, moreID
	}
	if other, _, done := readEvents(streams[1], -1); !done || other != want {
		t.Errorf("the other daemon's stream has end marker %v and %d characters, want %d", done, len(other), len(want))
	}
	if _, tail := f.complete(f.daemons[1], tokens, lastID); head+tail != want {
		t.Errorf("resumed after event %s, the answer has %d characters, want %d", lastID, len(head+tail), len(want))
	}
}

func TestTerminatedDaemonCompletesItsStreamsAndExits(t *testing.T) {
	f := startFleet(t, 1, 1)
	const tokens = 100
	resp, err := request(f.daemons[0].addr, "/v1/completions", completionBody(tokens), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b := bufio.NewReader(resp.Body)
	readEvents(b, 5)
	f.daemons[0].signal(syscall.SIGTERM)
	if _, lastID, done := readEvents(b, -1); !done || lastID != fmt.Sprint(tokens) {
		t.Errorf("the stream ended at event %s of %d, end marker %v", lastID, tokens, done)
	}
	if err := f.daemons[0].cmd.Wait(); err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
}

// TestDaemonFrozenPastTheDeadlineDoesNotSend freezes a daemon while it handles an
// unrepeatable call, until the deadline of the call has passed.
func TestDaemonFrozenPastTheDeadlineDoesNotSend(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.control(f.platform, "/control/fault", map[string]any{"delay": time.Second}, nil)
	key := uuid.Must(uuid.NewV7()).String()
	answered := make(chan string, 1)
	go func() {
		resp, err := request(f.daemons[0].addr, "/v1/services/issue", "{}",
			map[string]string{"Idempotency-Key": key, "X-Deadline-Ms": "1500"})
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		answered <- string(b)
	}()
	// The write of the claim takes one second. Whatever stage the call has reached
	// when the daemon freezes, it must not be sent after its deadline.
	<-time.After(300 * time.Millisecond)
	f.daemons[0].signal(syscall.SIGSTOP)
	<-time.After(2500 * time.Millisecond)
	f.daemons[0].signal(syscall.SIGCONT)
	got := <-answered
	var c struct {
		Counts map[string]int `json:"counts"`
	}
	f.control(f.runner, "/control/counts", nil, &c)
	if c.Counts[key] != 0 {
		t.Errorf("the call ran %d times after its deadline", c.Counts[key])
	}
	if !strings.Contains(got, `"not_run"`) && !strings.Contains(got, `"undecided"`) {
		t.Errorf("the caller got %s", got)
	}
}
