package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"slipcrank.example/daemon/upstream"
)

const (
	firstAnswer  = "HTTP/1.1 503 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbusy"
	secondAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nsecond"
)

// serveCopies starts a server that answers the first request it reads with firstAnswer, sends late
// on the same connection once it is told to, and answers all other requests with secondAnswer. On
// the first connection, it sends afterNext when the next request has arrived there.
func serveCopies(t *testing.T, late, afterNext string) (addr string, sendLate func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	told, sent := make(chan struct{}), make(chan struct{})
	serve := func(c net.Conn, first bool) {
		defer c.Close()
		in := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // an error shows when the next request is read
			answer := secondAnswer
			if first && n == 0 {
				answer = firstAnswer
			} else if first {
				answer = afterNext + secondAnswer
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
			if first && n == 0 {
				<-told
				_, _ = io.WriteString(c, late) // an error means that the client has closed the connection
				close(sent)
			}
		}
	}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, n == 0)
		}
	}()
	return l.Addr().String(), func() { close(told); <-sent }
}

// TestCopyOfAnAnswerAnswersNoOtherSend guards against a second copy of the answer to an attempt,
// late or in pieces, that is taken for the answer to its next send to the same server.
func TestCopyOfAnAnswerAnswersNoOtherSend(t *testing.T) {
	copies := map[string]string{
		"refusal":     firstAnswer,
		"misdirected": "HTTP/1.1 421 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"too many":    "HTTP/1.1 429 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"success":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst",
	}
	for name, text := range copies {
		head := strings.Index(text, "Id")
		for at, cut := range map[string]int{"before the send": len(text), "after the send": 0, "head in two pieces": head, "body in two pieces": len(text) - 1} {
			t.Run(name+", "+at, func(t *testing.T) {
				t.Parallel()
				addr, sendLate := serveCopies(t, text[:cut], text[cut:])
				p, r := upstream.New(), request()
				r.Attempt = &upstream.Attempt{}
				if b, err := roundTrip(t, p, addr, r); err != nil || b != "busy" {
					t.Fatalf("first send: %q, %v", b, err)
				}
				sendLate()
				if b, err := roundTrip(t, p, addr, r); err != nil || b != "second" {
					t.Errorf("the second send of the attempt got %q, %v", b, err)
				}
				other := request()
				other.ID, other.Attempt = "2", &upstream.Attempt{}
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				a, err := p.Send(ctx, addr, other)
				if err == nil {
					t.Errorf("another attempt got the answer %d %q", a.Status, a.Header)
					a.Close()
				}
			})
		}
	}
}

// TestOnlySendsOfOneAttemptNeedOtherConnections guards against connections that are opened for each send.
func TestOnlySendsOfOneAttemptNeedOtherConnections(t *testing.T) {
	addr := serve(t, func(int) string { return okAnswer })
	p, first := upstream.New(), request()
	first.Attempt = &upstream.Attempt{}
	for range 3 {
		if _, err := roundTrip(t, p, addr, first); err != nil {
			t.Fatal(err)
		}
	}
	for range 10 {
		r := request()
		r.Attempt = &upstream.Attempt{}
		if _, err := roundTrip(t, p, addr, r); err != nil {
			t.Fatal(err)
		}
	}
	if n := p.Opened(); n != 3 {
		t.Errorf("%d connections were opened, want one for each send of the first attempt", n)
	}
}
