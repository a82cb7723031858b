package devel_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"slipcrank.example/cmd/devel"
	"slipcrank.example/core/fault"
)

const waitTimeout = 30 * time.Second

// start starts a fleet and waits until it is ready.
func start(t *testing.T, opts ...devel.Option) *devel.Fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f, err := devel.Start(ctx, opts...)
	if err != nil {
		t.Fatalf("start fleet: %v", err)
	}
	eventually(t, "the fleet is ready", f.Ready)
	return f
}

// eventually waits until ok is true, and ends the test after waitTimeout. condition
// describes what is waited for.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(waitTimeout)
	for !ok() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("not within %v: %s", waitTimeout, condition)
		}
	}
}

// post sends a request as a workspace and returns the status and body of the answer.
func post(t *testing.T, addr, path, workspace, body string, header map[string]string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+devel.Credential(workspace))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatalf("post %s: %v", path, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read answer to %s: %v", path, err)
	}
	return resp.StatusCode, string(b)
}

// prompt returns the body of a completion request.
func prompt(t *testing.T, text string, maxTokens int, stream bool) string {
	t.Helper()
	b, err := json.Marshal(map[string]any{"model": devel.Model, "prompt": text, "max_tokens": maxTokens, "stream": stream})
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestStreamEndsInDone(t *testing.T) {
	f := start(t)
	status, body := post(t, f.Nodes[0].Callers(), "/v1/completions", "till", prompt(t, "why was my voucher refused?", 5, true), nil)
	if status != http.StatusOK {
		t.Fatalf("status %d: %s", status, body)
	}
	if n := strings.Count(body, `"text":"w`); n != 5 {
		t.Errorf("got %d tokens, want 5 in %s", n, body)
	}
	if !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("no end marker in %q", body)
	}
}

// errorKind returns the kind of an error answer.
func errorKind(t *testing.T, body string) fault.Kind {
	t.Helper()
	var e errorAnswer
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("not an error answer: %q", body)
	}
	return e.Error.Kind
}
