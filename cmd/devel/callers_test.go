package devel_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/fault"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/standin/engine"
)

type errorAnswer struct {
	Error struct {
		Kind    fault.Kind `json:"kind"`
		Message string     `json:"message"`
		Remedy  string     `json:"remedy"`
	} `json:"error"`
}

func TestBadRequestsGetTypedErrors(t *testing.T) {
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(1), devel.WithEngines(1),
		devel.WithSettings(func(s settings.Settings) settings.Settings {
			s.Limits.BodyBytes = 4096
			return s
		}))
	good := prompt(t, "hello", 2, false)
	for name, tc := range map[string]struct {
		path, workspace, body string
		header                map[string]string
		status                int
		kind                  fault.Kind
	}{
		"no such path":          {"/v2/x", "till", good, nil, 404, fault.NotFound},
		"bad json":              {"/v1/completions", "till", "{", nil, 400, fault.BadRequest},
		"no prompt":             {"/v1/completions", "till", `{"model":"voucher-7b"}`, nil, 400, fault.BadRequest},
		"two prompts":           {"/v1/completions", "till", `{"model":"voucher-7b","prompt":["a","b"]}`, nil, 400, fault.BadRequest},
		"no messages":           {"/v1/chat/completions", "till", `{"model":"voucher-7b"}`, nil, 400, fault.BadRequest},
		"negative answer":       {"/v1/completions", "till", `{"model":"voucher-7b","prompt":"x","max_tokens":-1}`, nil, 400, fault.BadRequest},
		"unknown workspace":     {"/v1/completions", "nobody", good, nil, 401, fault.Unauthorized},
		"unknown model":         {"/v1/completions", "till", `{"model":"other","prompt":"x"}`, nil, 404, fault.UnknownModel},
		"body too large":        {"/v1/completions", "till", prompt(t, strings.Repeat("x", 8192), 2, false), nil, 413, fault.TooLarge},
		"deadline passed":       {"/v1/completions", "till", good, map[string]string{"X-Deadline-Ms": "0"}, 504, fault.DeadlineExpired},
		"deadline not a number": {"/v1/completions", "till", good, map[string]string{"X-Deadline-Ms": "soon"}, 400, fault.BadRequest},
		"bad resume":            {"/v1/completions", "till", good, map[string]string{"Last-Event-ID": "x"}, 400, fault.BadRequest},
		"unknown service":       {"/v1/services/none", "till", "{}", nil, 404, fault.UnknownService},
		"call without a key":    {"/v1/services/issue", "till", "{}", nil, 400, fault.KeyRequired},
		"call with an old key":  {"/v1/services/issue", "till", "{}", map[string]string{"Idempotency-Key": "018df1f6-0000-7000-8000-000000000000"}, 400, fault.KeyRequired},
	} {
		t.Run(name, func(t *testing.T) {
			status, body := post(t, f.Nodes[0].Callers(), tc.path, tc.workspace, tc.body, tc.header)
			var e errorAnswer
			if err := json.Unmarshal([]byte(body), &e); err != nil {
				t.Fatalf("the error is not JSON: %q", body)
			}
			if status != tc.status || e.Error.Kind != tc.kind || e.Error.Message == "" || e.Error.Remedy == "" {
				t.Errorf("got %d %+v, want %d %s with message and remedy", status, e.Error, tc.status, tc.kind)
			}
		})
	}
	if status, body := post(t, f.Nodes[0].Callers(), "/v1/completions", "till", good, nil); status != http.StatusOK {
		t.Errorf("after the bad requests a valid one got %d %s", status, body)
	}
}

// openStream starts a completion stream as a workspace and reads its first line.
func openStream(t *testing.T, ctx context.Context, addr, workspace, body string) (*http.Response, *bufio.Reader) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+devel.Credential(workspace))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	b := bufio.NewReader(resp.Body)
	if _, err := b.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	return resp, b
}

// usedTokens returns the number of tokens of memory in use on all engines.
func usedTokens(f *devel.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		n += e.Used()
	}
	return n
}

func TestDisconnectedCallerFreesEngineMemory(t *testing.T) {
	p := engine.DefaultParams()
	p.StepBase = 50 * time.Millisecond
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(1), devel.WithEngines(1), devel.WithParams(p))
	ctx, cancel := context.WithCancel(context.Background())
	openStream(t, ctx, f.Nodes[0].Callers(), "till", prompt(t, "a long answer", 20_000, true))
	if usedTokens(f) == 0 {
		t.Fatal("the engine uses no memory for the stream")
	}
	cancel()
	eventually(t, "the engine's memory is free", func() bool { return usedTokens(f) == 0 })
}

func TestGracefulStopCompletesStreams(t *testing.T) {
	p := engine.DefaultParams()
	p.StepBase = 10 * time.Millisecond
	f := start(t, devel.WithHalls("oslo-a"), devel.WithDaemons(2), devel.WithEngines(1), devel.WithParams(p))
	stopping, other := f.Nodes[0], f.Nodes[1]
	const tokens = 120
	_, b := openStream(t, context.Background(), stopping.Callers(), "till", prompt(t, "stop", tokens, true))
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.Stop(context.Background()) }()
	eventually(t, "the stopping daemon is not ready", func() bool {
		a, err := http.Get("http://" + stopping.Callers() + "/readyz")
		if err != nil {
			return false
		}
		_ = a.Body.Close()
		return a.StatusCode == http.StatusServiceUnavailable
	})
	if status, body := post(t, other.Callers(), "/v1/completions", "till", prompt(t, "go on", 2, false), nil); status != http.StatusOK {
		t.Errorf("the other daemon answered %d %s", status, body)
	}
	got, done := 1, false
	for {
		line, err := b.ReadString('\n')
		if err != nil {
			break
		}
		if strings.HasPrefix(line, "id: ") {
			got++
		}
		done = done || line == "data: [DONE]\n"
	}
	if got != tokens || !done {
		t.Errorf("the stream in progress got %d of %d tokens, end marker %v", got, tokens, done)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop the daemon: %v", err)
	}
}
