package main_test

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"time"
)

// startWithOutput starts an entry host whose standard output is out, and returns it with its exit.
func startWithOutput(t *testing.T, number int, grace time.Duration, out *os.File) (*process, <-chan error) {
	t.Helper()
	p, _ := newEntryHost(t, number, grace)
	p.cmd.Stdout = out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	p.waitForPort()
	return p, exited
}

// fill fills a pipe, so that the next write to it blocks.
func fill(t *testing.T, w *os.File) {
	t.Helper()
	_ = w.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	for {
		if _, err := w.Write(make([]byte, 1024)); errors.Is(err, os.ErrDeadlineExceeded) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// TestBlockedOutputDoesNotDelayExit guards against a process that waits for its log until it is killed.
func TestBlockedOutputDoesNotDelayExit(t *testing.T) {
	t.Parallel()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	fill(t, w)
	const grace = 4 * time.Second
	p, exited := startWithOutput(t, 5, grace, w)
	begun := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-exited:
		if d := time.Since(begun); err != nil || d >= grace {
			t.Errorf("the process exited after %v with %v, want 0 within %v", d, err, grace)
		}
	case <-time.After(2 * grace):
		t.Errorf("the process runs %v after SIGTERM, want an exit within %v", 2*grace, grace)
	}
}

// TestHostOutlivesReaderOfItsLog guards against a process that ends, and cuts all requests, since its log isn't read any more.
func TestHostOutlivesReaderOfItsLog(t *testing.T) {
	t.Parallel()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	p, exited := startWithOutput(t, 6, time.Second, w)
	_ = r.Close()
	for range 3 {
		p.signal(syscall.SIGHUP) // is logged
	}
	select {
	case err := <-exited:
		t.Errorf("the process exited: %v", err)
	case <-time.After(time.Second):
	}
	p.signal(syscall.SIGTERM)
	if err := <-exited; err != nil {
		t.Errorf("the process exited with %v after SIGTERM, want 0", err)
	}
}
