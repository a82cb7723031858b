package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"slipcrank.example/core/pause"
	"slipcrank.example/platform"
)

type (
	// stopRequest is a request of a caller.
	stopRequest struct {
		id, path                 string
		host                     *stopHost
		firstByte, lastByte, end time.Time // lastByte is zero if the request wasn't sent whole
		status                   int
		whole, closes            bool // the answer
		garbled                  bool // the answer has other events than it should, or in another order
		judged                   bool // as one in a stop
		err                      error
	}

	// stopWork is what a caller asks for, and how it sends and reads.
	stopWork struct {
		path      string        // with the kind and the time that the server needs
		bodyDelay time.Duration // from the head to the body
		readPause time.Duration // before each read of up to readBytes
	}

	// stopCaller sends one request at a time on a connection that it keeps.
	stopCaller struct {
		w    *stopWorld
		name string
		sent int
		host *stopHost
		conn net.Conn
		in   *bufio.Reader
	}
)

// refused reports whether the answer says that the request was not run and won't be.
func (r *stopRequest) refused() bool {
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return r.whole
	}
	return false
}

// readBytes is the most that a caller reads at once.
const readBytes = 4 << 10

func (c *stopCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer. A request whose host can't be reached has only
// its error.
func (c *stopCaller) send(h *stopHost, work stopWork) *stopRequest {
	if c.host != h {
		c.close()
		c.host = h
	}
	c.sent++
	r := &stopRequest{id: fmt.Sprintf("%s-%d", c.name, c.sent), host: h, path: work.path}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", h.ip+":7100", time.Second)
		if err != nil {
			r.err = err
			return r
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	c.exchange(r, work)
	c.w.mu.Lock()
	c.w.requests = append(c.w.requests, r)
	c.w.mu.Unlock()
	if r.err != nil || r.closes {
		c.close()
	}
	return r
}

// exchange sends a request on the caller's connection and reads the answer.
func (c *stopCaller) exchange(r *stopRequest, work stopWork) {
	d := platform.Dialect()
	body := "body of " + r.id
	_ = c.conn.SetDeadline(time.Now().Add(stopDeadline + 5*time.Second))
	defer func() { r.end = time.Now() }()
	r.firstByte = time.Now()
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		work.path, r.id, stopSite, d.AttemptID, r.id, d.Deadline, stopDeadline.Milliseconds(), len(body))
	if work.bodyDelay == 0 {
		head += body
	}
	if _, r.err = io.WriteString(c.conn, head); r.err != nil {
		return
	}
	if work.bodyDelay > 0 {
		_ = pause.For(c.w.ctx, work.bodyDelay)
		if _, r.err = io.WriteString(c.conn, body); r.err != nil {
			return
		}
	}
	r.lastByte = time.Now()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.status, r.closes = resp.StatusCode, resp.Close
	var answer []byte
	for b := make([]byte, readBytes); err == nil; {
		_ = pause.For(c.w.ctx, work.readPause)
		var n int
		n, err = resp.Body.Read(b)
		answer = append(answer, b[:n]...)
	}
	if r.whole = err == io.EOF; !r.whole {
		r.err = err
	}
	if want := answerOf(work.path); r.status == http.StatusOK {
		r.garbled = !strings.HasPrefix(want, string(answer)) || r.whole && len(answer) < len(want)
	}
}
