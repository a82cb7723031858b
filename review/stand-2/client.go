package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// reply is what a client has seen.
type reply struct {
	attempt     string
	sent, ended time.Time
	status      int // 0: none
	body        string
	whole       bool // the answer is complete by its framing
	err         error
}

var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// request returns the bytes of a request.
func request(method, path, attempt, key string, deadline time.Duration, body string) string {
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n%s",
		method, path, host, attempt, deadline.Milliseconds(), key, length, body)
}

// do sends one request on a new connection and reads its answer.
func (f *fleet) do(to, method, path, key string, deadline time.Duration, body string) reply {
	p := reply{attempt: newAttempt(), sent: time.Now()}
	f.rec.line("attempt %s: %s %s to %s with key %s", p.attempt, method, path, to, key)
	c, err := net.DialTimeout("tcp4", to, time.Second)
	if err == nil {
		_ = c.SetDeadline(time.Now().Add(deadline + 3*time.Second))
		if _, err = io.WriteString(c, request(method, path, p.attempt, key, deadline, body)); err == nil {
			err = p.read(bufio.NewReader(c), method)
		}
		_ = c.Close()
	}
	p.err, p.ended = err, time.Now()
	f.rec.line("attempt %s: status %d, %d bytes, whole %t, %v, after %d ms", p.attempt, p.status, len(p.body), p.whole, p.err, p.ended.Sub(p.sent).Milliseconds())
	return p
}

func (p *reply) read(in *bufio.Reader, method string) error {
	r, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return err
	}
	p.status = r.StatusCode
	b, err := io.ReadAll(r.Body)
	p.body, p.whole = string(b), err == nil
	return err
}
