package gateway

import (
	"log/slog"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"slipcrank.example/core/backend"
	"slipcrank.example/core/site"
	"slipcrank.example/daemon/event"
)

// Reasons why the answer to a request is invalid.
var (
	errNoID       = errors.New("the answer lacks the ID of the request")
	errNoSeal     = errors.New("the answer lacks the seal of a server")
	errEncoded    = errors.New("the body of the answer is encoded, which the request doesn't accept")
	errOwnSuccess = errors.New("the answer of a host is a success that no server has made")
)

// answerCheck returns the check of the answers that servers send to a call. Noise and answers to
// other requests may have any status, so an answer counts only if it has the call's ID and, unless
// it reports that the request was not run, a seal.
func (g *Gateway) answerCheck(c *call) func(status int, h http.Header) error {
	return func(status int, h http.Header) error {
		switch {
		case c.id != "" && !hasMark(h, g.dialect.AttemptID):
			return errNoID
		case g.reportsNotRun(status, h):
			return nil
		case g.dialect.Seal != "" && !hasMark(h, g.dialect.Seal):
			return errNoSeal
		case status < http.StatusMultipleChoices && isEncoded(h.Get("Content-Encoding")) && !c.acceptsEncoding():
			return errEncoded
		}
		return nil
	}
}

// hasMark reports whether an answer has a header that also reaches the caller.
func hasMark(h http.Header, name string) bool {
	if h.Get(name) == "" {
		return false
	}
	for _, v := range h["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return false
			}
		}
	}
	return true
}

// peerAnswerCheck returns the check of the answers that other hosts send to a call. What they pass
// on from servers has to be valid, too: hosts of earlier versions don't check it.
func (g *Gateway) peerAnswerCheck(c *call) func(status int, h http.Header) error {
	check := g.answerCheck(c)
	return func(status int, h http.Header) error {
		if parseReport(h.Get(delegationHeader)).origin == originServer {
			return check(status, h)
		}
		if status < http.StatusMultipleChoices {
			return errOwnSuccess
		}
		return nil
	}
}

// reportsNotRun reports whether an answer of a server means that the request was not run.
func (g *Gateway) reportsNotRun(status int, h http.Header) bool {
	return status >= http.StatusBadRequest && h.Get(g.dialect.NotRun) != "" || status == http.StatusMisdirectedRequest
}

// acceptsEncoding reports whether the body of an answer to the call may be encoded. Streams are read
// event by event.
func (c *call) acceptsEncoding() bool {
	return c.route.Kind != site.Stream && isEncoded(c.header.Get("Accept-Encoding"))
}

// isEncoded reports whether a header names an encoding of a body.
func isEncoded(encoding string) bool { return encoding != "" && encoding != "identity" }

// logInvalidAnswer logs and counts an invalid answer of a server.
func (g *Gateway) logInvalidAnswer(c *call, server backend.Server, err error) {
	why := "malformed"
	switch {
	case errors.Is(err, errNoID):
		why = "no_id"
	case errors.Is(err, errNoSeal):
		why = "no_seal"
	case errors.Is(err, errEncoded):
		why = "encoded"
	}
	g.metrics.Count("gateway_invalid_answers", 1, "why", why)
	g.log.Write(event.AnswerInvalid, slog.String("id", c.id), slog.String("server", server.ID), slog.String("why", why),
		slog.String("error", err.Error()))
}
