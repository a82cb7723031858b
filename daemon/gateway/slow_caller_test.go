package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestSlowCallerIsNoSilenceOfTheServer guards against servers that are judged by what this host doesn't read, since its caller doesn't.
func TestSlowCallerIsNoSilenceOfTheServer(t *testing.T) {
	const events, size = 600, 32 << 10 // more than the buffers of the connections
	answer := func(r *http.Request, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTry: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Try"))
		for n := range events {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", size))
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e); err != nil {
				return false
			}
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	f := start(t, answer, answer, answer)
	c, err := net.Dial("tcp", f.httpServer.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetReadBuffer(256 << 10)
	_, _ = io.WriteString(c, "POST /wait/ HTTP/1.1\r\nHost: shop.example\r\nTry: t1\r\nAuthorization: Key k1\r\nSize: 1000,10\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	<-time.After(3500 * time.Millisecond)
	b, err := io.ReadAll(c)
	if err != nil || len(b) < events*size {
		t.Errorf("error %v after %d bytes, want the whole stream", err, len(b))
	}
	if f.requestCount() != 1 {
		t.Errorf("%d runs, want 1", f.requestCount())
	}
	if text := f.metrics.Text(); strings.Contains(text, "gateway_handovers") {
		t.Error("the stream was offered to other servers")
	}
}
