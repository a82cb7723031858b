// Package listen has the HTTP server and the request helpers that all stand-ins use.
//
// # Usage
//
//	addr, err := listen.Serve(ctx, "127.0.0.1:0", handler)
package listen

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxBodyBytes is the maximum size of a request body, enough for a prompt of more
// than a million tokens.
const maxBodyBytes = 32 << 20

// Serve starts an HTTP server on addr and returns the address on which it listens.
// When ctx ends, the server stops and closes all connections.
func Serve(ctx context.Context, addr string, h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrapf(err, "listen on %s", addr)
	}
	s := &fasthttp.Server{Handler: h, MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true, Logger: discardLogger{}}
	t := &tracker{Listener: l, conns: map[net.Conn]bool{}}
	go func() { _ = s.Serve(t) }()
	context.AfterFunc(ctx, t.closeAll)
	return l.Addr().String(), nil
}

type (
	// tracker is a listener that tracks its open connections, so that a stand-in
	// can close them all at once, as the end of its process would.
	tracker struct {
		net.Listener
		mu    sync.Mutex
		conns map[net.Conn]bool
	}

	trackedConn struct {
		net.Conn
		tracker *tracker
	}

	// discardLogger discards the messages of fasthttp about broken connections,
	// which tests cause on purpose.
	discardLogger struct{}
)

// Accept implements [net.Listener].
func (t *tracker) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := trackedConn{Conn: c, tracker: t}
	t.conns[tracked] = true
	return tracked, nil
}

// Close implements [net.Conn].
func (c trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes the listener and all open connections.
func (t *tracker) closeAll() {
	_ = t.Listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if tracked, ok := c.(trackedConn); ok {
			_ = tracked.Conn.Close()
		}
	}
}

// Printf implements [fasthttp.Logger].
func (discardLogger) Printf(string, ...any) {}

// Reply responds with v as JSON.
func Reply(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

// Read decodes the JSON body of a request into v. If that fails, it responds with
// status 400 and returns false.
func Read(c *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(c.PostBody(), v); err != nil {
		c.Error(err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Handle decodes a request and calls f. It responds with an empty JSON object, or with
// the error of f and the status that status[0] returns for it, 500 if status is empty.
func Handle[T any](c *fasthttp.RequestCtx, f func(T) error, status ...func(error) int) {
	var r T
	if !Read(c, &r) {
		return
	}
	err := f(r)
	if err == nil {
		Reply(c, struct{}{})
		return
	}
	code := http.StatusInternalServerError
	if len(status) > 0 {
		code = status[0](err)
	}
	c.Error(err.Error(), code)
}

// Get sends a GET request to another stand-in and decodes the JSON response into v.
func Get(addr, path string, v any) error {
	code, b, err := fasthttp.Get(nil, "http://"+addr+path)
	if err != nil {
		return err
	}
	if code != http.StatusOK {
		return errors.Newf("status %d from %s", code, path)
	}
	return json.Unmarshal(b, v)
}
