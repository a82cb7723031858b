package decision_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/event"
)

// slowOutput is an output that accepts one line each time that it is allowed to.
type slowOutput struct {
	allowed chan struct{}

	mu   sync.Mutex
	text strings.Builder
}

func newSlowOutput() *slowOutput { return &slowOutput{allowed: make(chan struct{})} }

// Write implements io.Writer.
func (o *slowOutput) Write(b []byte) (int, error) {
	<-o.allowed
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// allow lets the output accept some lines, and waits until it has begun to write them.
func (o *slowOutput) allow(lines int) {
	for range lines {
		o.allowed <- struct{}{}
	}
}

func (o *slowOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestWriteDuringClose has goroutines write while the log is closed, as do the background
// tasks of a daemon that is stopping. Write must neither panic nor block.
func TestWriteDuringClose(t *testing.T) {
	for range 50 {
		l := decision.New(io.Discard)
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 50 {
					l.Write(event.DaemonReady)
				}
			})
		}
		l.Close()
		writers.Wait()
	}
}

// TestShutdownDoesNotWaitForBlockedOutput guards against a process that is killed while it closes its log.
func TestShutdownDoesNotWaitForBlockedOutput(t *testing.T) {
	out := newSlowOutput()
	l := decision.New(out)
	l.Write(event.DaemonReady)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := l.Shutdown(ctx); err == nil {
		t.Error("no error although lines were lost")
	}
	close(out.allowed)
	l.Close()
	if !strings.Contains(out.String(), event.DaemonReady.Message) {
		t.Error("the line is missing after the output has gone on")
	}
}

// TestSlowOutputGetsLastLinesFirst guards against lines of cut requests that wait behind a full queue when the process is killed.
func TestSlowOutputGetsLastLinesFirst(t *testing.T) {
	for name, closes := range map[string]bool{"before the log is closed": false, "while the log is closed": true} {
		t.Run(name, func(t *testing.T) {
			out := newSlowOutput()
			l := decision.New(out)
			for range 200 {
				l.Write(event.RequestRefused)
			}
			const cut = 20
			for n := range cut {
				l.WriteLast(event.RequestCut, slog.String("id", fmt.Sprintf("cut-%d.", n)))
			}
			if closes {
				go l.Close()
				_ = pause.For(t.Context(), 20*time.Millisecond)
			}
			out.allow(1 + cut + 1) // one line may have been begun before, and the last one is whole when another begins
			for n := range cut {
				if id := fmt.Sprintf("cut-%d.", n); !strings.Contains(out.String(), id) {
					t.Errorf("no line of %s", id)
				}
			}
			close(out.allowed)
			l.Close()
		})
	}
}
