package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond // heartbeat-ms

type (
	// run is a request that has reached a runner.
	run struct {
		attempt, runner string
		at              time.Time
		executed        bool
		method, path    string
	}

	// runner is a stand-in of one runner, with connections of its own.
	runner struct {
		fleet   *fleet
		id      string
		service string
		zone    string
		addr    string
		slots   int
		answer  answerFunc

		mu       sync.Mutex
		sequence int
		listener net.Listener
		conns    map[net.Conn]bool
		runs     []run
		gone     bool
		draining bool
	}

	// answerFunc writes the answer to a request, and reports whether the connection is kept.
	answerFunc func(x *runner, c net.Conn, r *http.Request) bool
)

// addRunner starts a runner and writes its entry.
func (f *fleet) addRunner(id, service, zone string, slots int, answer answerFunc) (*runner, error) {
	n := len(f.runners) + 1
	x := &runner{
		fleet: f, id: id, service: service, zone: zone, slots: slots, answer: answer,
		addr: fmt.Sprintf("%s.%d:%d", f.net, 100+n, f.base+10), conns: map[net.Conn]bool{},
	}
	f.runners = append(f.runners, x)
	return x, x.listen()
}

func (x *runner) listen() error {
	l, err := net.Listen("tcp4", x.addr)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.listener = l
	x.mu.Unlock()
	x.beat()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conns[c] = true
			x.mu.Unlock()
			go x.serve(c)
		}
	}()
	go x.heartbeat(l)
	return nil
}

// heartbeat writes the entry every 1.2 s while the runner runs.
func (x *runner) heartbeat(l net.Listener) {
	for range time.Tick(heartbeat) {
		x.mu.Lock()
		ended := x.gone || x.listener != l
		x.mu.Unlock()
		if ended {
			return
		}
		x.beat()
	}
}

func (x *runner) beat() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gone {
		return
	}
	state := "ready"
	if x.draining {
		state = "draining"
	}
	x.fleet.store.put("servers", x.id, map[string]any{
		"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": x.slots, "state": state,
		"cold-left-ms": 0, "stage": "hybrid", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": x.sequence,
	})
}

// drain says that the runner is leaving.
func (x *runner) drain() {
	x.mu.Lock()
	x.draining = true
	x.mu.Unlock()
	x.beat()
	x.fleet.rec.line("%s is draining", x.id)
}

// crash ends the runner with all its connections. Its entry goes after three heartbeats.
func (x *runner) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gone = true
	_ = x.listener.Close()
	for c := range x.conns {
		_ = c.Close()
	}
	x.conns = map[net.Conn]bool{}
	x.fleet.rec.line("%s crashes", x.id)
	id := x.id
	time.AfterFunc(3*heartbeat, func() { x.fleet.store.remove("servers", id) })
}

// restart starts the runner again at its address, as another incarnation.
func (x *runner) restart(id string) error {
	x.mu.Lock()
	x.gone, x.id = false, id
	x.mu.Unlock()
	x.fleet.rec.line("%s starts", id)
	return x.listen()
}

func (x *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		x.mu.Lock()
		delete(x.conns, c)
		x.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		x.mu.Lock()
		id := x.id
		x.mu.Unlock()
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		attempt := r.Header.Get("X-Attempt-Id")
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
			_, _ = io.Copy(io.Discard, r.Body)
			x.arrived(r, false)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, id)
			continue
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == "/order" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"free\":1000}")
			continue
		}
		x.arrived(r, true)
		if !x.answer(x, c, r) {
			return
		}
	}
}

// arrived records a request that has reached the runner.
func (x *runner) arrived(r *http.Request, executed bool) {
	a := run{
		attempt: r.Header.Get("X-Attempt-Id"), runner: x.id, at: time.Now(), executed: executed,
		method: r.Method, path: r.RequestURI,
	}
	x.mu.Lock()
	x.runs = append(x.runs, a)
	x.mu.Unlock()
	x.fleet.rec.line("%s gets %s %s of attempt %s, runs it: %t", x.id, a.method, a.path, a.attempt, a.executed)
}

// arrivals returns the requests that have reached the runner.
func (x *runner) arrivals() []run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]run(nil), x.runs...)
}

// head returns the head of a sound answer, without its framing.
func head(x *runner, status int, r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\n", status, http.StatusText(status), r.Header.Get("X-Attempt-Id"), x.id)
}

// plain answers with a body of its own after some work.
func plain(work time.Duration) answerFunc {
	return func(x *runner, c net.Conn, r *http.Request) bool {
		time.Sleep(work)
		text := fmt.Sprintf("answer of %s to %s", x.id, r.Header.Get("X-Attempt-Id"))
		_, err := fmt.Fprintf(c, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head(x, 200, r), len(text), text)
		return err == nil
	}
}

// stream answers with events in chunks, and goes on after Last-Event-Id.
func stream(events int, first, gap time.Duration) answerFunc {
	return func(x *runner, c net.Conn, r *http.Request) bool {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		time.Sleep(first)
		if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(x, 200, r)); err != nil {
			return false
		}
		for n := after + 1; n <= events; n++ {
			e := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get("X-Attempt-Id"))
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				return false
			}
			time.Sleep(gap)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}
