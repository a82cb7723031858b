package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stallMS    = 1500 // stall_ms
	readPerMS  = 206  // tokens of a prompt that a runner reads in a ms
	eventGapMS = 45
	// garbleShare is x of the entry garble.
	garbleShare = 0.03
)

// engine is a stand-in of a model runner. It reads a prompt alone or with helping runners, one
// request on a connection at a time. If a helping runner is gone, the request gets 503 with
// X-Not-Executed and At-Server after stall_ms.
type engine struct {
	id, zone, addr string
	f              *fleet
	listener       net.Listener

	mu       sync.Mutex
	gone     bool // crashed
	conns    map[net.Conn]bool
	sequence int64
	garbling bool
}

func (f *fleet) startEngine(zone string) (*engine, error) {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:0", f.net, 100+f.engineCount()))
	if err != nil {
		return nil, err
	}
	e := &engine{id: "i-" + newID()[:10], zone: zone, addr: l.Addr().String(), f: f, listener: l, conns: map[net.Conn]bool{}}
	f.runMu.Lock()
	f.engines = append(f.engines, e)
	f.runMu.Unlock()
	f.rec.line("runner %s of redaccion in %s at %s", e.id, zone, e.addr)
	go e.accept()
	go e.beat()
	return e, nil
}

func (f *fleet) engineCount() int {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	return len(f.engines)
}

func (e *engine) isGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

// beat writes the entry about every heartbeat. After a crash the platform drops it when three
// heartbeats are missing.
func (e *engine) beat() {
	for !e.isGone() {
		e.sequence++
		e.f.store.put("servers", e.id, map[string]any{
			"service": "redaccion", "address": e.addr, "zone": e.zone, "version": "1", "slots": 16, "state": "ready", "cold-left-ms": 0, "sequence": e.sequence,
		})
		time.Sleep(heartbeatMS * time.Millisecond)
	}
	time.Sleep(3 * heartbeatMS * time.Millisecond)
	e.f.store.remove("servers", e.id)
}

// crash ends the runner, which says nothing: its port and its connections reset.
func (e *engine) crash() {
	e.f.rec.line("runner %s crashes", e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	surplus := "" // a second answer, that comes where the next one is due
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if surplus != "" {
			e.f.rec.line("runner %s sends the second answer, where that to %s is due", e.id, q.Header.Get("X-Attempt-Id"))
			_, _ = io.WriteString(c, surplus)
		}
		refusal, ok := e.run(c, in, q)
		if surplus = ""; refusal != "" && e.repeats() {
			surplus = refusal
		}
		if !ok {
			return
		}
	}
}

// repeats reports whether a second answer follows the refusal just sent: at any time at most three
// in a hundred of the answers that garbling runners have given so far have one.
func (e *engine) repeats() bool {
	e.f.runMu.Lock()
	defer e.f.runMu.Unlock()
	if !e.isGarbling() || float64(e.f.secondAnswers+1) > garbleShare*float64(e.f.garbledOf) {
		return false
	}
	e.f.secondAnswers++
	return true
}

func (e *engine) isGarbling() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.garbling
}

func (e *engine) setGarbling(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.garbling = on
}

// countAnswer counts an answer of a runner that is garbling.
func (e *engine) countAnswer() {
	if e.isGarbling() {
		e.f.runMu.Lock()
		defer e.f.runMu.Unlock()
		e.f.garbledOf++
	}
}

// run answers one request. It returns the refusal if it was one, and whether the connection stays
// open.
func (e *engine) run(c net.Conn, in *bufio.Reader, q *http.Request) (string, bool) {
	e.countAnswer()
	attempt := q.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + attempt + "\r\n"
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"X-Not-Executed: 1\r\nX-Instance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n")
		return "", err == nil
	}
	prompt, _, _ := strings.Cut(q.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	parts := 1
	for h := range strings.SplitSeq(q.Header.Get("Helpers"), ",") {
		if h = strings.TrimSpace(h); h == "" {
			continue
		}
		addr, _, _ := strings.Cut(h, "/")
		if parts++; e.f.engineGone(addr) {
			time.Sleep(stallMS * time.Millisecond)
			refusal := "HTTP/1.1 503 Service Unavailable\r\n" + head + "X-Not-Executed: 1\r\nAt-Server: " + addr + "\r\nContent-Length: 0\r\n\r\n"
			e.f.rec.line("runner %s answers 503 to %s: not executed, At-Server %s", e.id, attempt, addr)
			_, err := io.WriteString(c, refusal)
			return refusal, err == nil
		}
	}
	time.Sleep(time.Duration(float64(tokens)/readPerMS/float64(parts)*float64(time.Millisecond)) + 10*time.Millisecond)
	if e.isGone() || closed(c, in) {
		return "", false
	}
	e.f.began(run{attempt: attempt, runner: e.id, at: e.f.rec.now()})
	e.f.rec.line("runner %s runs %s %s %s", e.id, q.Method, q.RequestURI, attempt)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"X-Response-Seal: "+e.id+"."+attempt+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return "", false
	}
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= 16; n++ {
		text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, attempt)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return "", false
		}
		time.Sleep(eventGapMS * time.Millisecond)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return "", err == nil
}

// closed reports whether the caller has closed its connection: the request is dropped then.
func closed(c net.Conn, in *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// engineGone reports whether the runner at an address has crashed.
func (f *fleet) engineGone(addr string) bool {
	for _, e := range f.liveEngines() {
		if e.addr == addr {
			return false
		}
	}
	return true
}

// liveEngines returns the runners that haven't crashed.
func (f *fleet) liveEngines() []*engine {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	var live []*engine
	for _, e := range f.engines {
		if !e.isGone() {
			live = append(live, e)
		}
	}
	return live
}

func (f *fleet) began(r run) {
	f.runMu.Lock()
	defer f.runMu.Unlock()
	f.streamRuns = append(f.streamRuns, r)
}
