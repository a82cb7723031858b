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

// dialect uses header names of no existing platform, so that the tests don't depend on
// one.
var dialect = gateway.Dialect{
	AttemptID: "Try", Deadline: "Wait-Ms", Workspace: "Workspace", ExpectInstance: "Only", NotRun: "Not-Run", Seal: "Seal", FaultyServer: "At", Leaving: "Leaving",
	LastEventID: "After-Event", Urgency: "Rank", Helpers: "Readers", TokenCounts: "Size", AnswerHint: "Hint",
	KeyScheme: "Key ", NotForwarded: []string{"Authorization", "Workspace", "Only", "Rank", "Readers", "Host", "Content-Length"},
}

// transport accepts no encoded bodies, as callers do.
var transport = &http.Transport{DisableCompression: true}

// engine is the model of an engine that reads a prompt of 10,000 tokens in 0.1 s.
var engine = &site.Engine{Slots: 4, Memory: 100_000, StepsPerPass: 1, StepTime: time.Millisecond, PrefillRate: 100_000, PrefillChunk: 1000}

type (
	// server is a backend server whose answers are defined by a test.
	server struct {
		addr     string
		listener net.Listener

		mu       sync.Mutex
		requests []received
	}

	received struct {
		request *http.Request
		body    string
	}

	// reply writes one answer; the connection is closed if it returns false.
	reply func(r *http.Request, w io.Writer) bool

	fixture struct {
		t             *testing.T
		httpServer    *httptest.Server
		gateway       *gateway.Gateway
		scheduler     *schedule.Scheduler
		metrics       *telemetry.Metrics
		servers       []*server
		view          *backend.View
		config        *site.Config
		configCurrent bool
		log           logLines
		decisions     *decision.Log
		// reserved counts memory reservations. They fail, except on the servers whose
		// addresses are in hasMemory.
		reserved  atomic.Int64
		hasMemory map[string]bool
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
			go s.serveConn(c, answer)
		}
	}()
	return s
}

func (s *server) serveConn(c net.Conn, answer reply) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, received{r, string(body)})
		s.mu.Unlock()
		if !answer(r, c) {
			return
		}
	}
}

func (s *server) received() []received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]received(nil), s.requests...)
}

// plainReply answers with a status, additional header lines and a body.
func plainReply(status int, body string, headers ...string) reply {
	return func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nTry: %s\r\nSeal: s\r\nContent-Length: %d\r\n%s\r\n%s",
			status, r.Header.Get("Try"), len(body), strings.Join(headers, ""), body)
		return true
	}
}

// start starts a gateway in front of servers.
func start(t *testing.T, answers ...reply) *fixture {
	t.Helper()
	return startWith(t, nil, answers...)
}

// startWith starts a gateway with additional options.
func startWith(t *testing.T, extra []gateway.Option, answers ...reply) *fixture {
	t.Helper()
	f := &fixture{t: t, configCurrent: true}
	registry := backend.NewRegistry()
	for i, a := range answers {
		s := serve(t, a)
		f.servers = append(f.servers, s)
		registry.Put(backend.Server{ID: fmt.Sprintf("i%d", i), Service: "plain", Addr: s.addr, Slots: 4}, int64(i+1))
	}
	for i, s := range f.servers {
		registry.Put(backend.Server{ID: fmt.Sprintf("e%d", i), Service: "engine", Addr: s.addr, Slots: 4}, int64(100+i))
	}
	f.view = registry.View(0)
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
	}, []site.Service{{Name: "plain"}, {Name: "engine", Engine: engine}}, site.KeysOf(map[string]site.Workspace{"k1": {Name: "w1"}}),
		site.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 10})
	l := decision.New(&f.log)
	f.decisions = l
	t.Cleanup(l.Close)
	budget := limit.NewRetryWindow(10*time.Second, 0.2, func() float64 { return 10 })
	f.scheduler, f.metrics = schedule.New(1), telemetry.NewMetrics()
	opts := append([]gateway.Option{
		gateway.WithFreshness(gateway.Freshness{
			KeysTrusted:   func() bool { return f.configCurrent },
			ConfigCurrent: func() bool { return f.configCurrent },
			ConfigAge:     func() time.Duration { return 0 },
			ServersAge:    func() time.Duration { return 0 },
		}),
		gateway.WithMemory(memory.New(memory.Orders{
			Reserve: func(_ context.Context, addr, _ string, _ int, _ time.Duration) error {
				f.reserved.Add(1)
				if f.hasMemory[addr] {
					return nil
				}
				return memory.ErrInsufficientMemory
			},
			Release: func(context.Context, string, string) error { return nil },
		}, l)),
	}, extra...)
	f.gateway = gateway.New(dialect, func() gateway.State { return gateway.State{Config: f.config, Servers: f.view} },
		upstream.New(), f.scheduler, budget, l, f.metrics, opts...)
	f.httpServer = httptest.NewUnstartedServer(f.gateway)
	f.httpServer.Config.ConnContext = gateway.ConnContext
	f.httpServer.Start()
	t.Cleanup(f.httpServer.Close)
	return f
}

