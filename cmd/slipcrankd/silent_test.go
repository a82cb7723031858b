package main_test

import (
	"bufio"
	"syscall"
	"testing"
	"time"
)

// TestStreamOfFrozenEngineIsComplete stops an engine with SIGSTOP in the middle of
// a stream, so that its connections stay open but carry no data. The caller must
// get the complete answer within its deadline.
func TestStreamOfFrozenEngineIsComplete(t *testing.T) {
	f := startFleet(t, 2, 3)
	const tokens = 200
	_, want := f.complete(f.daemons[0], tokens, "")
	resp, err := request(f.daemons[0].addr, "/v1/completions", completionBody(tokens), map[string]string{"X-Deadline-Ms": "18000"})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b := bufio.NewReader(resp.Body)
	head, _, _ := readEvents(b, 20)
	f.streamingEngine().signal(syscall.SIGSTOP)
	frozenAt := time.Now()
	tail, _, done := readEvents(b, -1)
	t.Logf("the answer ended %v after the engine was frozen", time.Since(frozenAt).Round(100*time.Millisecond))
	if !done || head+tail != want {
		t.Errorf("with the engine frozen, the answer has %d characters and end marker %v, want %d characters",
			len(head+tail), done, len(want))
	}
}
