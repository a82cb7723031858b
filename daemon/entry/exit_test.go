package entry

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"slipcrank.example/core/pause"
)

// TestSilentConnectionToRelayDoesNotDelayExit guards against a host that is cut off while it connects.
func TestSilentConnectionToRelayDoesNotDelayExit(t *testing.T) {
	t.Parallel()
	const grace = time.Second
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := newStoppableEntry(t, grace)
	go e.serve(e.relayServer, l)
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = pause.For(t.Context(), 100*time.Millisecond) // accepts the connection
	begun := time.Now()
	e.Stop(context.Background())
	if d := time.Since(begun); d >= grace {
		t.Errorf("the stop took %v, want less than %v", d, grace)
	}
}

// exhaustedListener has no descriptors for connections.
type exhaustedListener struct {
	net.Listener
	accepts atomic.Int64
	failed  chan struct{} // closed when the server has begun to wait for a second after an error
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	const errorsBeforeLongWait = 9 // 5 ms, twice as much each time, at most 1 s
	if l.accepts.Add(1) == errorsBeforeLongWait {
		close(l.failed)
	}
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

// TestExhaustedDescriptorsDoNotDelayExit guards against a stop that waits for a server which waits for descriptors.
func TestExhaustedDescriptorsDoNotDelayExit(t *testing.T) {
	t.Parallel()
	const grace = 2 * time.Second
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := newStoppableEntry(t, grace)
	x := &exhaustedListener{Listener: l, failed: make(chan struct{})}
	go e.serve(e.callerServer, x)
	<-x.failed
	_ = pause.For(t.Context(), 300*time.Millisecond) // the next wait begins before the end of the stop, and ends after it
	begun := time.Now()
	e.Stop(context.Background())
	if d := time.Since(begun); d >= grace {
		t.Errorf("the stop took %v, want less than %v", d, grace)
	}
}
