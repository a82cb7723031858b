package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// run is a request that a runner has begun to work on.
	run struct {
		attempt, tenant, runner string
		at                      time.Duration
	}

	// runner is a stand-in of a runner of a plain service. It is sound unless spoil is set.
	runner struct {
		id, service, zone string
		addr              string
		rec               *record
		store             *store
		work              time.Duration
		// spoil returns what a faulty runner makes of an answer.
		spoil func(answer string) string

		mu       sync.Mutex
		runs     []run
		sequence int64
		ended    chan struct{}
	}
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// startRunner starts a runner, and enters it in the store.
func (f *fleet) startRunner(service, zone string, work time.Duration) (*runner, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:0", f.net, 100+len(f.runners)))
	if err != nil {
		return nil, err
	}
	r := &runner{id: "i-" + newID()[:10], service: service, zone: zone, addr: l.Addr().String(), rec: f.rec, store: f.store, work: work, spoil: func(answer string) string { return answer }, ended: make(chan struct{})}
	f.runners = append(f.runners, r)
	go r.accept(l)
	go r.beat()
	f.rec.line("runner %s of %s in %s at %s", r.id, service, zone, r.addr)
	return r, nil
}

// beat writes the runner's entry about every heartbeat.
func (r *runner) beat() {
	for {
		r.mu.Lock()
		r.sequence++
		r.store.put("servers", r.id, map[string]any{
			"service": r.service, "address": r.addr, "zone": r.zone, "version": "1", "slots": 6, "state": "ready", "cold-left-ms": 0, "sequence": r.sequence,
		})
		r.mu.Unlock()
		select {
		case <-r.ended:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve answers the requests on one connection, one at a time.
func (r *runner) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, r.answer(q, body)); err != nil {
			return
		}
	}
}

// answer runs one request, and returns the bytes of the answer.
func (r *runner) answer(q *http.Request, body []byte) string {
	attempt := q.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + attempt + "\r\n"
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "X-Instance-Id: " + r.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if attempt == "" {
		return "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	r.mu.Lock()
	one := run{attempt: attempt, tenant: q.Header.Get("X-Tenant"), runner: r.id, at: r.rec.now()}
	r.runs = append(r.runs, one)
	r.mu.Unlock()
	r.rec.line("runner %s runs %s %s %s, X-Tenant %q", r.id, q.Method, q.RequestURI, attempt, one.tenant)
	time.Sleep(r.work)
	text := "order page of " + attempt + "\n" + string(body)
	return r.spoil(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Response-Seal: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, r.id, attempt, len(text), text))
}

// allRuns returns the runs of all runners.
func (f *fleet) allRuns() []run {
	var all []run
	for _, r := range f.runners {
		r.mu.Lock()
		all = append(all, r.runs...)
		r.mu.Unlock()
	}
	return all
}
