// Package oldsite is a stand-in for the old site, for tests and the development
// system. It has the callers' HTTP interface, answers completions with a fixed text,
// and counts calls to plain services by key as package runner does.
//
// # Usage
//
//	s := oldsite.New()
//	addr, err := s.Serve(ctx, "127.0.0.1:0")
package oldsite

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"slipcrank.example/standin/listen"
	"slipcrank.example/standin/runner"
)

// TokenText is the text of each token in the answers of the old site.
const TokenText = "old "

type (
	// Site is the stand-in. Use [New].
	Site struct {
		*runner.Runner
		pause     time.Duration
		completed atomic.Int64
	}

	// Option configures a [Site].
	Option func(*Site)

	completionRequest struct {
		MaxTokens int  `json:"max_tokens"`
		Stream    bool `json:"stream"`
	}
)

// WithPause sets the time between the tokens of a stream.
func WithPause(d time.Duration) Option { return func(s *Site) { s.pause = d } }

// New returns a site.
func New(os ...Option) *Site {
	s := &Site{Runner: runner.New()}
	for _, o := range os {
		o(s)
	}
	return s
}

// Completed returns the number of completion requests received.
func (s *Site) Completed() int64 { return s.completed.Load() }

// Serve starts an HTTP server on addr, which runs until ctx ends, and returns the
// address on which it listens.
func (s *Site) Serve(ctx context.Context, addr string) (string, error) {
	return listen.Serve(ctx, addr, func(c *fasthttp.RequestCtx) {
		if strings.HasPrefix(string(c.Path()), "/v1/") {
			s.complete(c)
			return
		}
		s.Handle(c)
	})
}

func (s *Site) complete(c *fasthttp.RequestCtx) {
	var r completionRequest
	if !listen.Read(c, &r) {
		return
	}
	s.completed.Add(1)
	if !r.Stream {
		c.SetContentType("application/json")
		c.SetBodyString(fmt.Sprintf(`{"object":"text_completion","choices":[{"index":0,"text":%q,"finish_reason":"length"}]}`,
			strings.Repeat(TokenText, r.MaxTokens)))
		return
	}
	c.SetContentType("text/event-stream")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		for range r.MaxTokens {
			fmt.Fprintf(w, "data: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%q}]}\n\n", TokenText)
			if w.Flush() != nil {
				return
			}
			time.Sleep(s.pause)
		}
		_, _ = w.WriteString("data: [DONE]\n\n")
	})
}
