package gateway

import (
	"bufio"
	"bytes"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"slipcrank.example/clients/web"
	"slipcrank.example/daemon/upstream"
)

const (
	readBufferBytes = 8 << 10
	eventStreamType = "text/event-stream"
)

var (
	// errInsideEvent and errNoEvent report streams that ended without an error of the
	// connection, but were broken off.
	errInsideEvent = errors.Wrap(io.ErrUnexpectedEOF, "stream ended inside an event")
	errNoEvent     = errors.Wrap(io.ErrUnexpectedEOF, "connection ended before the first event of a stream")
)

// eventReader reads the events of a stream. It alone decides whether the stream was whole:
// the end of the body isn't enough, since a body that ends with its connection may have been
// broken off.
type eventReader struct {
	lines   *bufio.Reader
	pending *answerReader // counts the bytes since the last complete event
	framing upstream.Framing
	events  int // read so far
	partial int // bytes of the event inside of which the stream ended
}

func newEventReader(a *upstream.Answer, b *buffers) *eventReader {
	r := &answerReader{reader: a.Body, buffers: b, server: a.Addr()}
	return &eventReader{lines: bufio.NewReaderSize(r, readBufferBytes), pending: r, framing: a.Framing}
}

// next returns the next event including the empty line that ends it. It returns io.EOF only
// at the end of a whole stream.
func (r *eventReader) next() ([]byte, error) {
	e, err := web.ReadEvent(r.lines, web.MaxEventBytes)
	r.pending.drop()
	switch {
	case err == nil:
		r.events++
		return e, nil
	case errors.Is(err, web.ErrEventTooLarge), errors.Is(err, errServerShareFull):
		err = errors.Mark(err, upstream.ErrInvalidAnswer)
	case errors.Is(err, io.EOF) && len(e) > 0:
		err = errInsideEvent
	case errors.Is(err, io.EOF) && r.events == 0 && r.framing == upstream.FramedByClose:
		err = errNoEvent
	}
	r.partial = len(e)
	return nil, err
}

// eventID returns the numeric ID of an event, or "" if it has none.
func eventID(e []byte) string {
	for line := range bytes.Lines(e) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id := string(bytes.TrimSpace(v))
			if _, err := strconv.ParseUint(id, 10, 64); err == nil {
				return id
			}
		}
	}
	return ""
}

// hasEvents reports whether the body of an answer to a call of a stream consists of events.
// Servers need not name the type of their streams.
func hasEvents(a *upstream.Answer) bool {
	if a.Status != http.StatusOK {
		return false
	}
	name := a.Header.Get("Content-Type")
	if name == "" {
		return true
	}
	t, _, err := mime.ParseMediaType(name)
	return err != nil || t == eventStreamType
}
