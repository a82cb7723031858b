package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"slipcrank.example/platform"
	"slipcrank.example/platform/standin"
)

const (
	// siteHost is the host name of all routes, sent in the Host header.
	siteHost = "soak.example"
	// requestDeadline is the deadline that callers send with each request, as a
	// time from its sending. Under load, an answer may arrive later by up to
	// answerSlack.
	requestDeadline = 2500 * time.Millisecond
	answerSlack     = 2 * time.Second
	callerInterval  = 15 * time.Millisecond
)

var lastAttempt atomic.Int64

// request is one attempt of a caller, with its result.
type request struct {
	attempt, token, key string
	kind                string
	host                *host
	deadline            time.Duration // zero: requestDeadline
	bodyDelay           time.Duration // from the head to the body
	eventGap            time.Duration // of a stream; zero: the server's own
	sentAt              time.Time
	wroteAt             atomic.Pointer[time.Time] // when the last byte was sent; nil if it wasn't
	duration            time.Duration
	status              int // 0 for none
	body                string
	seal                string
	incomplete          bool
}

// runCaller sends requests to random hosts over persistent connections until ctx
// ends.
func (w *world) runCaller(ctx context.Context, rnd *rand.Rand) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		DisableCompression:  true,
	}
	defer t.CloseIdleConnections()
	kinds := []string{"safe", "once", "once", "stream"}
	for ctx.Err() == nil {
		r := &request{
			kind: kinds[rnd.IntN(len(kinds))],
			key:  w.randomKey(rnd),
			host: w.hosts[rnd.IntN(len(w.hosts))],
		}
		n := lastAttempt.Add(1)
		r.attempt, r.token = fmt.Sprintf("a%d", n), fmt.Sprintf("t%d", n)
		w.send(t, r, n%oldCallerInterval == 0)
		w.checkAnswer(r)
		time.Sleep(callerInterval)
	}
}

// send sends a request, and stores the answer in it.
func (w *world) send(t *http.Transport, r *request, old bool) {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout()+2*answerSlack)
	defer cancel()
	d := platform.Dialect()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.host.addr()+"/"+r.kind+"/"+r.token, strings.NewReader(r.token))
	if err != nil {
		panic(err) // the URL is built by this package
	}
	if r.bodyDelay > 0 {
		httpReq.Body = io.NopCloser(&lateReader{httpReq.Body, r.bodyDelay})
	}
	if r.eventGap > 0 {
		httpReq.Header.Set(standin.EventGapHeader, fmt.Sprint(r.eventGap.Milliseconds()))
	}
	httpReq = httpReq.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: r.recordWritten}))
	// Without GetBody, the HTTP client can't send the request a second time.
	httpReq.GetBody = nil
	httpReq.Host = siteHost
	httpReq.Header.Set(d.AttemptID, r.attempt)
	httpReq.Header.Set(d.Deadline, fmt.Sprint(r.timeout().Milliseconds()))
	httpReq.Header.Set("Authorization", d.KeyScheme+r.key)
	r.sentAt = time.Now()
	defer func() { r.duration = time.Since(r.sentAt) }()
	roundTrip := t.RoundTrip
	if old {
		roundTrip = sendOverHTTP10
	}
	resp, err := roundTrip(httpReq)
	if err != nil {
		r.incomplete = true
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.seal, r.incomplete = resp.StatusCode, string(body), resp.Header.Get(standin.SealHeader), err != nil
}

// timeout returns the deadline of the request, as a time from its sending.
func (r *request) timeout() time.Duration { return cmp.Or(r.deadline, requestDeadline) }

func (r *request) recordWritten(i httptrace.WroteRequestInfo) {
	if now := time.Now(); i.Err == nil {
		r.wroteAt.Store(&now)
	}
}

// lateReader is a body whose bytes come after a delay.
type lateReader struct {
	io.Reader
	delay time.Duration
}

func (l *lateReader) Read(b []byte) (int, error) {
	time.Sleep(l.delay)
	l.delay = 0
	return l.Reader.Read(b)
}

// sendOverHTTP10 sends a request on a connection of its own over HTTP/1.0: the end of the
// connection may be the end of the answer.
func sendOverHTTP10(r *http.Request) (*http.Response, error) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(r.Context(), "tcp", r.URL.Host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(r.Context(), func() { _ = c.Close() })
	fail := func(err error) (*http.Response, error) {
		stop()
		_ = c.Close()
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return fail(err)
	}
	fmt.Fprintf(c, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", r.Method, r.URL.RequestURI(), r.Host, len(body))
	_ = r.Header.Write(c) // reading the answer fails, too
	_, _ = c.Write(append([]byte("\r\n"), body...))
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return fail(err)
	}
	resp.Body = &connBody{resp.Body, c, stop}
	return resp, nil
}

// connBody is the body of an answer on a connection of its own.
type connBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close closes the connection.
func (b *connBody) Close() error {
	b.stop()
	return b.conn.Close()
}

// checkAnswer checks the answer to one request, and stores the request for the
// checks at the end of the run.
func (w *world) checkAnswer(r *request) {
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.mu.Unlock()
	if ok, since := r.host.running(); ok && since > r.duration && r.duration > r.timeout()+answerSlack {
		w.failf("request %s at %s had no final answer after %v", r.attempt, r.host.name, r.duration)
	}
	if r.status != http.StatusOK {
		return
	}
	want := standin.Body(r.token, []byte(r.token))
	if strings.HasSuffix(r.kind, "stream") {
		want = ""
		for n := 1; n <= standin.Events; n++ {
			want += standin.Event(r.token, n)
		}
	}
	switch {
	case r.seal == "":
		w.failf("request %s: status 200 without the header that backend servers add", r.attempt)
	case !r.incomplete && r.body != want:
		w.failf("request %s: complete answer %q, want %q", r.attempt, r.body, want)
	case r.incomplete && !strings.HasPrefix(want, r.body):
		w.failf("request %s: truncated answer %q is not a prefix of the expected one", r.attempt, r.body)
	}
}
