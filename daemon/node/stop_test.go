package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"slipcrank.example/daemon/settings"
)

type (
	// heldListener accepts connections whose writes are reported to writing, and wait until
	// release is closed.
	heldListener struct {
		net.Listener
		writing, release chan struct{}
	}

	heldConn struct {
		net.Conn
		l *heldListener
	}
)

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c, l}, nil
}

// Write implements net.Conn.
func (c *heldConn) Write(b []byte) (int, error) {
	select {
	case c.l.writing <- struct{}{}:
	default:
	}
	<-c.l.release
	return c.Conn.Write(b)
}

// TestStopCompletesAnswerOfSlowReader guards against a stop that waits for handlers only.
func TestStopCompletesAnswerOfSlowReader(t *testing.T) {
	s := settings.Default()
	s.Hall, s.Platform, s.OperatorTokenSHA256 = "leon", "127.0.0.1:1", strings.Repeat("0", 64)
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	s.Drain.Notice, s.Drain.Limit = 100*time.Millisecond, time.Minute
	n, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	l := &heldListener{n.listeners.callers, make(chan struct{}, 1), make(chan struct{})}
	n.listeners.callers = l
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	go func() {
		a, err := http.Get("http://" + n.Callers() + "/healthz")
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		answered <- err
	}()
	<-l.writing
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	begun := time.Now()
	select {
	case err := <-stopped:
		t.Fatalf("the stop ended after %v with the answer not written: %v", time.Since(begun), err)
	case <-time.After(s.Drain.Notice + closeTimeout + time.Second):
	}
	close(l.release)
	if err := <-answered; err != nil {
		t.Errorf("the answer was cut: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop the daemon: %v", err)
	}
}
