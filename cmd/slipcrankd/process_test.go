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
	patience = 60 * time.Second
	token    = "process-test"
)

var binaries string

// TestMain builds the two binaries once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "slipcrank")
	if err != nil {
		panic(err)
	}
	out, err := exec.Command("go", "build", "-o", dir, "slipcrank.example/cmd/slipcrank", "slipcrank.example/cmd/slipcrankd").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running program of ours.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	addr string // of a stand-in, or for callers of a daemon
	ops  string // operators' address of a daemon
	peer string // by which other daemons know it
	log  logBuffer
}

func run(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(filepath.Join(binaries, name), args...)}
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
			t.Logf("%s %v wrote:\n%s", name, args, p.log.String())
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

func standin(t *testing.T, kind string, flags ...string) *process {
	t.Helper()
	return run(t, "slipcrank", append(append([]string{"standin"}, flags...), kind)...)
}

func daemon(t *testing.T, hall, platform string) *process {
	t.Helper()
	return daemonWith(t, hall, platform, "")
}

// daemonWith starts a daemon with more lines of settings. It listens on ports
// that the system chooses, and tells them in its log: a port that a test had
// chosen could be taken before the daemon opens it.
func daemonWith(t *testing.T, hall, platform, more string) *process {
	t.Helper()
	d := sha256.Sum256([]byte(token))
	text := fmt.Sprintf("hall: %s\nplatform: %s\noperator_token_sha256: %s\nlisten:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  operators: 127.0.0.1:0\nperiods:\n  lease: 2s\ndrain:\n  notice: 200ms\n%s",
		hall, platform, hex.EncodeToString(d[:]), more)
	path := filepath.Join(t.TempDir(), "slipcrankd.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := run(t, "slipcrankd", "--settings", path)
	p.addr, p.ops, p.peer = p.logged("callers"), p.logged("operators"), p.logged("peers")
	return p
}

// logged returns what a daemon's line that it is ready says under a key.
func (p *process) logged(key string) string {
	p.t.Helper()
	v, ok := p.log.find(regexp.MustCompile(`"SC1101 daemon ready".* ` + key + `="([^"]+)"`))
	if !ok {
		p.t.Fatalf("not within %v: the daemon says that it is ready", patience)
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
	f := &fleet{t: t, platform: standin(t, "platform"), runner: standin(t, "runner", runnerFlags...)}
	list := []hosts.Host{{Addr: f.runner.addr, Hall: "leon", Role: hosts.Service, Service: "vouchers"}}
	for range engines {
		e := standin(t, "engine")
		f.engines = append(f.engines, e)
		list = append(list, hosts.Host{Addr: e.addr, Hall: "leon", Role: hosts.Engine, ChecksFence: true})
	}
	for range daemons {
		d := daemon(t, "leon", f.platform.addr)
		f.daemons = append(f.daemons, d)
		list = append(list, hosts.Host{Addr: d.peer, Hall: "leon", Role: hosts.Entry})
	}
	f.must(f.platform, "/control/hosts", map[string]any{"hosts": list}, nil)
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

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	limit := time.After(patience)
	for !ok() {
		select {
		case <-tick.C:
		case <-limit:
			f.t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (f *fleet) must(p *process, path string, in, out any) {
	f.t.Helper()
	b, err := json.Marshal(in)
	if err != nil {
		f.t.Fatal(err)
	}
	a, err := http.Post("http://"+p.addr+path, "application/json", bytes.NewReader(b))
	if err != nil {
		f.t.Fatal(err)
	}
	defer a.Body.Close()
	if out == nil {
		return
	}
	if err := json.NewDecoder(a.Body).Decode(out); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) apply(t template.Template) error {
	b, err := t.YAML()
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(binaries, "slipcrank"), "template", "--addr", f.daemons[0].ops, "apply", "-")
	c.Env = append(os.Environ(), "SLIPCRANK_TOKEN="+token)
	c.Stdin = bytes.NewReader(b)
	return c.Run()
}

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

func body(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"one two three","max_tokens":%d,"stream":true}`, devel.Model, tokens)
}

// complete returns the status and the text of a streamed completion from after
// the event with id last. The text is "" unless the end marker came.
func (f *fleet) complete(d *process, tokens int, last string) (int, string) {
	a, err := request(d.addr, "/v1/completions", body(tokens), map[string]string{"Last-Event-ID": last})
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	text, _, done := read(bufio.NewReader(a.Body), -1)
	if !done {
		return a.StatusCode, ""
	}
	return a.StatusCode, text
}

// read reads events until the end, or until it has seen most tokens. It
// returns their text, the id of the last, and whether the end marker came.
func read(b *bufio.Reader, most int) (text, last string, done bool) {
	for n := 0; most < 0 || n < most; {
		line, err := b.ReadString('\n')
		if err != nil {
			return text, last, done
		}
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last = id
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
	return text, last, done
}

func TestKilledEngineLosesNoTokenAndDoublesNone(t *testing.T) {
	f := startFleet(t, 2, 3)
	const tokens = 200
	_, want := f.complete(f.daemons[0], tokens, "")
	a, err := request(f.daemons[0].addr, "/v1/completions", body(tokens), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b := bufio.NewReader(a.Body)
	begun, _, _ := read(b, 20)
	f.busiest().signal(syscall.SIGKILL)
	rest, _, done := read(b, -1)
	if !done || begun+rest != want {
		t.Errorf("after the kill the answer has %d characters and end marker %v, want %d characters",
			len(begun+rest), done, len(want))
	}
}

// busiest returns the engine that is running a stream.
func (f *fleet) busiest() *process {
	f.t.Helper()
	for _, e := range f.engines {
		a, err := http.Get("http://" + e.addr + "/engine/holdings")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if bytes.Contains(b, []byte(`"stream"`)) {
			return e
		}
	}
	f.t.Fatal("no engine runs a stream")
	return nil
}

func TestKilledDaemonHarmsNoOtherAndItsStreamGoesOnElsewhere(t *testing.T) {
	f := startFleet(t, 2, 2)
	const tokens = 150
	_, want := f.complete(f.daemons[1], tokens, "")
	var streams [2]*bufio.Reader
	for i := range streams {
		a, err := request(f.daemons[i].addr, "/v1/completions", body(tokens), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		streams[i] = bufio.NewReader(a.Body)
	}
	begun, last, _ := read(streams[0], 10)
	f.daemons[0].signal(syscall.SIGKILL)
	lost, lastLost, done := read(streams[0], -1)
	if done {
		t.Error("the stream of the killed daemon ended as if it were whole")
	}
	if lastLost != "" {
		begun, last = begun+lost, lastLost
	}
	if other, _, done := read(streams[1], -1); !done || other != want {
		t.Errorf("the other daemon's stream has end marker %v and %d characters, want %d", done, len(other), len(want))
	}
	if _, rest := f.complete(f.daemons[1], tokens, last); begun+rest != want {
		t.Errorf("resumed at %s, the answer has %d characters, want %d", last, len(begun+rest), len(want))
	}
}

func TestTerminatedDaemonEndsItsStreamsAndExits(t *testing.T) {
	f := startFleet(t, 1, 1)
	const tokens = 100
	a, err := request(f.daemons[0].addr, "/v1/completions", body(tokens), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	b := bufio.NewReader(a.Body)
	read(b, 5)
	f.daemons[0].signal(syscall.SIGTERM)
	if _, last, done := read(b, -1); !done || last != fmt.Sprint(tokens) {
		t.Errorf("the stream ended at %s of %d, end marker %v", last, tokens, done)
	}
	if err := f.daemons[0].cmd.Wait(); err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
}

func TestDaemonFrozenPastTheDeadlineDoesNotSend(t *testing.T) {
	f := startFleet(t, 1, 1)
	f.must(f.platform, "/control/fault", map[string]any{"delay": time.Second}, nil)
	key := uuid.Must(uuid.NewV7()).String()
	answered := make(chan string, 1)
	go func() {
		a, err := request(f.daemons[0].addr, "/v1/services/issue", "{}",
			map[string]string{"Idempotency-Key": key, "X-Deadline-Ms": "1500"})
		if err != nil {
			answered <- err.Error()
			return
		}
		defer a.Body.Close()
		b, _ := io.ReadAll(a.Body)
		answered <- string(b)
	}()
	// The claim takes a second to be written. Wherever the freeze meets the
	// call, it must not be sent once its time is over.
	<-time.After(300 * time.Millisecond)
	f.daemons[0].signal(syscall.SIGSTOP)
	<-time.After(2500 * time.Millisecond)
	f.daemons[0].signal(syscall.SIGCONT)
	got := <-answered
	var c struct {
		Counts map[string]int `json:"counts"`
	}
	f.must(f.runner, "/control/counts", nil, &c)
	if c.Counts[key] != 0 {
		t.Errorf("the call ran %d times after its deadline", c.Counts[key])
	}
	if !strings.Contains(got, `"not_run"`) && !strings.Contains(got, `"undecided"`) {
		t.Errorf("the caller got %s", got)
	}
}
