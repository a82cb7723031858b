package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// reply is what a client got for one attempt.
type reply struct {
	attempt string
	sent    time.Duration
	status  int // 0 if the connection ended without a whole answer
	seal    string
	body    string
}

// request sends one request on a new connection, and returns what came back.
func (f *fleet) request(h *host, method, path, key, body string, deadline time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	attempt := newID()
	out := reply{attempt: attempt, sent: f.rec.now()}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+f.front(h)+path, strings.NewReader(body))
	if err != nil {
		return out
	}
	q.Host = "shop.example"
	q.Header.Set("X-Attempt-Id", attempt)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if strings.HasPrefix(path, "/book/") {
		q.Header.Set("X-Token-Usage", "133000,700")
		q.Header.Set("X-Prompt-Prefix", newID()+":40,"+newID()+":132960")
	}
	if strings.HasPrefix(path, "/caption/") {
		q.Header.Set("X-Token-Usage", "5000,1360")
		q.Header.Set("X-Prompt-Prefix", newID()+":40,"+newID()+":4960")
	}
	if key != "" {
		q.Header.Set("Authorization", "Token "+key)
	}
	f.rec.line("client sends %s %s %s to %s with the key %q", method, path, attempt, h.name, key)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	a, err := t.RoundTrip(q)
	if err != nil {
		f.rec.line("client gets no answer to %s: %v", attempt, err)
		return out
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		f.rec.line("client gets an answer to %s that breaks off: %v", attempt, err)
		return out
	}
	out.status, out.seal, out.body = a.StatusCode, a.Header.Get("X-Response-Seal"), string(b)
	f.rec.line("client gets %d to %s, X-Response-Seal %q, %d bytes", out.status, attempt, out.seal, len(b))
	return out
}
