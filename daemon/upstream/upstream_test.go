package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/pause"
	"slipcrank.example/daemon/upstream"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serve starts a server that answers the n-th request on each connection with
// answer(n), and returns its address. If that is empty, it closes the connection.
func serve(t *testing.T, answer func(n int) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					a := answer(n)
					if _, err := io.WriteString(c, a); err != nil || a == "" {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func request() upstream.Request {
	return upstream.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"), IDHeader: "Id", ID: "1"}
}

// roundTrip sends a request, reads the whole answer and returns the connection to
// the pool.
func roundTrip(t *testing.T, p *upstream.Pool, addr string, r upstream.Request) (string, error) {
	t.Helper()
	a, err := p.Send(context.Background(), addr, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	if err == nil {
		a.Finish()
	}
	return string(b), err
}

func TestConnectionsAreReused(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		opened int64 // for three requests
	}{
		"reused":                          {okAnswer, 1},
		"Connection: close":               {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		"surplus bytes after the body":    {okAnswer + "HTTP/1.1 200 OK\r\n", 3},
		"Keep-Alive timeout of 0":         {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 3},
		"Keep-Alive timeout of 60 s":      {"HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=60\r\nContent-Length: 2\r\n\r\nok", 1},
		"interim answer":                  {"HTTP/1.1 100 Continue\r\n\r\n" + okAnswer, 1},
		"answer to another request first": {"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad" + okAnswer, 1},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(int) string { return tc.answer })
			p := upstream.New()
			for range 3 {
				if b, err := roundTrip(t, p, addr, request()); err != nil || b != "ok" {
					t.Fatalf("got %q, %v", b, err)
				}
			}
			if n := p.Opened(); n != tc.opened {
				t.Errorf("%d connections were opened, want %d", n, tc.opened)
			}
		})
	}
}

func TestConnectionClosedByTheServerIsReplaced(t *testing.T) {
	addr := serve(t, func(n int) string {
		if n > 0 {
			return ""
		}
		return okAnswer
	})
	p := upstream.New()
	if _, err := roundTrip(t, p, addr, request()); err != nil {
		t.Fatal(err)
	}
	// The server reads the second request and closes the connection. The request
	// may have run, so the error must not satisfy NotSent.
	_, err := roundTrip(t, p, addr, request())
	if err == nil || upstream.NotSent(err) {
		t.Errorf("got %v, want an error of a request that may have run", err)
	}
	if _, err := roundTrip(t, p, addr, request()); err != nil {
		t.Errorf("request on a new connection: %v", err)
	}
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	if _, err := roundTrip(t, upstream.New(), closed, request()); !upstream.NotSent(err) {
		t.Errorf("closed port: %v", err)
	}
	r := request()
	denied := errors.New("no longer allowed")
	r.BeforeSend = func() error { return denied }
	addr := serve(t, func(int) string { return okAnswer })
	if _, err := roundTrip(t, upstream.New(), addr, r); !upstream.NotSent(err) || !errors.Is(err, denied) {
		t.Errorf("BeforeSend failed: %v", err)
	}
}

func TestSendReturnsWhenTheContextEnds(t *testing.T) {
	addr := serve(t, func(int) string {
		_ = pause.For(context.Background(), time.Hour) // the server never answers
		return ""
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := upstream.New().Send(ctx, addr, request()); err == nil || upstream.NotSent(err) {
		t.Errorf("got %v", err)
	}
}

func TestSweepClosesConnectionsToUnlistedServers(t *testing.T) {
	addr := serve(t, func(int) string { return okAnswer })
	p := upstream.New()
	for range 2 {
		if _, err := roundTrip(t, p, addr, request()); err != nil {
			t.Fatal(err)
		}
		p.Sweep(func(string) bool { return false })
	}
	if n := p.Opened(); n != 2 {
		t.Errorf("%d connections were opened, want 2", n)
	}
}

// TestProbeDetectsServersThatAreNotRunning probes a server, a port without a
// listener, and a proxy that accepts connections and closes them.
func TestProbeDetectsServersThatAreNotRunning(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	go func() {
		for {
			c, err := proxy.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	for name, tc := range map[string]struct {
		addr   string
		closed bool
	}{
		"a server":                 {serve(t, func(int) string { return okAnswer }), false},
		"a closed port":            {closed.Addr().String(), true},
		"a proxy without a server": {proxy.Addr().String(), true},
	} {
		t.Run(name, func(t *testing.T) {
			p := upstream.New()
			err := p.Probe(t.Context(), tc.addr)
			if upstream.PortClosed(err) != tc.closed || (err == nil) == tc.closed {
				t.Errorf("got %v, want closed port: %v", err, tc.closed)
			}
		})
	}
}

// TestServerThatIsSilentForSecondsKeepsItsConnection has a server stop reading in the middle of
// a request, so that sent bytes stay unacknowledged.
func TestServerThatIsSilentForSecondsKeepsItsConnection(t *testing.T) {
	for name, silence := range map[string]time.Duration{
		"1.0 s": time.Second, "1.4 s": 1400 * time.Millisecond, "2.0 s": 2 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_ = pause.For(context.Background(), silence) // ends after the silence
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body) // an incomplete body is followed by a write error
				_, _ = io.WriteString(c, okAnswer)
			}()
			r := request()
			r.Body = make([]byte, 32<<20) // more than the buffers of both sides
			a, err := upstream.New().Send(context.Background(), l.Addr().String(), r)
			if err != nil {
				t.Fatalf("after a silence of %v: %v", silence, err)
			}
			a.Close()
		})
	}
}

func TestAnswersTellTheirFraming(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		want   upstream.Framing
	}{
		"length":             {okAnswer, upstream.FramedByLength},
		"no body":            {"HTTP/1.1 204 No Content\r\n\r\n", upstream.FramedByLength},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", upstream.FramedByChunks},
		"chunks and closing": {"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", upstream.FramedByChunks},
		"nothing":            {"HTTP/1.1 200 OK\r\n\r\nok", upstream.FramedByClose},
		"HTTP/1.0":           {"HTTP/1.0 200 OK\r\n\r\nok", upstream.FramedByClose},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(int) string { return tc.answer })
			a, err := upstream.New().Send(context.Background(), addr, request())
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if a.Framing != tc.want {
				t.Errorf("the framing is %q, want %q", a.Framing, tc.want)
			}
		})
	}
}
