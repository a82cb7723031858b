package web_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"slipcrank.example/clients/web"
)

// TestHeadThatIsNoneIsAnError guards against heads without end, of orders' and the store's answers, that are kept or read until the deadline, and
// against statuses that are none and count as answers.
func TestHeadThatIsNoneIsAnError(t *testing.T) {
	const (
		deadline = 5 * time.Second
		promptly = time.Second
		maxBytes = 4 << 20
	)
	for name, tc := range map[string]struct{ begin, repeated string }{
		"status line":          {"", "HTTP/1.1 200 O"},
		"noise":                {"", "\x00\xfe\x81 no answer"},
		"header line":          {"HTTP/1.1 200 OK\r\nLong: ", "xxxxxxxxxxxxxxxx"},
		"header lines":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim answers":      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"other interim answer": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"trailers":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"chunk extension":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;", "xxxxxxxxxxxxxxxx"},
		"status 000":           {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", ""},
		"status 101":           {"HTTP/1.1 101 X\r\n\r\n{}", ""},
		"status 199":           {"HTTP/1.1 199 X\r\n\r\n{}", ""},
		"status 600":           {"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}", ""},
		"status 999":           {"HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\n{}", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			block := strings.Repeat(tc.repeated, 1+1024/max(len(tc.repeated), 1))
			addr, _ := serve(t, func(_ int64, w io.Writer) bool {
				_, err := io.WriteString(w, tc.begin)
				for err == nil && block != "" {
					_, err = io.WriteString(w, block)
				}
				return err == nil
			})
			c := web.New(web.WithMaxBody(1 << 20))
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			began := time.Now()
			var out struct{}
			if err := c.JSON(ctx, http.MethodGet, addr, "/", nil, &out); err == nil {
				t.Error("no error")
			}
			if took, n := time.Since(began), c.Bytes(); took > promptly || n > maxBytes {
				t.Errorf("%d bytes were read in %v, want at most %d in %v", n, took, maxBytes, promptly)
			}
		})
	}
}
