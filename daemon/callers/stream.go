package callers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/fault"
	"slipcrank.example/daemon/calls"
)

// keepaliveInterval is the interval of the comments written to a stream. They show
// the caller that the stream is alive even while there are no tokens, and a failing
// write reveals a caller that has disconnected.
const keepaliveInterval = time.Second

type (
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	choice struct {
		Index   int          `json:"index"`
		Text    *string      `json:"text,omitempty"`
		Delta   *chatDelta   `json:"delta,omitempty"`
		Message *chatMessage `json:"message,omitempty"`
		Finish  *string      `json:"finish_reason"`
	}

	chatDelta struct {
		Content string `json:"content"`
	}

	usage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
		Cached     int `json:"cached_tokens"`
	}
)

// serveStream writes a generation as server-sent events. If it fails within
// earlyFailureWindow and before its first token, the failure is returned, so that the
// response has its status.
func (s *Server) serveStream(c *fasthttp.RequestCtx, g *generation) (bool, error) {
	early := time.NewTimer(earlyFailureWindow)
	defer early.Stop()
	var first *engine.Piece
	select {
	case p := <-g.pieces:
		first = &p
	case <-g.done:
		if g.err != nil {
			return false, g.err
		}
	case <-early.C:
	}
	c.SetContentType("text/event-stream")
	c.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.inProgress.Add(-1)
		defer g.cancel() // frees the engine at once if the caller has disconnected
		g.write(w, first)
	})
	return true, nil
}

// write writes pieces until the generation ends or the caller has disconnected.
func (g *generation) write(w *bufio.Writer, first *engine.Piece) {
	if first != nil && g.writePiece(w, *first) != nil {
		return
	}
	t := time.NewTicker(keepaliveInterval)
	defer t.Stop()
	for {
		var err error
		select {
		case p := <-g.pieces:
			err = g.writePiece(w, p)
		case <-t.C:
			_, _ = w.WriteString(": waiting\n\n")
			err = w.Flush()
		case <-g.done:
			g.writeEnd(w)
			return
		}
		if err != nil {
			return
		}
	}
}

// writeEnd writes the remaining pieces, then the end marker or the error.
func (g *generation) writeEnd(w *bufio.Writer) {
	for len(g.pieces) > 0 {
		if g.writePiece(w, <-g.pieces) != nil {
			return
		}
	}
	if g.err != nil {
		_, _ = w.WriteString("event: error\n")
		_ = writeEvent(w, faultBody(g.request.ID, fault.From(g.err)))
		return
	}
	last := g.chunk("")
	last.Choices[0].Finish = &g.outcome.Finish
	last.Usage = g.usage()
	_ = writeEvent(w, last)
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writePiece writes one token. With the event's ID, a caller whose connection broke
// can resume the stream after this token, at any entry host.
func (g *generation) writePiece(w *bufio.Writer, p engine.Piece) error {
	_, _ = w.WriteString("id: " + strconv.Itoa(p.Offset+1) + "\n")
	return writeEvent(w, g.chunk(p.Text))
}

func writeEvent(w *bufio.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(b)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

func (g *generation) chunk(text string) completion {
	x := completion{
		ID:      g.request.ID,
		Object:  "text_completion",
		Created: g.created,
		Model:   g.request.Model.Name,
	}
	if g.chat {
		x.Object = "chat.completion.chunk"
		x.Choices = []choice{{Delta: &chatDelta{Content: text}}}
		return x
	}
	x.Choices = []choice{{Text: &text}}
	return x
}

func (g *generation) fullResponse(text string) completion {
	x := g.chunk(text)
	if g.chat {
		x.Object = "chat.completion"
		x.Choices = []choice{{Message: &chatMessage{Role: "assistant", Content: text}}}
	}
	x.Choices[0].Finish = &g.outcome.Finish
	x.Usage = g.usage()
	return x
}

func (g *generation) usage() *usage {
	o := g.outcome
	return &usage{Prompt: o.PromptTokens, Completion: o.Tokens, Total: o.PromptTokens + o.Tokens, Cached: o.CachedTokens}
}

// resumeOffset parses the ID of the last event that a caller has received, which is
// the offset of the first token to send. Without an ID it is 0.
func resumeOffset(id []byte, maxTokens int) (int, error) {
	id = bytes.TrimSpace(id)
	if len(id) == 0 {
		return 0, nil
	}
	n, err := strconv.Atoi(string(id))
	if err != nil || n < 0 || n > maxTokens {
		return 0, fault.Newf(fault.BadRequest, "send the id of the last event of the same request",
			"the header Last-Event-ID has the bad value %.20q", id)
	}
	return n, nil
}

// markNotSent marks an error with [calls.ErrNotSent] if the prompt has certainly not
// been executed. The other faults may end an attempt that was executed.
func markNotSent(err error) error {
	switch fault.From(err).Kind() {
	case fault.OutcomeUnknown, fault.DeadlineExpired, fault.Internal:
		return err
	default:
		return errors.Mark(err, calls.ErrNotSent)
	}
}