// answer is what a caller receives.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the answer was truncated
	close  bool  // the server closes the connection after it

	trailer http.Header
}

// do sends a request; headers are pairs of name and value.
func (f *fixture) do(method, path, body string, headers ...string) answer {
	f.t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, f.httpServer.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set("Try", "t1")
	r.Header.Set("Authorization", "Key k1")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	a, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, a.Header, string(b), err, a.Close, a.Trailer}
}

func (f *fixture) requestCount() int {
	n := 0
	for _, s := range f.servers {
		n += len(s.received())
	}
	return n
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	f := start(t, plainReply(200, "fine"))
	a := f.do("POST", "/safe/x%2Fy/../z?b=2&a=1", "the body", "X-Own", "v", "Workspace", "forged", "Only", "forged", "Wait-Ms", "900")
	if a.status != 200 || a.body != "fine" || a.header.Get("Seal") != "s" {
		t.Fatalf("got %+v", a)
	}
	got := f.servers[0].received()[0]
	if got.request.RequestURI != "/safe/x%2Fy/../z?b=2&a=1" || got.body != "the body" || got.request.Method != "POST" {
		t.Errorf("the server received %s %s %q", got.request.Method, got.request.RequestURI, got.body)
	}
	h := got.request.Header
	for name, want := range map[string]string{"X-Own": "v", "Workspace": "w1", "Only": "i0", "Try": "t1", "Authorization": ""} {
		if h.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, h.Get(name), want)
		}
	}
	if ms := h.Get("Wait-Ms"); ms == "" || len(ms) > 3 || ms > "900" {
		t.Errorf("the forwarded deadline is %q ms, want what remains of 900 ms", ms)
	}
}

func TestAnswersToCallers(t *testing.T) {
	broken := func(_ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nContent-Length: 100\r\n\r\nhalf")
		return false
	}
	closed := func(*http.Request, io.Writer) bool { return false }
	garbage := func(_ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "what is this\r\n\r\n")
		return false
	}
	notRun := plainReply(503, "full", "Not-Run: 1\r\n")
	fine := plainReply(200, "fine")
	for name, tc := range map[string]struct {
		path    string
		answers []reply
		status  int
		runs    int
		seal    string
	}{
		"once, truncated answer":         {"/once-two/", []reply{broken, broken}, 502, 1, ""},
		"once, closed without an answer": {"/once-two/", []reply{closed, closed}, 502, 1, ""},
		"once, malformed answer":         {"/once-two/", []reply{garbage, garbage}, 502, 1, ""},
		"once, not run, one attempt":     {"/once/", []reply{notRun, fine}, 503, 1, ""},
		"once, 503 that may have run":    {"/once/", []reply{plainReply(503, "x")}, 502, 1, ""},
		"once, 429 that may have run":    {"/once/", []reply{plainReply(429, "x")}, 502, 1, ""},
		"once, server error":             {"/once/", []reply{plainReply(500, "x")}, 500, 1, "s"},
		"once, not run by any server":    {"/once-two/", []reply{notRun, notRun}, 503, 2, ""},
		"safe, server error on each":     {"/safe/", []reply{plainReply(500, "x"), plainReply(500, "x")}, 500, 2, "s"},
		"safe, truncated answer on each": {"/safe/", []reply{broken, broken}, 502, 2, ""},
		"no route":                       {"/none/", []reply{fine}, 404, 0, ""},
		"client error from the server":   {"/safe/", []reply{plainReply(400, "x")}, 400, 1, "s"},
		"once, no length, ended by closing": {"/once/", []reply{func(_ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\n\r\nfine")
			return false
		}}, 200, 1, "s"},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, tc.answers...)
			a := f.do("POST", tc.path, "b")
			if a.err != nil || a.status != tc.status || f.requestCount() != tc.runs || a.header.Get("Seal") != tc.seal {
				t.Errorf("status %d, seal %q, error %v after %d runs, want %d, %q after %d",
					a.status, a.header.Get("Seal"), a.err, f.requestCount(), tc.status, tc.seal, tc.runs)
			}
			if a.status == 503 && a.header.Get("Retry-After") == "" {
				t.Error("a refusal without Retry-After")
			}
		})
	}
}

func TestRepeatableRequestIsRetriedOnAnotherServer(t *testing.T) {
	var mu sync.Mutex
	first := true
	flaky := func(r *http.Request, w io.Writer) bool {
		mu.Lock()
		defer mu.Unlock()
		if first {
			first = false
			return plainReply(500, "x")(r, w)
		}
		return plainReply(200, "fine")(r, w)
	}
	f := start(t, flaky, flaky)
	if a := f.do("GET", "/safe/", ""); a.status != 200 || f.requestCount() != 2 {
		t.Errorf("status %d after %d runs, want 200 after 2", a.status, f.requestCount())
	}
}

