package web_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/web"
)

// serve answers each request that it reads with what answer writes, on
// connections that are kept until answer returns false.
func serve(t *testing.T, answer func(n int64, w io.Writer) bool) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !answer(n.Add(1), c) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), &n
}

// TestRequestGivenUpIsTakenBack: requests that were given up reached their servers
// seconds later, when a network had held them up. A closed connection still delivers
// what was written to it; one that is reset doesn't.
func TestRequestGivenUpIsTakenBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	end := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			end <- err
			return
		}
		defer c.Close()
		_, err = io.Copy(io.Discard, c)
		end <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := web.New().JSON(ctx, http.MethodPost, l.Addr().String(), "/order", struct{}{}, nil); err == nil {
		t.Error("a request without an answer ends well")
	}
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

func TestNothingIsSentTwice(t *testing.T) {
	for name, method := range map[string]string{"post": http.MethodPost, "get": http.MethodGet, "put": http.MethodPut} {
		t.Run(name, func(t *testing.T) {
			addr, n := serve(t, func(n int64, w io.Writer) bool {
				if n > 1 {
					return false // read, counted, closed with no answer
				}
				_, _ = io.WriteString(w, good)
				return true
			})
			c := web.New()
			if err := c.JSON(context.Background(), method, addr, "/first", struct{}{}, nil); err != nil {
				t.Fatal(err)
			}
			if err := c.JSON(context.Background(), method, addr, "/second", struct{}{}, nil); err == nil {
				t.Error("a call whose connection closed with no answer gave no error")
			}
			if got := n.Load(); got != 2 {
				t.Errorf("the server counted %d requests, want 2: one each", got)
			}
		})
	}
}

func TestCutBodyIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"stated length":  "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"inside a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, func(_ int64, w io.Writer) bool {
				_, _ = io.WriteString(w, answer)
				return false
			})
			var r fasthttp.Request
			var a fasthttp.Response
			r.SetRequestURI("http://" + addr + "/")
			if err := web.New().Do(context.Background(), &r, &a); err != nil {
				t.Fatal(err)
			}
			if b, err := web.ReadBody(&a); err == nil {
				t.Errorf("a cut body was taken for a whole one: %q", b)
			}
		})
	}
}

func TestSilentPeerEndsTheRead(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	addr, _ := serve(t, func(int64, io.Writer) bool {
		<-hold
		return false
	})
	c := web.New(web.WithStallTimeout(50 * time.Millisecond))
	if err := c.JSON(context.Background(), http.MethodGet, addr, "/", nil, nil); err == nil {
		t.Error("a silent peer gave no error")
	}
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	_ = l.Close()
	if err := web.New().JSON(context.Background(), http.MethodPost, closed, "/", nil, nil); !web.NotSent(err) {
		t.Errorf("NotSent(%v) is false for a port that nobody listens on", err)
	}
	addr, _ := serve(t, func(int64, io.Writer) bool { return false })
	if err := web.New().JSON(context.Background(), http.MethodPost, addr, "/", nil, nil); web.NotSent(err) {
		t.Errorf("NotSent(%v) is true for a request that was read", err)
	}
	if web.NotSent(errors.New("other")) || web.NotSent(fasthttp.ErrTimeout) {
		t.Error("NotSent is true for errors after which the request may have been sent")
	}
}

// TestNothingIsSentLate pauses the process, as its clock shows it, while a
// request is on its way out.
func TestNothingIsSentLate(t *testing.T) {
	for name, tc := range map[string]struct {
		looks int // at the clock, before the pause
		kept  bool
		sent  int64
	}{
		"no pause":                       {looks: 100, sent: 1},
		"before the client is asked":     {looks: 0},
		"while the connection is opened": {looks: 1},
		"on a kept connection":           {looks: 1, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, n := serve(t, func(_ int64, w io.Writer) bool {
				_, _ = io.WriteString(w, good)
				return true
			})
			left := 100
			c := web.New(web.WithNow(func() time.Time {
				if left--; left < 0 {
					return time.Now().Add(time.Hour)
				}
				return time.Now()
			}))
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var before int64
			if tc.kept {
				before = 1
				if err := c.JSON(ctx, http.MethodPost, addr, "/", struct{}{}, nil); err != nil {
					t.Fatal(err)
				}
			}
			left = tc.looks
			err := c.JSON(ctx, http.MethodPost, addr, "/", struct{}{}, nil)
			if got := n.Load() - before; got != tc.sent {
				t.Errorf("the server counted %d requests, want %d", got, tc.sent)
			}
			if late := web.NotSent(err); late != (tc.sent == 0) {
				t.Errorf("NotSent(%v) is %v, want %v", err, late, tc.sent == 0)
			}
		})
	}
}
