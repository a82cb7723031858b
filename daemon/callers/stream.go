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

// beat is how often a comment is written while no token flows: it shows the
// caller that the stream lives, and shows us when the caller has gone.
const beat = time.Second

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

// streamed writes an answer as server-sent events. A failure within the first
// moments still gets its own status.
func (s *Server) streamed(c *fasthttp.RequestCtx, a *answer) (bool, error) {
	early := time.NewTimer(earlyTime)
	defer early.Stop()
	var first *engine.Piece
	select {
	case p := <-a.pieces:
		first = &p
	case <-a.ended:
		if a.err != nil {
			return false, a.err
		}
	case <-early.C:
	}
	c.SetContentType("text/event-stream")
	c.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.open.Add(-1)
		defer a.cancel() // a caller that has gone frees the engine at once
		a.write(w, first)
	})
	return true, nil
}

// write writes pieces until the answer ends or the caller has gone.
func (a *answer) write(w *bufio.Writer, first *engine.Piece) {
	if first != nil && a.writePiece(w, *first) != nil {
		return
	}
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		var err error
		select {
		case p := <-a.pieces:
			err = a.writePiece(w, p)
		case <-t.C:
			_, _ = w.WriteString(": waiting\n\n")
			err = w.Flush()
		case <-a.ended:
			a.writeEnd(w)
			return
		}
		if err != nil {
			return
		}
	}
}

// writeEnd writes what is left, then the end marker or the error.
func (a *answer) writeEnd(w *bufio.Writer) {
	for len(a.pieces) > 0 {
		if a.writePiece(w, <-a.pieces) != nil {
			return
		}
	}
	if a.err != nil {
		_, _ = w.WriteString("event: error\n")
		_ = writeEvent(w, faultBody(a.request.ID, fault.From(a.err)))
		return
	}
	last := a.chunk("")
	last.Choices[0].Finish = &a.outcome.Finish
	last.Usage = a.usage()
	_ = writeEvent(w, last)
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writePiece writes one token. The event's id lets a caller whose connection
// broke go on from there, at any entry host.
func (a *answer) writePiece(w *bufio.Writer, p engine.Piece) error {
	_, _ = w.WriteString("id: " + strconv.Itoa(p.Offset+1) + "\n")
	return writeEvent(w, a.chunk(p.Text))
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

func (a *answer) chunk(text string) completion {
	x := completion{
		ID:      a.request.ID,
		Object:  "text_completion",
		Created: a.created,
		Model:   a.request.Model.Name,
	}
	if a.chat {
		x.Object = "chat.completion.chunk"
		x.Choices = []choice{{Delta: &chatDelta{Content: text}}}
		return x
	}
	x.Choices = []choice{{Text: &text}}
	return x
}

func (a *answer) whole(text string) completion {
	x := a.chunk(text)
	if a.chat {
		x.Object = "chat.completion"
		x.Choices = []choice{{Message: &chatMessage{Role: "assistant", Content: text}}}
	}
	x.Choices[0].Finish = &a.outcome.Finish
	x.Usage = a.usage()
	return x
}

func (a *answer) usage() *usage {
	o := a.outcome
	return &usage{Prompt: o.PromptTokens, Completion: o.Tokens, Total: o.PromptTokens + o.Tokens, Cached: o.CachedTokens}
}

// resumeOffset reads the id of the last event that a caller has seen. Without
// one the answer begins at its start.
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

// notSent marks the faults after which a prompt that may not be repeated has
// certainly not run. An attempt that may have run ends in one of the others.
func notSent(err error) error {
	switch fault.From(err).Kind() {
	case fault.OutcomeUnknown, fault.DeadlineExpired, fault.Internal:
		return err
	default:
		return errors.Mark(err, calls.ErrNotSent)
	}
}
