package callers

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"slipcrank.example/clients/engine"
	"slipcrank.example/core/claim"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/prefix"
	"slipcrank.example/daemon/dispatch"
	"slipcrank.example/daemon/telemetry"
)

const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"

	defaultMaxTokens = 64
	maxMaxTokens     = 32_768
	// earlyFailureWindow is how long a streamed request waits for its first token or
	// its failure before the status is sent. A later failure is reported as an event
	// in the stream.
	earlyFailureWindow = 500 * time.Millisecond
	// pieceBufferSize is the number of tokens by which a slow reader may lag behind.
	pieceBufferSize = 256
)

type (
	completionRequest struct {
		Model     string          `json:"model"`
		Prompt    json.RawMessage `json:"prompt"`
		Messages  []chatMessage   `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
		Stream    bool            `json:"stream"`
	}

	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// generation is a generation in progress. It connects the goroutine that runs the
	// generation with the one that writes to the caller.
	generation struct {
		request dispatch.Request
		pieces  chan engine.Piece
		done    chan struct{} // closed after outcome and err are set
		outcome dispatch.Outcome
		err     error
		cancel  context.CancelFunc
		chat    bool
		created int64
	}
)

// serveCompletion serves a completion. It reports whether the answer is streamed, in
// which case the request counts as in progress until the stream has been written.
func (s *Server) serveCompletion(c *fasthttp.RequestCtx, r request) (bool, error) {
	chat := string(c.Path()) == chatPath
	old := onOldSite(c, r)
	d, stream, err := s.parseCompletion(c, r, chat)
	if err != nil {
		return false, err
	}
	if old && d.Repeatable() {
		return s.proxyToOldSite(c, r, d, stream)
	}
	if !d.Repeatable() {
		return false, s.completeOnce(c, r, d, chat, old)
	}
	offset, err := resumeOffset(c.Request.Header.Peek(headerResume), d.MaxTokens)
	if err != nil {
		return false, err
	}
	d.ResumeOffset = offset
	g, err := s.startGeneration(r, d, chat)
	if err != nil {
		return false, err
	}
	if stream {
		return s.serveStream(c, g)
	}
	full, err := g.collect()
	if err != nil {
		return false, err
	}
	writeJSON(c, full)
	return false, nil
}

// parseCompletion parses and validates the body. The returned request takes ownership
// of the body's buffer. It also reports whether the caller wants a stream.
func (s *Server) parseCompletion(c *fasthttp.RequestCtx, r request, chat bool) (dispatch.Request, bool, error) {
	var q completionRequest
	if err := json.Unmarshal(c.PostBody(), &q); err != nil {
		return dispatch.Request{}, false, fault.Newf(fault.BadRequest, "send a JSON object with model and prompt",
			"the body is not the JSON of a completion: %v", err)
	}
	text, err := promptText(q, chat)
	if err != nil {
		return dispatch.Request{}, false, err
	}
	m, ok := r.workspace.Model(q.Model)
	if !ok {
		return dispatch.Request{}, false, fault.Newf(fault.UnknownModel, "ask GET /v1/models for the models of the workspace",
			"workspace %s has no model %q", r.workspace.Workspace, q.Model)
	}
	if q.MaxTokens < 0 || q.MaxTokens > maxMaxTokens {
		return dispatch.Request{}, false, fault.Newf(fault.BadRequest, "use a max_tokens from 1 to 32768",
			"max_tokens has the bad value %d", q.MaxTokens)
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultMaxTokens
	}
	return dispatch.Request{
		ID:        r.id,
		Workspace: r.workspace,
		Model:     m,
		Path:      string(c.Path()),
		Body:      c.Request.SwapBody(nil), // without a copy: fasthttp allocates a new buffer
		Tokens:    prefix.Tokens(len(text)),
		MaxTokens: q.MaxTokens,
		Chain:     prefix.Chain(q.Model, text),
		Arrival:   r.arrival,
		Deadline:  r.deadline,
	}, q.Stream, nil
}

func promptText(q completionRequest, chat bool) (string, error) {
	if chat {
		var b strings.Builder
		for _, m := range q.Messages {
			b.WriteString(m.Role + ": " + m.Content + "\n")
		}
		if b.Len() == 0 {
			return "", fault.New(fault.BadRequest, "the request has no messages", "send messages with role and content")
		}
		return b.String(), nil
	}
	var text string
	if err := json.Unmarshal(q.Prompt, &text); err != nil || text == "" {
		return "", fault.New(fault.BadRequest, "the prompt is not one non-empty string", "send prompt as a string")
	}
	return text, nil
}

// startGeneration runs the request on a goroutine of the pool. It fails if the pool
// has none left.
func (s *Server) startGeneration(r request, d dispatch.Request, chat bool) (*generation, error) {
	ctx, cancel := context.WithDeadline(r.ctx, r.deadline)
	g := &generation{
		request: d,
		pieces:  make(chan engine.Piece, pieceBufferSize),
		done:    make(chan struct{}),
		cancel:  cancel,
		chat:    chat,
		created: r.arrival.Unix(),
	}
	err := s.pool.Submit(func() {
		defer cancel()
		defer close(g.done)
		ctx, span := telemetry.Span(ctx, "request", attribute.String("request", d.ID),
			attribute.String("workspace", d.Workspace.Workspace), attribute.Int("tokens", d.Tokens))
		g.outcome, g.err = s.dispatch.Run(ctx, d, func(p engine.Piece) error {
			select {
			case g.pieces <- p:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		telemetry.End(span, g.err)
		s.recordMetrics(d, g.outcome, g.err)
	})
	if err != nil {
		cancel()
		return nil, overloaded(err)
	}
	return g, nil
}

func overloaded(cause error) error {
	return fault.New(fault.Overloaded, "this entry host has too many requests in progress",
		"ask again; the balancer may pick another entry host").WithRetryAfter(time.Second).WithCause(cause)
}

func (s *Server) recordMetrics(d dispatch.Request, o dispatch.Outcome, err error) {
	result := "ok"
	if err != nil {
		result = string(fault.From(err).Kind())
	}
	s.metrics.Count("requests_total", 1, "result", result)
	s.metrics.Count("tokens_total", int64(o.Tokens))
	if o.FirstToken > 0 {
		s.metrics.Time("first_token_from_arrival", o.FirstToken, "urgency", string(d.Workspace.Urgency))
	}
}

// collect waits for the end of the generation and returns the complete response.
func (g *generation) collect() (completion, error) {
	var b strings.Builder
	for {
		select {
		case p := <-g.pieces:
			b.WriteString(p.Text)
		case <-g.done:
			for len(g.pieces) > 0 {
				p := <-g.pieces
				b.WriteString(p.Text)
			}
			if g.err != nil {
				return completion{}, g.err
			}
			return g.fullResponse(b.String()), nil
		}
	}
}

// completeOnce runs a prompt that must not be executed more than once, identified by
// the caller's idempotency key. The answer is not streamed but stored as a whole, and
// returned again if the request is repeated.
func (s *Server) completeOnce(c *fasthttp.RequestCtx, r request, d dispatch.Request, chat, old bool) error {
	ctx, cancel := context.WithDeadline(r.ctx, d.Deadline)
	defer cancel()
	key := string(c.Request.Header.Peek(headerKey))
	got, err := s.once.Run(ctx, r.workspace.Workspace, key, func(ctx context.Context) (claim.Answer, error) {
		if old {
			return s.sendOnceToOldSite(ctx, d)
		}
		g, err := s.startGeneration(r, d, chat)
		if err != nil {
			return claim.Answer{}, markNotSent(err)
		}
		full, err := g.collect()
		if err != nil {
			return claim.Answer{}, markNotSent(err)
		}
		b, err := json.Marshal(full)
		return claim.Answer{Status: fasthttp.StatusOK, ContentType: "application/json", Body: b}, err
	})
	if err != nil {
		return err
	}
	c.SetStatusCode(got.Status)
	c.SetContentType(got.ContentType)
	c.SetBody(got.Body)
	return nil
}
