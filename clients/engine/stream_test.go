package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/engine"
	"slipcrank.example/clients/web"
)

// piece returns the server-sent event of one piece; fields is appended to its JSON.
func piece(attempt string, incarnation, offset int, fields string) string {
	return fmt.Sprintf("data: {\"request\":\"r\",\"attempt\":%q,\"incarnation\":%d,\"offset\":%d%s}\n\n", attempt, incarnation, offset, fields)
}

func TestStreamIsCompleteAndOfOneAttempt(t *testing.T) {
	const (
		text = `,"text":"x"`
		end  = `,"end":true,"finish":"length"`
	)
	for name, tc := range map[string]struct {
		body   string
		tokens int
		want   error
	}{
		"complete":              {piece("a", 1, 0, text) + piece("a", 1, 1, text) + piece("a", 1, 2, end) + "data: [DONE]\n\n", 2, io.EOF},
		"comments":              {": waiting\n\n" + piece("a", 1, 0, text) + ": waiting\n\n" + piece("a", 1, 1, end), 1, io.EOF},
		"duplicate piece":       {piece("a", 1, 0, text) + piece("a", 1, 0, text) + piece("a", 1, 1, end), 1, io.EOF},
		"no end marker":         {piece("a", 1, 0, text), 1, engine.ErrTruncated},
		"done but no end":       {piece("a", 1, 0, text) + "data: [DONE]\n\n", 1, engine.ErrTruncated},
		"missing piece":         {piece("a", 1, 0, text) + piece("a", 1, 2, text), 1, engine.ErrTruncated},
		"piece before end lost": {piece("a", 1, 0, text) + piece("a", 1, 2, end), 1, engine.ErrTruncated},
		"another attempt":       {piece("b", 1, 0, text), 0, engine.ErrForeignPiece},
		"another incarnation":   {piece("a", 1, 0, text) + piece("a", 2, 1, text), 1, engine.ErrForeignPiece},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString(tc.body) }}
			go func() { _ = s.Serve(l) }()
			defer l.Close()
			st, err := engine.New(web.New()).Generate(context.Background(), l.Addr().String(),
				engine.Request{Path: "/v1/completions", Request: "r", Attempt: "a"})
			if err != nil {
				t.Fatal(err)
			}
			defer st.Close()
			tokens := 0
			for err == nil {
				var p engine.Piece
				if p, err = st.Next(); err == nil && !p.End {
					tokens++
				}
			}
			if !errors.Is(err, tc.want) || tokens != tc.tokens {
				t.Errorf("got %d tokens and %v, want %d and %v", tokens, err, tc.tokens, tc.want)
			}
		})
	}
}
