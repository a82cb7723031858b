package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/reach"
	"slipcrank.example/daemon/gateway"
	"slipcrank.example/daemon/upstream"
)

// Framings of the answers of a server, by the head that announces them.
const (
	byLength     = "HTTP/1.1 length"
	byChunks     = "HTTP/1.1 chunks"
	byClose      = "HTTP/1.1 close"
	byOldVersion = "HTTP/1.0 close"
)

// unusedAddr is the address of a privileged port, which no test listens on.
const unusedAddr = "127.0.0.1:1"

type (
	// stream is the answer of a server.
	stream struct {
		framing string
		lineEnd string
		cut     int  // offset at which it is broken off; negative: it is whole
		reset   bool // it is broken off by a reset
	}

	// caller sends a request to a gateway in one of the ways in which callers do.
	caller func(f *fixture, path string) answer
)

var (
	framings = []string{byLength, byChunks, byClose, byOldVersion}
	lineEnds = []string{"\n", "\r\n"}
	// cutPlaces are the parts of a stream before which it is broken off.
	cutPlaces = map[string]string{
		"before the first event": "id: 1", "in the first event": ": 1", "in a line": "piece 4", "after a line": "data: piece 4",
		"before the line end": "\ndata: piece 4", "before the empty line": "\nid: 5",
	}
)

func usualCaller(f *fixture, path string) answer { return f.do("POST", path, "b") }

func callerOfAnotherHost(f *fixture, path string) answer {
	return f.startDelegating().do("POST", path, "b")
}

// oldCaller speaks HTTP/1.0: to it the end of the connection is the end of the answer.
func oldCaller(f *fixture, path string) answer { return f.doOld(path, func() {}) }

// doOld sends a request as a caller of HTTP/1.0, and calls begun when it has the first event.
func (f *fixture) doOld(path string, begun func()) answer {
	f.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.httpServer.URL, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: shop.example\r\nTry: t1\r\nAuthorization: Key k1\r\nContent-Length: 1\r\n\r\nb", path)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	first := make([]byte, len(formatEvent(1)))
	n, err := io.ReadFull(a.Body, first)
	begun()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil // the answer is shorter
	}
	if err != nil {
		return answer{a.StatusCode, a.Header, string(first[:n]), err, a.Close, a.Trailer}
	}
	b, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, a.Header, string(first[:n]) + string(b), err, a.Close, a.Trailer}
}

// text returns the events after the given one.
func (s stream) text(after int) string {
	all := strings.TrimPrefix(allEvents(), strings.Join(strings.SplitAfter(allEvents(), "\n\n")[:after], ""))
	return strings.ReplaceAll(all, "\n", s.lineEnd)
}

// write writes the events after the one that the request names, broken off at the cut.
func (s stream) write(r *http.Request, w io.Writer) {
	after, _ := strconv.Atoi(r.Header.Get("After-Event"))
	body := s.text(after)
	sent := body
	if s.cut >= 0 {
		sent = body[:s.cut]
	}
	version, framing, _ := strings.Cut(s.framing, " ")
	fmt.Fprintf(w, "%s 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n", version, r.Header.Get("Try"))
	switch framing {
	case "length":
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n%s", len(body), sent)
	case "chunks":
		_, _ = io.WriteString(w, "Transfer-Encoding: chunked\r\n\r\n")
		if sent != "" {
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(sent), sent)
		}
		if len(sent) == len(body) {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}
	default:
		fmt.Fprintf(w, "\r\n%s", sent)
	}
	if c, ok := w.(*net.TCPConn); ok && s.reset && s.cut >= 0 {
		_ = c.SetLinger(0)
	}
}

// startBreaking starts a gateway before two servers, of which the one that is asked first
// breaks the stream off.
func (s stream) startBreaking(t *testing.T) *fixture {
	t.Helper()
	var asked atomic.Bool
	whole := s
	whole.cut = -1
	reply := func(r *http.Request, w io.Writer) bool {
		if asked.CompareAndSwap(false, true) {
			s.write(r, w)
		} else {
			whole.write(r, w)
		}
		return false
	}
	return start(t, reply, reply)
}

// startDelegating starts a gateway whose servers refuse connections, and which has the gateway
// of f serve its calls.
func (f *fixture) startDelegating() *fixture {
	f.t.Helper()
	s := httptest.NewServer(f.gateway.DelegatedHandler())
	f.t.Cleanup(s.Close)
	first := startWith(f.t, []gateway.Option{delegateTo(s)})
	first.view = unreachableServers()
	return first
}

// delegateTo has a gateway delegate calls to the host that s stands for.
func delegateTo(s *httptest.Server) gateway.Option {
	return gateway.WithDelegation(gateway.Delegation{
		Pool: upstream.New(),
		Peers: func([]string) []reach.Peer {
			return []reach.Peer{{Number: 2, Addr: strings.TrimPrefix(s.URL, "http://")}}
		},
		Alive:       func(uint32) bool { return true },
		Lost:        func(uint32, string) bool { return false },
		PathChanged: func() {},
	})
}

// unreachableServers returns servers that refuse connections.
func unreachableServers() *backend.View {
	servers := backend.NewRegistry()
	for n := range int64(4) {
		servers.Put(backend.Server{ID: fmt.Sprintf("u%d", n), Service: "plain", Addr: unusedAddr, Slots: 4}, n+1)
	}
	return servers.View(0)
}

