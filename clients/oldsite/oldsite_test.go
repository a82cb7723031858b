package oldsite_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"slipcrank.example/clients/oldsite"
	"slipcrank.example/clients/web"
)

// TestBrokenStreamOfTheOldSiteNeverLooksComplete cuts a stream at each byte, in each framing.
func TestBrokenStreamOfTheOldSiteNeverLooksComplete(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"
	heads := map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(whole)),
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	}
	for name, head := range heads {
		for cut := range len(whole) + 1 {
			part := whole[:cut]
			answer := head + part
			if name == "chunks" {
				answer = fmt.Sprintf("%s%x\r\n%s\r\n", head, cut, part)
				if cut == len(whole) {
					answer += "0\r\n\r\n"
				}
				if cut == 0 {
					answer = head
				}
			}
			var got strings.Builder
			err := oldsite.New(web.New()).Stream(context.Background(), answerOnce(t, answer), "/", []byte("{}"), func(e []byte) error {
				got.Write(e)
				return nil
			})
			if complete := cut == len(whole); (err == nil) != complete {
				t.Errorf("%s, %d bytes of %d: error %v", name, cut, len(whole), err)
			}
			if want := part[:strings.LastIndex("\n\n"+part, "\n\n")]; got.String() != want {
				t.Errorf("%s, %d bytes of %d: got the events %q, want %q", name, cut, len(whole), got.String(), want)
			}
		}
	}
}

// answerOnce starts a server that sends one answer, whatever it is asked, and closes the
// connection.
func answerOnce(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte(answer)) // an error shows in the client
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}
