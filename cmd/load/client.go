package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"slipcrank.example/clients/web"
	"slipcrank.example/core/fault"
	"slipcrank.example/core/prefix"
)

const (
	// sharedPrefixTokens is the length of the prefix that all prompts of a
	// workspace share.
	sharedPrefixTokens = 512
	lineBufferBytes    = 16 << 10
)

var (
	errTruncated = errors.New("the stream ended without its end marker")

	usageKey = []byte(`"usage":{`)

	// sharedClient is the client of [Stream], which reuses its connections.
	sharedClient = newClient(DefaultPlan())
)

type (
	client struct {
		plan Plan
		web  *web.Client
	}

	requestBody struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}

	errorBody struct {
		Error struct {
			Kind fault.Kind `json:"kind"`
		} `json:"error"`
	}
)

func newClient(p Plan) *client {
	return &client{plan: p, web: web.New(web.WithStallTimeout(p.Deadline))}
}

// Stream sends one streamed completion of a short prompt to an entry host, and
// calls first on arrival of the first token. It returns an error if the answer is
// incomplete.
func Stream(ctx context.Context, target, credential, model, prompt string, tokens int, first func()) error {
	p := DefaultPlan()
	p.Model, p.MaxTokens = model, tokens
	j := job{target: target, workspace: Workspace{Credential: credential}}
	return sharedClient.stream(ctx, p, j, prompt, func(n int) {
		if n == 1 {
			first()
		}
	})
}

// measure sends one request and returns the measurements of its answer.
func (c *client) measure(ctx context.Context, j job) Result {
	r := Result{ID: j.id, Bucket: bucketName(j.tokens), ShortOnly: j.shortOnly}
	started := time.Now()
	last := started
	err := c.stream(ctx, c.plan, j, promptText(j), func(n int) {
		now := time.Now()
		if n == 1 {
			r.FirstToken = now.Sub(started)
		} else {
			r.TokenGaps = append(r.TokenGaps, now.Sub(last))
		}
		r.Tokens, last = n, now
	})
	r.Elapsed = time.Since(started)
	if err != nil {
		r.ErrorKind = "no_answer"
		if f := fault.From(err); f.Kind() != fault.Internal {
			r.ErrorKind = f.Kind()
		}
		return r
	}
	r.InTime = r.Elapsed <= c.plan.Deadline
	return r
}

// stream sends a request and calls token for each token of the answer, with the
// number of tokens received so far.
func (c *client) stream(ctx context.Context, p Plan, j job, prompt string, token func(n int)) error {
	b, err := json.Marshal(requestBody{Model: p.Model, Prompt: prompt, MaxTokens: p.MaxTokens, Stream: true})
	if err != nil {
		return err
	}
	r, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(r)
	defer fasthttp.ReleaseResponse(a)
	r.Header.SetMethod(fasthttp.MethodPost)
	r.SetRequestURI("http://" + j.target + "/v1/completions")
	r.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+j.workspace.Credential)
	if j.id != "" {
		r.Header.Set("X-Request-Id", j.id)
	}
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	r.SetBodyRaw(b)
	if err := c.web.Do(ctx, r, a); err != nil {
		return err
	}
	defer func() { _ = a.CloseBodyStream() }()
	if a.StatusCode() != fasthttp.StatusOK {
		body, err := web.ReadBody(a)
		if err != nil {
			return err
		}
		return parseFault(body)
	}
	return readEvents(bufio.NewReaderSize(a.BodyStream(), lineBufferBytes), token)
}

// readEvents reads the events of a stream up to its end marker.
func readEvents(b *bufio.Reader, token func(n int)) error {
	failed := false
	for n := 0; ; {
		line, err := b.ReadSlice('\n')
		if err != nil {
			return errTruncated
		}
		line = bytes.TrimSpace(line)
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case bytes.Equal(line, []byte("event: error")):
			failed = true
		case !isData:
		case failed:
			return parseFault(data)
		case bytes.Equal(data, []byte("[DONE]")):
			return nil
		case bytes.Contains(data, usageKey): // the last event carries the usage and no token
		default:
			n++
			token(n)
		}
	}
}

func parseFault(b []byte) error {
	var e errorBody
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Kind == "" {
		return errTruncated
	}
	return fault.New(e.Error.Kind, "refused", "see the kind")
}

// promptText returns a prompt that starts with the prefix of its workspace and
// continues with pseudo-random text of its own.
func promptText(j job) string {
	b := make([]byte, 0, j.tokens*prefix.BytesPerToken)
	b = appendRepeated(b, j.workspace.Name, min(sharedPrefixTokens, j.tokens)*prefix.BytesPerToken)
	r := rand.New(rand.NewPCG(j.seed, 0))
	const letters = "abcdefghijklmnop"
	for len(b) < cap(b) {
		x := r.Uint64()
		for range min(16, cap(b)-len(b)) {
			b = append(b, letters[x&15])
			x >>= 4
		}
	}
	return string(b)
}

func appendRepeated(b []byte, text string, n int) []byte {
	for len(b) < n {
		b = append(b, text[:min(len(text), n-len(b))]...)
	}
	return b
}
