// Package oldsite is a small stand-in for the old site: it speaks the callers'
// protocol, answers completions with a few fixed words, and runs calls to
// plain services, which it counts by key like an application runner.
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

// TokenText is what each token of the old site's answers says.
const TokenText = "old "

type (
	// Site is the stand-in. Use [New].
	Site struct {
		*runner.Runner
		pause     time.Duration
		completed atomic.Int64
	}

	// Option changes a site under construction.
	Option func(*Site)

	completionRequest struct {
		MaxTokens int  `json:"max_tokens"`
		Stream    bool `json:"stream"`
	}
)

// WithPause sets the time between two tokens.
func WithPause(d time.Duration) Option { return func(s *Site) { s.pause = d } }

// New returns a site.
func New(os ...Option) *Site {
	s := &Site{Runner: runner.New()}
	for _, o := range os {
		o(s)
	}
	return s
}

// Completed returns the number of completions that were asked for.
func (s *Site) Completed() int64 { return s.completed.Load() }

// Serve answers HTTP on addr until ctx ends and returns the address it got.
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