func TestKeys(t *testing.T) {
	for name, tc := range map[string]struct {
		path, key     string
		configCurrent bool
		want          int
	}{
		"known":                            {"/safe/", "Key k1", true, 200},
		"unknown":                          {"/safe/", "Key no", true, 401},
		"none":                             {"/safe/", "", true, 401},
		"none on a public route":           {"/public/", "", true, 200},
		"known, outdated configuration":    {"/safe/", "Key k1", false, 503},
		"unknown, outdated configuration":  {"/safe/", "Key no", false, 503},
		"no route, outdated configuration": {"/none/", "Key k1", false, 503},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, plainReply(200, "fine"))
			f.configCurrent = tc.configCurrent
			if a := f.do("GET", tc.path, "", "Authorization", tc.key); a.status != tc.want {
				t.Errorf("status %d, want %d", a.status, tc.want)
			}
		})
	}
}

func TestAnswerToAnotherRequestIsNotForwarded(t *testing.T) {
	f := start(t, func(r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTry: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwrong")
		return plainReply(200, "right")(r, w)
	})
	if a := f.do("POST", "/once/", "b"); a.status != 200 || a.body != "right" {
		t.Errorf("got %d %q", a.status, a.body)
	}
}

func TestSurplusBytesAreNotForwarded(t *testing.T) {
	f := start(t, func(r *http.Request, w io.Writer) bool {
		plainReply(200, "right")(r, w)
		return plainReply(200, "wrong")(r, w)
	})
	for n := range 3 {
		if a := f.do("POST", "/once/", "b", "Try", fmt.Sprintf("t%d", n)); a.status != 200 || a.body != "right" {
			t.Errorf("got %d %q", a.status, a.body)
		}
	}
}

func TestTooLargeBodyIsRefused(t *testing.T) {
	f := start(t, plainReply(200, "fine"))
	if a := f.do("POST", "/once/", strings.Repeat("x", 2<<10)); a.status != 413 || f.requestCount() != 0 {
		t.Errorf("status %d after %d runs, want 413 after none", a.status, f.requestCount())
	}
}

func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	reached, canceled := make(chan struct{}), make(chan struct{})
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
		_, _ = io.Copy(io.Discard, c) // returns when the connection is closed
		close(canceled)
	}()
	f := start(t, plainReply(200, "unused"))
	registry := backend.NewRegistry()
	registry.Put(backend.Server{ID: "i", Service: "plain", Addr: l.Addr().String(), Slots: 1}, 1)
	f.view = registry.View(0)
	c, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nTry: t\r\nAuthorization: Key k1\r\nContent-Length: 1\r\n\r\nb")
	<-reached
	_ = c.Close()
	<-canceled
}

// TestCallEndsIfCallerStopsReading sends a stream that exceeds the buffers of the
// caller's connection, to a caller that reads nothing.
func TestCallEndsIfCallerStopsReading(t *testing.T) {
	f := start(t, func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Try"))
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 100<<10)); err != nil {
				return false
			}
		}
	})
	c, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /stream/ HTTP/1.1\r\nHost: shop.example\r\nTry: t\r\nWait-Ms: 300\r\nAuthorization: Key k1\r\nContent-Length: 1\r\n\r\nb")
	end := time.Now().Add(10 * time.Second)
	for f.requestCount() == 0 || f.gateway.Active() > 0 {
		if time.Now().After(end) {
			t.Fatalf("%d calls are in progress long after their deadlines", f.gateway.Active())
		}
		_ = pause.For(t.Context(), 10*time.Millisecond)
	}
}

func TestTooLargeAnswerIsNotBuffered(t *testing.T) {
	f := start(t, plainReply(200, strings.Repeat("x", 17<<20)))
	if a := f.do("POST", "/once/", "b"); a.status != 502 || f.requestCount() != 1 {
		t.Errorf("status %d after %d runs, want 502 after 1", a.status, f.requestCount())
	}
}

func TestDrainRefusesCallsThatMayNotFinish(t *testing.T) {
	f := start(t, plainReply(200, "data: fine\n\n"))
	now := time.Now()
	for name, tc := range map[string]struct {
		refuseFrom, end time.Duration
		path            string
		want            int
	}{
		"stream before refusals start": {time.Minute, time.Hour, "/resume/", 200},
		"stream after refusals start":  {-time.Minute, time.Hour, "/resume/", 503},
		"call that can finish":         {-time.Minute, time.Hour, "/safe/", 200},
		"call that may not finish":     {-time.Minute, time.Second, "/safe/", 503},
	} {
		t.Run(name, func(t *testing.T) {
			f.gateway.Drain(now.Add(tc.refuseFrom), now.Add(tc.end))
			a := f.do("POST", tc.path, "b")
			if a.status != tc.want {
				t.Errorf("status %d, want %d", a.status, tc.want)
			}
			if !a.close {
				t.Error("the connection is kept open during a shutdown")
			}
		})
	}
}