// checkBroken checks that a caller gets all of a broken stream that may be resumed, and
// otherwise whole events of it and a broken connection.
func (s stream) checkBroken(t *testing.T, call caller) {
	t.Helper()
	if a := call(s.startBreaking(t), "/resume/x"); a.err != nil || a.body != s.text(0) {
		t.Errorf("the caller of a stream that may be resumed got %d, %v, %q", a.status, a.err, a.body)
	}
	a := call(s.startBreaking(t), "/stream/x")
	if a.err == nil && a.status == http.StatusOK {
		t.Errorf("a stream that was broken off looks complete: %q", a.body)
	}
	if a.status == http.StatusOK && (!strings.HasPrefix(s.text(0), a.body) || !strings.HasSuffix(s.lineEnd+s.lineEnd+a.body, s.lineEnd+s.lineEnd)) {
		t.Errorf("the caller got something else than whole events: %q", a.body)
	}
}

// forEachCut runs a test for each framing, each kind of place and both ways to break off.
func forEachCut(t *testing.T, test func(t *testing.T, s stream)) {
	for _, framing := range framings {
		for _, lineEnd := range lineEnds {
			for place, part := range cutPlaces {
				for _, reset := range []bool{false, true} {
					s := stream{framing: framing, lineEnd: lineEnd, reset: reset}
					s.cut = strings.Index(s.text(0), strings.ReplaceAll(part, "\n", lineEnd))
					t.Run(fmt.Sprintf("%s, %s, %q, reset %t", framing, place, lineEnd, reset), func(t *testing.T) {
						t.Parallel()
						test(t, s)
					})
				}
			}
		}
	}
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	forEachCut(t, func(t *testing.T, s stream) { s.checkBroken(t, usualCaller) })
}

func TestBrokenStreamOfAnotherHostNeverLooksComplete(t *testing.T) {
	forEachCut(t, func(t *testing.T, s stream) { s.checkBroken(t, callerOfAnotherHost) })
}

func TestBrokenStreamNeverLooksCompleteOverHTTP10(t *testing.T) {
	forEachCut(t, func(t *testing.T, s stream) { s.checkBroken(t, oldCaller) })
}

func TestWholeStreamArrivesWhole(t *testing.T) {
	callers := map[string]caller{"HTTP/1.1": usualCaller, "HTTP/1.0": oldCaller, "through another host": callerOfAnotherHost}
	for _, framing := range framings {
		for _, lineEnd := range lineEnds {
			for name, call := range callers {
				t.Run(fmt.Sprintf("%s, %q, %s", framing, lineEnd, name), func(t *testing.T) {
					t.Parallel()
					s := stream{framing: framing, lineEnd: lineEnd, cut: -1}
					if a := call(s.startBreaking(t), "/stream/x"); a.err != nil || a.body != s.text(0) {
						t.Errorf("a whole stream arrived as %d, %v, %q", a.status, a.err, a.body)
					}
				})
			}
		}
	}
}

// TestAnswerOfAnotherTypeArrivesWhole: a document in answer to a call of a stream has no events.
func TestAnswerOfAnotherTypeArrivesWhole(t *testing.T) {
	const document = `{"text": "fine"}`
	f := start(t, plainReply(200, document, "Content-Type: application/json; charset=utf-8\r\n"))
	if a := f.do("POST", "/stream/x", "b"); a.err != nil || a.status != 200 || a.body != document {
		t.Errorf("got %d, %v, %q", a.status, a.err, a.body)
	}
}

// TestStreamOfStoppedHostNeverLooksCompleteOverHTTP10: a host's end closes its callers' connections.
func TestStreamOfStoppedHostNeverLooksCompleteOverHTTP10(t *testing.T) {
	s := stream{framing: byChunks, lineEnd: "\n"}
	s.cut = strings.Index(s.text(0), "id: 4")
	stopped := make(chan struct{})
	f := start(t, func(r *http.Request, w io.Writer) bool {
		s.write(r, w)
		<-stopped
		return false
	})
	a := f.doOld("/stream/x", func() {
		f.httpServer.CloseClientConnections()
		close(stopped)
	})
	if a.status != http.StatusOK || a.err == nil {
		t.Errorf("a stream that was broken off looks complete: %d, %q", a.status, a.body)
	}
}

// TestResumedStreamHasNoLengthOfItsFirstServer: the rest may be longer or shorter than announced.
func TestResumedStreamHasNoLengthOfItsFirstServer(t *testing.T) {
	for name, rest := range map[string]string{
		"longer":  "id: 4\ndata: " + strings.Repeat("x", 200) + "\n\n",
		"shorter": "id: 4\ndata: x\n\n",
	} {
		for caller, call := range map[string]caller{"HTTP/1.1": usualCaller, "HTTP/1.0": oldCaller} {
			t.Run(name+", "+caller, func(t *testing.T) {
				first := stream{framing: byLength, lineEnd: "\n"}
				first.cut = strings.Index(first.text(0), "piece 4")
				reply := func(r *http.Request, w io.Writer) bool {
					if r.Header.Get("After-Event") == "" {
						first.write(r, w)
						return false
					}
					return plainReply(200, rest, "Content-Type: text/event-stream\r\n")(r, w)
				}
				want := formatEvent(1) + formatEvent(2) + formatEvent(3) + rest
				if a := call(start(t, reply, reply), "/resume/x"); a.err != nil || a.body != want {
					t.Errorf("got %d, %v, %q, want %q", a.status, a.err, a.body, want)
				}
			})
		}
	}
}
