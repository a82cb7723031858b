package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/limit"
	"slipcrank.example/core/pause"
	"slipcrank.example/core/schedule"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/decision"
	"slipcrank.example/daemon/gateway"
	"slipcrank.example/daemon/memory"
	"slipcrank.example/daemon/telemetry"
	"slipcrank.example/daemon/upstream"
)

// dialect names headers as no platform does, so that the tests stand for all.
var dialect = gateway.Dialect{
	Attempt: "Try", Deadline: "Wait-Ms", Workspace: "Workspace", Expect: "Only", NotRun: "Not-Run",
	LastEvent: "After-Event", Urgency: "Rank", Readers: "Readers", Size: "Size", AnswerHint: "Hint",
	KeyScheme: "Key ", Private: []string{"Authorization", "Workspace", "Only", "Rank", "Readers", "Host", "Content-Length"},
}

// engine reads a prompt of 10,000 tokens in a tenth of a second.
var engine = &site.Engine{Slots: 4, Memory: 100_000, Stride: 1, Step: time.Millisecond, ReadRate: 100_000, Chunk: 1000}

type (
	// server is a backend server that answers as a test says.
	server struct {
		addr     string
		listener net.Listener

		mu  sync.Mutex
		got []received
	}

	received struct {
		request *http.Request
		body    string
	}

	// reply writes one answer; the connection is closed if it returns false.
	reply func(r *http.Request, w io.Writer) bool

	fixture struct {
		t       *testing.T
		front   *httptest.Server
		gateway *gateway.Gateway
		board   *schedule.Board
		metrics *telemetry.Metrics
		servers []*server
		view    *backend.View
		config  *site.Config
		fresh   bool
		// reserved counts orders for memory, of which there is none.
		reserved atomic.Int64
	}
)

// serve starts a backend server.
func serve(t *testing.T, answer reply) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{addr: l.Addr().String(), listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.talk(c, answer)
		}
	}()
	return s
}

func (s *server) talk(c net.Conn, answer reply) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.got = append(s.got, received{r, string(body)})
		s.mu.Unlock()
		if !answer(r, c) {
			return
		}
	}
}

func (s *server) received() []received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]received(nil), s.got...)
}

// plain answers with a status, a mark and a body.
func plain(status int, body string, more ...string) reply {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nTry: %s\r\nSeal: s\r\nContent-Length: %d\r\n%s\r\n%s",
			status, r.Header.Get("Try"), len(body), strings.Join(more, ""), body)
		return true
	}
}

// start puts a gateway before servers.
func start(t *testing.T, answers ...reply) *fixture {
	t.Helper()
	return startWith(t, nil, answers...)
}

// startWith starts a gateway with more options.
func startWith(t *testing.T, more []gateway.Option, answers ...reply) *fixture {
	t.Helper()
	f := &fixture{t: t, fresh: true}
	book := backend.NewRegistry()
	for i, a := range answers {
		s := serve(t, a)
		f.servers = append(f.servers, s)
		book.Put(backend.Server{ID: fmt.Sprintf("i%d", i), Service: "plain", Addr: s.addr, Slots: 4}, int64(i+1))
	}
	for i, s := range f.servers {
		book.Put(backend.Server{ID: fmt.Sprintf("e%d", i), Service: "engine", Addr: s.addr, Slots: 4}, int64(100+i))
	}
	f.view = book.View(0)
	route := func(name string, k site.Kind, attempts int) site.Route {
		return site.Route{
			Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: k, Attempts: attempts,
			Timeout: 5 * time.Second, Objective: time.Second, Gap: time.Second, Resume: name == "resume",
			Targets: []site.Target{{Service: "plain", Weight: 1}},
		}
	}
	public := route("public", site.Repeatable, 1)
	public.Public = true
	quick := route("quick", site.Repeatable, 2)
	quick.Objective = 100 * time.Millisecond
	late := route("late", site.Stream, 2)
	late.Objective, late.Gap, late.Targets[0].Service = time.Nanosecond, 100*time.Millisecond, "engine"
	read := route("read", site.Stream, 2)
	read.Objective, read.Targets = 2*time.Second, late.Targets
	wait := route("wait", site.Stream, 2)
	wait.Objective, wait.Gap, wait.Targets, wait.Resume = 1500*time.Millisecond, 100*time.Millisecond, late.Targets, true
	split := route("split", site.Stream, 1)
	split.Targets = late.Targets
	f.config = site.New(1, []site.Route{
		route("safe", site.Repeatable, 2), route("once", site.Once, 1), route("once-two", site.Once, 2),
		route("resume", site.Stream, 2), route("stream", site.Stream, 2), public,
		late, quick, read, wait, split,
	}, []site.Service{{Name: "plain"}, {Name: "engine", Engine: engine}}, map[string]site.Workspace{"k1": {Name: "w1"}},
		site.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 10})
	l := decision.New(io.Discard)
	t.Cleanup(l.Close)
	budget := limit.NewRetryWindow(10*time.Second, 0.2, func() float64 { return 10 })
	f.board, f.metrics = schedule.NewBoard(1), telemetry.NewMetrics()
	os := append([]gateway.Option{
		gateway.WithProof(gateway.Proof{
			Keys:    func() bool { return f.fresh },
			Config:  func() bool { return f.fresh },
			Age:     func() time.Duration { return 0 },
			Servers: func() time.Duration { return 0 },
		}),
		gateway.WithMemory(memory.New(memory.Orders{
			Reserve: func(context.Context, string, string, int, time.Duration) error {
				f.reserved.Add(1)
				return memory.ErrInsufficientMemory
			},
			Release: func(context.Context, string, string) error { return nil },
		}, l)),
	}, more...)
	f.gateway = gateway.New(dialect, func() gateway.State { return gateway.State{Config: f.config, Servers: f.view} },
		upstream.New(), f.board, budget, l, f.metrics, os...)
	f.front = httptest.NewServer(f.gateway)
	t.Cleanup(f.front.Close)
	return f
}

