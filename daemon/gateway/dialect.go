package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Dialect names the headers that callers and backend servers use. The
// platform's adapter fills it in; an empty name is a header that is not used.
type Dialect struct {
	// AttemptID names one attempt of a caller.
	AttemptID string
	// Deadline is how many milliseconds the caller waits.
	Deadline string
	// Workspace tells a backend server whose request it is.
	Workspace string
	// ExpectInstance names the start of a backend server that alone may run it.
	ExpectInstance string
	// NotRun marks an answer to a request that has not run.
	NotRun string
	// LastEventID is the last event that the receiver of a stream has.
	LastEventID string
	// Urgency ranks requests at a backend server, 0 first.
	Urgency string
	// Helpers lists servers that read parts of the prompt.
	Helpers string
	// TokenCounts has the tokens of the prompt and the most of the answer.
	TokenCounts string
	// AnswerHint is the caller's guess of the tokens of the answer.
	AnswerHint string
	// FaultyServer names the server at fault in answers of others.
	FaultyServer string
	// Limit is how many requests a second the server takes from all hosts together.
	Limit string
	// Leaving says that the server leaves.
	Leaving string
	// Backoff is for how many seconds a server that turns a request away wants nothing from
	// this host.
	Backoff string
	// KeyScheme stands before the key in Authorization, with its blank.
	KeyScheme string
	// NotForwarded are headers of callers that are not passed on.
	NotForwarded []string
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1, and those
// that older programs send).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passed returns a copy of h without what concerns one connection only and
// without the named ones.
func passed(h http.Header, without ...string) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for _, name := range without {
		if name != "" {
			out.Del(name)
		}
	}
	return out
}

// sizes reads "PROMPT,ANSWER" in tokens.
func sizes(v string) (prompt, answer int) {
	p, a, _ := strings.Cut(v, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(p))
	answer, _ = strconv.Atoi(strings.TrimSpace(a))
	return prompt, answer
}
