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
	callerHost = "soak.example"
	// deadline is how long a caller waits; answerSlack is how much later its
	// end may be seen on a busy machine.
	deadline    = 2500 * time.Millisecond
	answerSlack = 2 * time.Second
	callerPause = 15 * time.Millisecond
)

var serial atomic.Int64

// request is one attempt of a caller and what became of it.
type request struct {
	attempt, token, key string
	kind                string
	host                *host
	sent                time.Time
	took                time.Duration
	status              int // 0 for none
	body                string
	seal                string
	cut                 bool
}

// call sends requests to hosts, over connections that it keeps, until ctx
// ends.
func (w *world) call(ctx context.Context, rnd *rand.Rand) {
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
			key:  w.anyKey(rnd),
			host: w.hosts[rnd.IntN(len(w.hosts))],
		}
		n := serial.Add(1)
		r.attempt, r.token = fmt.Sprintf("a%d", n), fmt.Sprintf("t%d", n)
		w.send(t, r)
		w.checkAnswer(r)
		time.Sleep(callerPause)
	}
}

func (w *world) send(t *http.Transport, r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*answerSlack)
	defer cancel()
	d := platform.Dialect()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.host.addr()+"/"+r.kind+"/"+r.token, strings.NewReader(r.token))
	if err != nil {
		panic(err) // the address is made in this package
	}
	// Nothing may be sent a second time by the library.
	q.GetBody = nil
	q.Host = callerHost
	q.Header.Set(d.AttemptID, r.attempt)
	q.Header.Set(d.Deadline, fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Authorization", d.KeyScheme+r.key)
	r.sent = time.Now()
	defer func() { r.took = time.Since(r.sent) }()
	a, err := t.RoundTrip(q)
	if err != nil {
		r.cut = true
		return
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	r.status, r.body, r.seal, r.cut = a.StatusCode, string(b), a.Header.Get(standin.SealHeader), err != nil
}

// checkAnswer checks what one caller saw, and keeps the request for what can
// only be checked at the end.
func (w *world) checkAnswer(r *request) {
	w.mu.Lock()
	w.requests = append(w.requests, r)
	w.mu.Unlock()
	if ok, since := r.host.running(); ok && since > r.took && r.took > deadline+answerSlack {
		w.fail("request %s at %s had no final answer after %v", r.attempt, r.host.name, r.took)
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
		w.fail("request %s: a success without a server's mark", r.attempt)
	case !r.cut && r.body != want:
		w.fail("request %s: complete answer %q, want %q", r.attempt, r.body, want)
	case r.cut && !strings.HasPrefix(want, r.body):
		w.fail("request %s: cut answer %q is no part of its own", r.attempt, r.body)
	}
}
