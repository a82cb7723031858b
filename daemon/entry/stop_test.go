package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/settings"
	"slipcrank.example/daemon/watch"
)

// grace is the grace period of hosts whose stop is expected to end sooner.
const grace = 8 * time.Second

type (
	// heldListener accepts connections whose writes wait until release is closed. Each write
	// is reported to writing first.
	heldListener struct {
		net.Listener
		writing chan struct{}
		release chan struct{}
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

func listenHeld(t *testing.T) *heldListener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &heldListener{l, make(chan struct{}, 1), make(chan struct{})}
}

// get sends a request, and returns once its answer is being written. The channel gets the
// caller's error, nil for a whole answer.
func (l *heldListener) get() <-chan error {
	answered := make(chan error, 1)
	go func() {
		a, err := http.Get("http://" + l.Addr().String() + "/")
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		answered <- err
	}()
	<-l.writing
	return answered
}

// newStoppableEntry returns an entry host without a configuration, whose servers don't serve yet.
func newStoppableEntry(t *testing.T, grace time.Duration) *Entry {
	t.Helper()
	e, err := New(settings.Entry{
		Host: "h", Listen: settings.EntryListen{News: "127.0.0.1:0"}, Bounds: settings.Bounds{Grace: grace},
	}, Platform{Tables: watch.Tables{Hosts: "hosts"}})
	if err != nil {
		t.Fatal(err)
	}
	_, e.cancel = context.WithCancel(t.Context())
	e.callerServer, e.delegated = e.newServer(e.gateway), e.newServer(e.gateway.DelegatedHandler())
	return e
}

// TestStopCompletesAnswerOfReturnedHandler guards against a stop that waits for handlers only.
func TestStopCompletesAnswerOfReturnedHandler(t *testing.T) {
	t.Parallel()
	for name, server := range map[string]func(e *Entry) *http.Server{
		"of a caller":     func(e *Entry) *http.Server { return e.callerServer },
		"of another host": func(e *Entry) *http.Server { return e.delegated },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listenHeld(t)
			e := newStoppableEntry(t, grace)
			go e.serve(server(e), l)
			answered := l.get()
			stopped := make(chan struct{})
			go func() {
				e.Stop(context.Background())
				close(stopped)
			}()
			_ = pause.For(t.Context(), balancerNoticeTime+4*stopPollInterval)
			close(l.release)
			if err := <-answered; err != nil {
				t.Errorf("the answer was cut: %v", err)
			}
			<-stopped
		})
	}
}

// TestStopDoesNotWaitForConnectionsWithoutRequest guards against restarts that take the whole grace.
func TestStopDoesNotWaitForConnectionsWithoutRequest(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		sent     string
		answered bool
	}{
		"silent":                      {"", false},
		"half a head":                 {"GET / HTTP/1.1\r\nHost: shop", false},
		"idle":                        {"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n", true},
		"half a head after a request": {"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\nGET / HTTP", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			e := newStoppableEntry(t, grace)
			go e.serve(e.callerServer, l)
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, tc.sent); err != nil {
				t.Fatal(err)
			}
			if tc.answered {
				a, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				_ = a.Body.Close()
			}
			begun := time.Now()
			e.Stop(context.Background())
			d := time.Since(begun)
			t.Logf("the stop took %v", d)
			if d > balancerNoticeTime+time.Second {
				t.Errorf("the stop took %v, want about %v", d, balancerNoticeTime)
			}
		})
	}
}

// TestStopUsesItsGracePeriod guards against requests cut before the last sixth of the grace period.
func TestStopUsesItsGracePeriod(t *testing.T) {
	t.Parallel()
	for name, grace := range map[string]time.Duration{"4 s": 4 * time.Second, "6 s": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := listenHeld(t)
			defer close(l.release)
			e := newStoppableEntry(t, grace)
			go e.serve(e.callerServer, l)
			l.get()
			begun := time.Now()
			e.Stop(context.Background())
			if d := time.Since(begun); d < grace*5/6 || d >= grace {
				t.Errorf("the stop took %v, want %v to %v", d, grace*5/6, grace)
			}
		})
	}
}

func TestStopLimit(t *testing.T) {
	for name, tc := range map[string]struct{ grace, want time.Duration }{
		"shortest": {time.Second, 875 * time.Millisecond},
		"short":    {4 * time.Second, 3500 * time.Millisecond},
		"long":     {8 * time.Second, 7300 * time.Millisecond},
		"longest":  {time.Hour, time.Hour - 700*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := stopLimit(tc.grace); got != tc.want {
				t.Errorf("limit %v of %v, want %v", got, tc.grace, tc.want)
			}
		})
	}
}

func TestExitTimeout(t *testing.T) {
	const grace = 8 * time.Second // margin 700 ms
	for name, tc := range map[string]struct{ took, want time.Duration }{
		"early":           {3 * time.Second, 700 * time.Millisecond},
		"on time":         {7300 * time.Millisecond, 525 * time.Millisecond},
		"a little late":   {7400 * time.Millisecond, 425 * time.Millisecond},
		"almost too late": {7980 * time.Millisecond, 175 * time.Millisecond},
		"after the kill":  {9 * time.Second, 175 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := exitTimeout(grace, tc.took); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestStopRequestedDuringStartEndsInTime guards against a grace period that counts from the start's end.
func TestStopRequestedDuringStartEndsInTime(t *testing.T) {
	t.Parallel()
	const grace, start = 4 * time.Second, time.Second
	l := listenHeld(t)
	defer close(l.release)
	e := newStoppableEntry(t, grace)
	go e.serve(e.callerServer, l)
	l.get()
	requested := time.Now().Add(-start)
	e.StopSince(context.Background(), requested)
	if d := time.Since(requested); d >= grace {
		t.Errorf("the stop ended %v after it was requested, want less than %v", d, grace)
	}
}
