package entry

import (
	"context"
	"net"
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
