package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	sentAt              time.Time
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
		w.send(t, r)
		w.checkAnswer(r)
		time.Sleep(callerInterval)
	}
}

func (w *world) send(t *http.Transport, r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+2*answerSlack)
	defer cancel()
	d := platform.Dialect()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.host.addr()+"/"+r.kind+"/"+r.token, strings.NewReader(r.token))
	if err != nil {
		panic(err) // the URL is built by this package
	}
	// Without GetBody, the HTTP client can't send the request a second time.
	httpReq.GetBody = nil
	httpReq.Host = siteHost
	httpReq.Header.Set(d.AttemptID, r.attempt)
	httpReq.Header.Set(d.Deadline, fmt.Sprint(requestDeadline.Milliseconds()))
	httpReq.Header.Set("Authorization", d.KeyScheme+r.key)
	r.sentAt = time.Now()
	defer func() { r.duration = time.Since(r.sentAt) }()
	resp, err := t.RoundTrip(httpReq)
	if err != nil {
		r.incomplete = true
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.seal, r.incomplete = resp.StatusCode, string(body), resp.Header.Get(standin.SealHeader), err != nil
}

// checkAnswer checks the answer to one request, and stores the request for the
// checks at the end of the run.
func (w *world) checkAnswer(r *request) {
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.mu.Unlock()
	if ok, since := r.host.running(); ok && since > r.duration && r.duration > requestDeadline+answerSlack {
		w.failf("request %s at %s had no final answer after %v", r.attempt, r.host.name, r.duration)
	}
	if r.status != http.StatusOK {
		return
	}
	want := standin.Body(r.token, []byte(r.token))
	if r.kind == "stream" {
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
