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

// serve starts a server that calls respond for each request that it reads, with the
// number of the request, and closes the connection when respond returns false. It
// returns the server's address and the number of requests read.
func serve(t *testing.T, respond func(n int64, w io.Writer) bool) (string, *atomic.Int64) {
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
					if !respond(n.Add(1), c) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), &n
}

// TestAbandonedRequestResetsConnection guards against requests that reach the server
// seconds after the client gave up, because a slow network delayed them. Data
// written to a connection is still delivered after an ordinary close, but not after
// a reset.
func TestAbandonedRequestResetsConnection(t *testing.T) {
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
		t.Error("a request without a response succeeded")
	}
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

func TestRequestsAreNotRetried(t *testing.T) {
	for name, method := range map[string]string{"post": http.MethodPost, "get": http.MethodGet, "put": http.MethodPut} {
		t.Run(name, func(t *testing.T) {
			addr, n := serve(t, func(n int64, w io.Writer) bool {
				if n > 1 {
					return false // counted, but closed without a response
				}
				_, _ = io.WriteString(w, good)
				return true
			})
			c := web.New()
			if err := c.JSON(context.Background(), method, addr, "/first", struct{}{}, nil); err != nil {
				t.Fatal(err)
			}
			if err := c.JSON(context.Background(), method, addr, "/second", struct{}{}, nil); err == nil {
				t.Error("a request whose connection closed without a response returned no error")
			}
			if got := n.Load(); got != 2 {
				t.Errorf("the server read %d requests, want 2", got)
			}
		})
	}
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"content length": "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"inside a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, func(_ int64, w io.Writer) bool {
				_, _ = io.WriteString(w, response)
				return false
			})
			var r fasthttp.Request
			var a fasthttp.Response
			r.SetRequestURI("http://" + addr + "/")
			if err := web.New().Do(context.Background(), &r, &a); err != nil {
				t.Fatal(err)
			}
			if b, err := web.ReadBody(&a); err == nil {
				t.Errorf("a truncated body was accepted: %q", b)
			}
		})
	}
}

func TestStallTimeout(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	addr, _ := serve(t, func(int64, io.Writer) bool {
		<-hold
		return false
	})
	c := web.New(web.WithStallTimeout(50 * time.Millisecond))
	if err := c.JSON(context.Background(), http.MethodGet, addr, "/", nil, nil); err == nil {
		t.Error("a request to a server that sends nothing returned no error")
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
		t.Errorf("NotSent(%v) is false for a port without a listener", err)
	}
	addr, _ := serve(t, func(int64, io.Writer) bool { return false })
	if err := web.New().JSON(context.Background(), http.MethodPost, addr, "/", nil, nil); web.NotSent(err) {
		t.Errorf("NotSent(%v) is true for a request that the server read", err)
	}
	if web.NotSent(errors.New("other")) || web.NotSent(fasthttp.ErrTimeout) {
		t.Error("NotSent is true for errors that do not exclude that the request was sent")
	}
}

// TestRequestIsNotSentAfterDeadline simulates a pause of the process while a request
// is being sent: from some reading of the clock on, the time is an hour later.
func TestRequestIsNotSentAfterDeadline(t *testing.T) {
	for name, tc := range map[string]struct {
		reads int  // of the clock, before the pause
		reuse bool // send on a connection that is already open
		sent  int64
	}{
		"no pause":                       {reads: 100, sent: 1},
		"before the client is called":    {reads: 0},
		"while the connection is opened": {reads: 1},
		"on an open connection":          {reads: 1, reuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, n := serve(t, func(_ int64, w io.Writer) bool {
				_, _ = io.WriteString(w, good)
				return true
			})
			readsLeft := 100
			c := web.New(web.WithNow(func() time.Time {
				if readsLeft--; readsLeft < 0 {
					return time.Now().Add(time.Hour)
				}
				return time.Now()
			}))
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var before int64
			if tc.reuse {
				before = 1
				if err := c.JSON(ctx, http.MethodPost, addr, "/", struct{}{}, nil); err != nil {
					t.Fatal(err)
				}
			}
			readsLeft = tc.reads
			err := c.JSON(ctx, http.MethodPost, addr, "/", struct{}{}, nil)
			if got := n.Load() - before; got != tc.sent {
				t.Errorf("the server read %d requests, want %d", got, tc.sent)
			}
			if got := web.NotSent(err); got != (tc.sent == 0) {
				t.Errorf("NotSent(%v) is %v, want %v", err, got, tc.sent == 0)
			}
		})
	}
}

// TestBodyWithoutEndIsNotRead guards against a peer whose answer takes all memory.
func TestBodyWithoutEndIsNotRead(t *testing.T) {
	for name, head := range map[string]string{
		"by close":  "HTTP/1.1 200 OK\r\n\r\n",
		"by length": "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		"failure":   "HTTP/1.1 500 X\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, func(_ int64, w io.Writer) bool {
				_, err := io.WriteString(w, head)
				for block := make([]byte, 64<<10); err == nil; {
					_, err = w.Write(block)
				}
				return false
			})
			c := web.New(web.WithMaxBody(1 << 20))
			if err := c.JSON(t.Context(), http.MethodGet, addr, "/", nil, nil); !errors.Is(err, web.ErrBodyTooLarge) {
				t.Errorf("got %v", err)
			}
			if n := c.Bytes(); n > 4<<20 {
				t.Errorf("%d bytes were read, want about 1 MiB", n)
			}
		})
	}
}
