package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Dialect defines the names of the headers that callers and backend servers use. The
// platform's adapter provides it. Headers with an empty name are not used.
type Dialect struct {
	// AttemptID identifies one attempt of a caller.
	AttemptID string
	// Deadline is the caller's timeout in milliseconds.
	Deadline string
	// Workspace is the name of the request's workspace, for backend servers.
	Workspace string
	// ExpectInstance is the platform's ID of the server instance that alone may run the
	// request.
	ExpectInstance string
	// NotRun marks the answer to a request that was not run.
	NotRun string
	// Seal marks, in an answer, that a server has made it.
	Seal string
	// LastEventID is the ID of the last stream event that the receiver has.
	LastEventID string
	// Urgency is the rank of the request at the backend server; 0 is the most urgent.
	Urgency string
	// Helpers lists the addresses of the servers that prefill parts of the prompt.
	Helpers string
	// TokenCounts is the number of prompt tokens and the maximum number of answer
	// tokens, as "PROMPT,ANSWER".
	TokenCounts string
	// PromptParts lists the parts of the prompt in order, as "ID:TOKENS,ID:TOKENS". Prompts
	// may share all parts but the last.
	PromptParts string
	// AnswerHint is the caller's estimate of the number of answer tokens.
	AnswerHint string
	// FaultyServer is, in an answer, the ID or address of another server that caused
	// the failure.
	FaultyServer string
	// Limit is the number of requests per second that the server accepts from all hosts
	// together.
	Limit string
	// Leaving reports that the server is about to shut down.
	Leaving string
	// Backoff is the number of seconds for which a server that refuses a request wants
	// no requests from this host.
	Backoff string
	// KeyScheme is the prefix of the key in the Authorization header, including the
	// space.
	KeyScheme string
	// NotForwarded lists the request headers that are not forwarded to servers.
	NotForwarded []string
}

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1, and those that
// older programs send).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeaders returns a copy of h without hop-by-hop headers and the excluded
// headers.
func forwardedHeaders(h http.Header, exclude ...string) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range exclude {
		if name != "" {
			out.Del(name)
		}
	}
	return out
}

// parseTokenCounts parses a [Dialect.TokenCounts] header; a number that can't be parsed
// counts as 0.
func parseTokenCounts(v string) (prompt, answer int) {
	p, a, _ := strings.Cut(v, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(p))
	answer, _ = strconv.Atoi(strings.TrimSpace(a))
	return prompt, answer
}