// answer is what a caller sees.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the answer was cut
	close  bool  // it is the last of its connection
}

// ask sends a request; headers are pairs of name and value.
func (f *fixture) ask(method, path, body string, headers ...string) answer {
	f.t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, f.front.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set("Try", "t1")
	r.Header.Set("Authorization", "Key k1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, a.Header, string(b), err, a.Close}
}

func (f *fixture) runs() int {
	n := 0
	for _, s := range f.servers {
		n += len(s.received())
	}
	return n
}

func TestRequestPassesUntouched(t *testing.T) {
	f := start(t, plain(200, "fine"))
	a := f.ask("POST", "/safe/x%2Fy/../z?b=2&a=1", "the body", "X-Own", "v", "Workspace", "forged", "Only", "forged", "Wait-Ms", "900")
	if a.status != 200 || a.body != "fine" || a.header.Get("Seal") != "s" {
		t.Fatalf("got %+v", a)
	}
	got := f.servers[0].received()[0]
	if got.request.RequestURI != "/safe/x%2Fy/../z?b=2&a=1" || got.body != "the body" || got.request.Method != "POST" {
		t.Errorf("the server got %s %s %q", got.request.Method, got.request.RequestURI, got.body)
	}
	h := got.request.Header
	for name, want := range map[string]string{"X-Own": "v", "Workspace": "w1", "Only": "i0", "Try": "t1", "Authorization": ""} {
		if h.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, h.Get(name), want)
		}
	}
	if ms := h.Get("Wait-Ms"); ms == "" || len(ms) > 3 || ms > "900" {
		t.Errorf("the deadline passed on is %q, want what is left of 900", ms)
	}
}

func TestWhatTheCallerIsTold(t *testing.T) {
	broken := func(_ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		return false
	}
	closed := func(*http.Request, io.Writer) bool { return false }
	noAnswer := func(_ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "what is this\r\n\r\n")
		return false
	}
	notRun := plain(503, "full", "Not-Run: 1\r\n")
	fine := plain(200, "fine")
	for name, tc := range map[string]struct {
		path    string
		answers []reply
		status  int
		runs    int
		seal    string
	}{
		"once, broken off":               {"/once-two/", []reply{broken, broken}, 502, 1, ""},
		"once, closed":                   {"/once-two/", []reply{closed, closed}, 502, 1, ""},
		"once, bytes that are no answer": {"/once-two/", []reply{noAnswer, noAnswer}, 502, 1, ""},
		"once, not run, one attempt":     {"/once/", []reply{notRun, fine}, 503, 1, ""},
		"once, 503 that may have run":    {"/once/", []reply{plain(503, "x")}, 502, 1, ""},
		"once, 429 that may have run":    {"/once/", []reply{plain(429, "x")}, 502, 1, ""},
		"once, failure of the server":    {"/once/", []reply{plain(500, "x")}, 500, 1, "s"},
		"once, refused by each":          {"/once-two/", []reply{notRun, notRun}, 503, 2, ""},
		"safe, failure of each":          {"/safe/", []reply{plain(500, "x"), plain(500, "x")}, 500, 2, "s"},
		"safe, broken off by each":       {"/safe/", []reply{broken, broken}, 502, 2, ""},
		"no route":                       {"/none/", []reply{fine}, 404, 0, ""},
		"client error of the server":     {"/safe/", []reply{plain(400, "x")}, 400, 1, "s"},
		"once, no length, closed at its end": {"/once/", []reply{func(_ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nfine")
			return false
		}}, 200, 1, "s"},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, tc.answers...)
			a := f.ask("POST", tc.path, "b")
			if a.err != nil || a.status != tc.status || f.runs() != tc.runs || a.header.Get("Seal") != tc.seal {
				t.Errorf("status %d, seal %q, error %v after %d runs, want %d, %q after %d",
					a.status, a.header.Get("Seal"), a.err, f.runs(), tc.status, tc.seal, tc.runs)
			}
			if a.status == 503 && a.header.Get("Retry-After") == "" {
				t.Error("a refusal doesn't tell when to come back")
			}
		})
	}
}

