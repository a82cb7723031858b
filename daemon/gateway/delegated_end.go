package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"slipcrank.example/daemon/upstream"
)

// endHeader is the trailer of a delegated stream. Its head announces it, if the host that delegates
// the call reads it: then the end of the body alone doesn't mean that the stream is whole. For
// other hosts a stream that isn't whole ends with a broken connection.
const endHeader = "Slipcrank-Delegation-End"

// errHandedBack reports the end of a delegated stream that isn't whole.
var errHandedBack = errors.Wrap(io.ErrUnexpectedEOF, "another host has given the stream up")

type (
	// streamEnd is how a host has ended a stream that was delegated to it.
	streamEnd struct {
		whole    bool
		attempts int // of the call that count against the route's, at all hosts
		sent     int // sends that may have reached servers
	}

	// delegatedBody is the body of a delegated stream. Reading it ends with io.EOF only if the
	// stream is whole.
	delegatedBody struct {
		reader io.Reader
		answer *upstream.Answer
	}
)

// Read implements [io.Reader].
func (b *delegatedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if errors.Is(err, io.EOF) && b.answer.Announces(endHeader) {
		if e, ok := parseStreamEnd(b.answer.Trailer(endHeader)); !ok || !e.whole {
			return n, errHandedBack
		}
	}
	return n, err
}

// readsEnd reports whether the host that delegates the call reads how a stream ends.
func (c *call) readsEnd() bool { return c.delegated != nil && c.delegated.readsEnd }

// mayHandBack reports whether the host that delegates the call may go on with its stream.
func (c *call) mayHandBack() bool { return c.readsEnd() && c.attempts < max(c.route.Attempts, 1) }

// noteHandBack records whether the stream may be handed back, after its attempts have changed.
func (c *call) noteHandBack() {
	if c.readsEnd() {
		c.progress.setHandsBack(c.mayHandBack())
	}
}

// announceEnd announces in the head of a stream that its end will be reported.
func (c *call) announceEnd(w http.ResponseWriter) {
	if c.readsEnd() {
		w.Header().Del(endHeader) // of the server
		w.Header().Set("Trailer", endHeader)
	}
}

// reportEnd reports the end of a stream to the host that delegates the call. It returns false if
// that host reads no reports.
func (c *call) reportEnd(w http.ResponseWriter, whole bool) bool {
	if c.readsEnd() {
		w.Header().Set(endHeader, streamEnd{whole, c.attempts, c.sent}.String())
	}
	return c.readsEnd()
}

// learnEnd takes over what another host has used, which has ended a stream of the call, and returns
// the outcome of that. Attempts are those before the call was delegated. If the other host doesn't
// report the end, it may have used all.
func (c *call) learnEnd(a *upstream.Answer, attempts int, out outcome) outcome {
	e, ok := parseStreamEnd(a.Trailer(endHeader))
	if out.result != failed || !ok {
		return out
	}
	c.attempts = max(attempts, e.attempts)
	if e.sent > c.sent {
		c.sent, c.paidService = e.sent, ""
	}
	if !e.whole {
		c.progress.setHandedBack()
		out.reason, out.connBroken = "handed_back", false
	}
	return out
}

// String returns the value of the trailer.
func (e streamEnd) String() string {
	return fmt.Sprintf("whole=%t, attempts=%d, sent=%d", e.whole, e.attempts, e.sent)
}

// parseStreamEnd parses the value of the trailer, and returns false if it is malformed.
func parseStreamEnd(text string) (streamEnd, bool) {
	f := parseFields(text)
	whole, err := strconv.ParseBool(f["whole"])
	attempts, attemptsErr := strconv.ParseUint(f["attempts"], 10, 16)
	sent, sentErr := strconv.ParseUint(f["sent"], 10, 16)
	if err != nil || attemptsErr != nil || sentErr != nil {
		return streamEnd{}, false
	}
	return streamEnd{whole, int(attempts), int(sent)}, true
}
