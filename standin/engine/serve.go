package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	protocol "slipcrank.example/clients/engine"
	"slipcrank.example/core/prefix"
	"slipcrank.example/standin/listen"
)

const (
	defaultMaxTokens = 64
	// keepAlivePeriod is the period of keep-alive comments in a stream.
	keepAlivePeriod = time.Second
)

type (
	generateRequest struct {
		Model     string    `json:"model"`
		Prompt    string    `json:"prompt"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
	}

	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	cancelRequest struct {
		Attempt string `json:"attempt"`
	}

	eventsRequest struct {
		After  uint64 `json:"after"`
		Resync bool   `json:"resync"`
	}

	reserveRequest struct {
		Holding protocol.Holding `json:"holding"`
	}

	moveRequest struct {
		From string `json:"from"`
		ID   string `json:"id"`
	}

	holdingsReply struct {
		Holdings []protocol.Holding `json:"holdings"`
	}
)

// Serve runs the engine and its HTTP server on addr until ctx ends. It returns the
// address on which the server listens.
func (e *Engine) Serve(ctx context.Context, addr string) (string, error) {
	go e.Run(ctx)
	go e.watchLinks(ctx)
	return listen.Serve(ctx, addr, e.handle)
}

func (e *Engine) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/v1/completions", "/v1/chat/completions":
		e.generate(c)
	case "/engine/load":
		listen.Reply(c, e.Report())
	case "/engine/totals":
		listen.Reply(c, e.Totals())
	case "/engine/holdings":
		listen.Reply(c, holdingsReply{Holdings: e.Holdings()})
	case "/engine/leave":
		e.Leave()
	case "/engine/cancel":
		listen.Handle(c, func(r cancelRequest) error { e.Cancel(r.Attempt); return nil })
	case "/engine/events":
		var r eventsRequest
		if listen.Read(c, &r) {
			listen.Reply(c, e.Events(r.After, r.Resync))
		}
	case "/engine/order":
		listen.Handle(c, e.Command, statusOf)
	case "/engine/reserve":
		listen.Handle(c, func(r reserveRequest) error { return e.Reserve(r.Holding) }, statusOf)
	case "/engine/release":
		listen.Handle(c, func(r moveRequest) error { e.Release(r.ID); return nil })
	case "/engine/import":
		listen.Handle(c, e.importFrom, statusOf)
	default:
		c.SetStatusCode(http.StatusNotFound)
	}
}

func (e *Engine) generate(c *fasthttp.RequestCtx) {
	var r generateRequest
	if !listen.Read(c, &r) {
		return
	}
	if e.fatal(r.Prompt) {
		_ = c.Conn().Close() // as a crash of the engine would
		return
	}
	s, err := e.Submit(newJob(c, r))
	if err != nil {
		c.Error(err.Error(), statusOf(err))
		return
	}
	attempt := string(c.Request.Header.Peek(protocol.HeaderAttempt))
	c.SetContentType("text/event-stream")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		if err := writeEvents(w, s); err != nil {
			e.Cancel(attempt) // the client has closed the connection
		}
	})
}

// newJob returns the job of a request.
func newJob(c *fasthttp.RequestCtx, r generateRequest) Job {
	text := r.Prompt
	if len(r.Messages) > 0 {
		var b strings.Builder
		for _, m := range r.Messages {
			b.WriteString(m.Role + ": " + m.Content + "\n")
		}
		text = b.String()
	}
	h := &c.Request.Header
	number := func(k string) int64 {
		n, _ := strconv.ParseInt(string(h.Peek(k)), 10, 64)
		return n
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	return Job{
		Request:       string(h.Peek(protocol.HeaderRequest)),
		Attempt:       string(h.Peek(protocol.HeaderAttempt)),
		Model:         r.Model,
		Version:       string(h.Peek(protocol.HeaderVersion)),
		Prompt:        prefix.Tokens(len(text)),
		Chain:         prefix.Chain(r.Model, text),
		MaxTokens:     r.MaxTokens,
		Resume:        int(number(protocol.HeaderResume)),
		Priority:      number(protocol.HeaderPriority),
		Seed:          xxhash.Sum64String(text),
		ReservationID: string(h.Peek(protocol.HeaderReservation)),
	}
}

// writeEvents writes a stream as server-sent events and flushes after each. While
// there is no piece, it writes a keep-alive comment once per keepAlivePeriod.
func writeEvents(w *bufio.Writer, s <-chan protocol.Piece) error {
	t := time.NewTicker(keepAlivePeriod)
	defer t.Stop()
	for {
		select {
		case p, ok := <-s:
			if !ok {
				return nil
			}
			b, err := json.Marshal(p)
			if err != nil {
				return err
			}
			_, _ = w.WriteString("data: ")
			_, _ = w.Write(b)
			_, _ = w.WriteString("\n\n")
			if p.End {
				_, _ = w.WriteString("data: [DONE]\n\n")
			}
		case <-t.C:
			_, _ = w.WriteString(": waiting\n\n")
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, protocol.ErrBusy):
		return http.StatusTooManyRequests
	case errors.Is(err, protocol.ErrFenced):
		return http.StatusPreconditionFailed
	case errors.Is(err, protocol.ErrLeaving):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrNoCopy):
		return http.StatusNotFound
	default:
		return http.StatusRequestEntityTooLarge
	}
}
