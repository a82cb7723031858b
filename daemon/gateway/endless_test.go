package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"slipcrank.example/daemon/gateway"
)

const (
	// hostMemory is the memory of the smallest hosts, linkRate the bandwidth of a server's link, both
	// in bytes (per second).
	hostMemory = 284_000_000
	linkRate   = 125_000_000
	// promptly is the time within which a caller is told that the answer of its server is none. Its
	// timeout is 5 s.
	promptly = 2 * time.Second
)

// endless are answers of which a server repeats the last part until its connection is closed.
var endless = map[string][2]string{
	"status line":       {"", "HTTP/1.1 200 O"},
	"noise":             {"", "\x00\xfe\x81 no answer"},
	"header line":       {"HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nLong: ", "xxxxxxxxxxxxxxxx"},
	"header lines":      {"HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\n", "A: b\r\n"},
	"interim answers":   {"", "HTTP/1.1 103 Early\r\nTry: t1\r\n\r\n"},
	"interim header":    {"HTTP/1.1 103 Early\r\nLong: ", "xxxxxxxxxxxxxxxx"},
	"answers to others": {"", "HTTP/1.1 200 OK\r\nTry: t2\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx"},
	"body to another":   {"HTTP/1.1 200 OK\r\nTry: t2\r\nSeal: s\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	"body":              {"HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nContent-Type: text/plain\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	"chunks":            {"HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n8;", "xxxxxxxxxxxxxxxx"},
	"trailers":          {"HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"refusal":           {"HTTP/1.1 503 X\r\nTry: t1\r\nNot-Run: 1\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	"failure":           {"HTTP/1.1 500 X\r\nTry: t1\r\nSeal: s\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	"event":             {"HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "xxxxxxxxxxxxxxxx"},
	"lines of an event": {"HTTP/1.1 200 OK\r\nTry: t1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n", "data: x\n"},
}

// endlessReply writes begin, and then block again and again until the connection is closed. All
// connections share the ticks of pause.
func endlessReply(t *testing.T, begin, block string, pause time.Duration) reply {
	tick := time.NewTicker(pause)
	t.Cleanup(tick.Stop)
	return func(_ *http.Request, w io.Writer) bool {
		_, err := io.WriteString(w, begin)
		for err == nil {
			<-tick.C
			_, err = io.WriteString(w, block)
		}
		return false
	}
}

// peakHeap samples the heap until the returned function is called, which returns the largest in bytes.
func peakHeap() func() uint64 {
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
			select {
			case <-tick.C:
			case <-stop:
				peak <- most
				return
			}
		}
	}()
	return func() uint64 { close(stop); return <-peak }
}

// TestBytesWithoutEnd guards against a server that sends bytes without end in the place of an answer:
// hosts that run out of memory, callers that wait for their deadline, calls of others that fail.
func TestBytesWithoutEnd(t *testing.T) {
	for kind, text := range endless {
		t.Run(kind, func(t *testing.T) {
			sound := func(r *http.Request, w io.Writer) bool {
				if strings.Contains(r.RequestURI, "/resume/") {
					return streamFrom(eventCount)(r, w)
				}
				return plainReply(200, "fine")(r, w)
			}
			block := strings.Repeat(text[1], 64<<10/len(text[1]))
			f := startWith(t, []gateway.Option{gateway.WithBufferBytes(hostMemory * gateway.BufferFraction)},
				endlessReply(t, text[0], block, time.Duration(len(block))*time.Second/linkRate), sound, sound)
			runtime.GC()
			peak := peakHeap()
			const calls = 24
			paths := []string{"/safe/", "/resume/", "/once-two/"}
			var mu sync.Mutex
			var wg sync.WaitGroup
			served, asked := map[string]int{}, map[string]int{}
			for n := range calls {
				wg.Go(func() {
					path := paths[n%len(paths)]
					began := time.Now()
					a := f.do("POST", fmt.Sprintf("%s%d", path, n), "b")
					took := time.Since(began)
					mu.Lock()
					defer mu.Unlock()
					asked[path]++
					if whole := a.body == "fine" || a.body == allEvents(); a.status == 200 && a.err == nil && whole {
						served[path]++
					} else if a.status == 200 && a.err == nil {
						t.Errorf("%s got %d bytes that look like a whole answer", path, len(a.body))
					}
					if took > promptly {
						t.Errorf("%s got %d after %v", path, a.status, took)
					}
				})
			}
			wg.Wait()
			if most := peak(); most > hostMemory {
				t.Errorf("the heap grew to %d MB, a host has %d", most/1e6, hostMemory/1_000_000)
			} else {
				t.Logf("the heap grew to %d MB", most/1e6)
			}
			for _, path := range paths[:2] {
				if served[path]*100 < 95*asked[path] {
					t.Errorf("%d of %d calls of %s were served", served[path], asked[path], path)
				}
			}
		})
	}
}

// TestHeadThatDripsWithoutEnd guards against calls that wait for a head which never ends.
func TestHeadThatDripsWithoutEnd(t *testing.T) {
	for _, kind := range []string{"status line", "header line", "header lines", "body to another", "refusal"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := start(t, endlessReply(t, endless[kind][0], endless[kind][1][:1], 20*time.Millisecond))
			began := time.Now()
			if a := f.do("POST", "/once/", "b"); a.status == 200 {
				t.Errorf("the caller got %d %q", a.status, a.body)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("the caller was told after %v, its timeout is 5 s", took)
			}
		})
	}
}