func TestSafeRequestIsTriedElsewhere(t *testing.T) {
	var mu sync.Mutex
	first := true
	flaky := func(r *http.Request, w io.Writer) bool {
		mu.Lock()
		defer mu.Unlock()
		if first {
			first = false
			return plain(500, "x")(r, w)
		}
		return plain(200, "fine")(r, w)
	}
	f := start(t, flaky, flaky)
	if a := f.ask("GET", "/safe/", ""); a.status != 200 || f.runs() != 2 {
		t.Errorf("status %d after %d runs, want 200 after 2", a.status, f.runs())
	}
}

func TestKeys(t *testing.T) {
	for name, tc := range map[string]struct {
		path, key string
		fresh     bool
		want      int
	}{
		"known":                  {"/safe/", "Key k1", true, 200},
		"unknown":                {"/safe/", "Key no", true, 401},
		"none":                   {"/safe/", "", true, 401},
		"none on a public route": {"/public/", "", true, 200},
		"known, not proven":      {"/safe/", "Key k1", false, 503},
		"unknown, not proven":    {"/safe/", "Key no", false, 503},
		"no route, not proven":   {"/none/", "Key k1", false, 503},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, plain(200, "fine"))
			f.fresh = tc.fresh
			if a := f.ask("GET", tc.path, "", "Authorization", tc.key); a.status != tc.want {
				t.Errorf("status %d, want %d", a.status, tc.want)
			}
		})
	}
}

func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	f := start(t, func(r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTry: other\r\nContent-Length: 5\r\n\r\nwrong")
		return plain(200, "right")(r, w)
	})
	if a := f.ask("POST", "/once/", "b"); a.status != 200 || a.body != "right" {
		t.Errorf("got %d %q", a.status, a.body)
	}
}

func TestSurplusBytesReachNobody(t *testing.T) {
	f := start(t, func(r *http.Request, w io.Writer) bool {
		plain(200, "right")(r, w)
		return plain(200, "wrong")(r, w)
	})
	for n := range 3 {
		if a := f.ask("POST", "/once/", "b", "Try", fmt.Sprintf("t%d", n)); a.status != 200 || a.body != "right" {
			t.Errorf("got %d %q", a.status, a.body)
		}
	}
}

func TestTooLargeBody(t *testing.T) {
	f := start(t, plain(200, "fine"))
	if a := f.ask("POST", "/once/", strings.Repeat("x", 2<<10)); a.status != 413 || f.runs() != 0 {
		t.Errorf("status %d after %d runs, want 413 after none", a.status, f.runs())
	}
}

func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	reached, ended := make(chan struct{}), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		close(reached)
		_, _ = io.Copy(io.Discard, c) // ends as the connection is closed
		close(ended)
	}()
	f := start(t, plain(200, "unused"))
	book := backend.NewRegistry()
	book.Put(backend.Server{ID: "i", Service: "plain", Addr: l.Addr().String(), Slots: 1}, 1)
	f.view = book.View(0)
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nTry: t\r\nAuthorization: Key k1\r\nContent-Length: 1\r\n\r\nb")
	<-reached
	_ = c.Close()
	<-ended
}

// TestCallerThatStopsReadingIsGivenUp has a stream that is longer than what
// connections hold, and a caller that reads nothing of it.
func TestCallerThatStopsReadingIsGivenUp(t *testing.T) {
	f := start(t, func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Try"))
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 100<<10)); err != nil {
				return false
			}
		}
	})
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /stream/ HTTP/1.1\r\nHost: shop.example\r\nTry: t\r\nWait-Ms: 300\r\nAuthorization: Key k1\r\nContent-Length: 1\r\n\r\nb")
	by := time.Now().Add(10 * time.Second)
	for f.runs() == 0 || f.gateway.Active() > 0 {
		if time.Now().After(by) {
			t.Fatalf("%d calls are in progress long after their time", f.gateway.Active())
		}
		_ = pause.For(t.Context(), 10*time.Millisecond)
	}
}

func TestAnswerWithoutBoundIsNotHeld(t *testing.T) {
	f := start(t, plain(200, strings.Repeat("x", 17<<20)))
	if a := f.ask("POST", "/once/", "b"); a.status != 502 || f.runs() != 1 {
		t.Errorf("status %d after %d runs, want 502 after 1", a.status, f.runs())
	}
}

func TestStopRefusesWhatMayNotEnd(t *testing.T) {
	f := start(t, plain(200, "fine"))
	now := time.Now()
	for name, tc := range map[string]struct {
		notice, end time.Duration
		path        string
		want        int
	}{
		"stream before the notice has passed": {time.Minute, time.Hour, "/resume/", 200},
		"stream after it":                     {-time.Minute, time.Hour, "/resume/", 503},
		"call that can end":                   {-time.Minute, time.Hour, "/safe/", 200},
		"call that may not end":               {-time.Minute, time.Second, "/safe/", 503},
	} {
		t.Run(name, func(t *testing.T) {
			f.gateway.Drain(now.Add(tc.notice), now.Add(tc.end))
			a := f.ask("POST", tc.path, "b")
			if a.status != tc.want {
				t.Errorf("status %d, want %d", a.status, tc.want)
			}
			if !a.close {
				t.Error("the connection is kept although the daemon stops")
			}
		})
	}
}
